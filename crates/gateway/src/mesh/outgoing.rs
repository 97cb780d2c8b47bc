//! Composing the datagrams that this node sends.

use std::sync::atomic;

use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

use crate::{
    source::Change,
    tables::{activity::saturating_millis, outbox::Reach, stalls},
};

impl super::Mesh {
    /// The heartbeat to the nodes of the own zone: requests in progress, retry usage and the stalls
    /// that this node detected.
    pub(crate) fn heartbeat(&self, draining: bool, now: moment::Moment) -> Vec<u8> {
        let load = mesh::Load {
            nodes: 0,
            rows: self.tables.activity.lock().rows(now),
            usage: self.tables.retries.lock().usage(now),
        };
        let stalls = self.stalls(|stall| stall.is_own, now);
        let datagram = self.datagram(draining, now);
        mesh::encode(mesh::Datagram { load: Some(load), stalls, ..datagram })
    }

    /// The digest to other zones: the same for all nodes of the own zone, with all known stalls.
    pub(crate) fn digest(&self, now: moment::Moment) -> Vec<u8> {
        let (nodes, rows) = self.tables.activity.lock().zone_rows(now);
        let usage = self.tables.retries.lock().zone_usage(now);
        let load = mesh::Load { nodes, rows, usage };
        let stalls = self.stalls(|_| true, now);
        let datagram = self.datagram(false, now);
        mesh::encode(mesh::Datagram { load: Some(load), stalls, forward: true, ..datagram })
    }

    /// Reports a stall to all nodes at once.
    pub(crate) fn broadcast_stall(
        &self,
        upstream: &str,
        stall: &stalls::Stall,
        now: moment::Moment,
    ) {
        let stalls = vec![encode_stall(upstream, stall, now)];
        let datagram = mesh::Datagram { stalls, forward: true, ..self.datagram(false, now) };
        self.enqueue(mesh::encode(datagram), Reach::All);
    }

    /// Asks the other nodes for a heartbeat at once, and those of other zones for a digest.
    pub(crate) fn request_heartbeats(&self, now: moment::Moment) {
        let datagram = mesh::Datagram { wants_reply: true, ..self.datagram(false, now) };
        self.enqueue(mesh::encode(datagram), Reach::All);
    }

    /// The reply to a request for heartbeats: a heartbeat within the zone, a digest to other zones.
    pub(crate) fn reply(
        &self,
        request: &mesh::Datagram,
        draining: bool,
        now: moment::Moment,
    ) -> Vec<u8> {
        let zone = request.origin.as_ref().map_or("", |origin| origin.zone.as_str());
        if zone == self.identity.zone.as_str() {
            self.heartbeat(draining, now)
        } else {
            self.digest(now)
        }
    }

    /// Sends the changes from revision `after` to the present one to all nodes at once.
    ///
    /// Nodes fetch changes that do not fit into datagrams when they learn of the later revision.
    pub(crate) fn broadcast_changes(&self, after: u64, changes: &[Change], now: moment::Moment) {
        let mut from = after;
        for part in parts(changes) {
            let datagram = self.datagram(false, now);
            let revision = part.revision.unwrap_or(datagram.revision);
            let delta = mesh::Delta { after: from, changes: part.bytes.into() };
            let datagram =
                mesh::Datagram { revision, delta: Some(delta), forward: true, ..datagram };
            self.enqueue(mesh::encode(datagram), Reach::All);
            from = revision;
        }
    }

    fn datagram(&self, draining: bool, now: moment::Moment) -> mesh::Datagram {
        let (revision, confirmed_at, confirmation) = {
            let catalog = self.tables.catalog.lock();
            (catalog.revision(), catalog.confirmed_at(), catalog.confirmation())
        };
        let origin = mesh::Origin {
            node: self.identity.node.to_string(),
            zone: self.identity.zone.to_string(),
            boot: self.identity.boot,
            sequence: self.sequence.fetch_add(1, atomic::Ordering::Relaxed),
            link: self.identity.link.to_string(),
            draining,
        };
        let age = confirmed_at.map_or(u32::MAX, |at| saturating_millis(now.since(at)));
        mesh::Datagram {
            origin: Some(origin),
            revision,
            age,
            confirmation,
            ..mesh::Datagram::default()
        }
    }

    fn stalls(
        &self,
        included: impl Fn(&stalls::Stall) -> bool,
        now: moment::Moment,
    ) -> Vec<mesh::Stall> {
        let stalls = self.tables.stalls.lock();
        let stalls = stalls.iter().filter(|(_, stall)| included(stall));
        stalls.map(|(id, stall)| encode_stall(id.as_str(), stall, now)).collect()
    }
}

fn encode_stall(upstream: &str, stall: &stalls::Stall, now: moment::Moment) -> mesh::Stall {
    let age = saturating_millis(now.since(stall.detected));
    let event_age =
        stall.progress.map_or(0, |at| saturating_millis(now.since(at)).saturating_add(1));
    mesh::Stall { upstream: upstream.to_owned(), epoch: stall.epoch, age, event_age }
}

/// Size of the varint that counts the changes of a part: far fewer than 16,384 changes fit into
/// one.
const COUNT_BYTES: usize = 2;

/// Changes for one datagram.
struct Part {
    bytes: Vec<u8>,
    /// Revision after these changes; `None` in the last part, which leads to that of the datagram.
    revision: Option<u64>,
}

/// Splits changes into parts of at most [`mesh::MAX_DELTA_BYTES`]; returns none if a single change
/// is larger.
fn parts(changes: &[Change]) -> Vec<Part> {
    encode_parts(changes).unwrap_or_else(|e| {
        log::warn!("mesh: changes cannot be encoded: {e}");
        Vec::new()
    })
}

fn encode_parts(changes: &[Change]) -> postcard::Result<Vec<Part>> {
    let sizes: Vec<usize> = changes
        .iter()
        .map(|change| postcard::to_stdvec(change).map(|bytes| bytes.len()))
        .collect::<postcard::Result<_>>()?;
    let mut parts = Vec::new();
    let mut first = 0;
    while first < changes.len() {
        let mut size = COUNT_BYTES;
        let fits = |next: &&usize| {
            size += **next;
            size <= mesh::MAX_DELTA_BYTES
        };
        let last = first + sizes[first..].iter().take_while(fits).count();
        if last == first {
            return Ok(Vec::new());
        }
        let revision = (last < changes.len()).then(|| changes[last - 1].revision);
        parts.push(Part { bytes: postcard::to_stdvec(&changes[first..last])?, revision });
        first = last;
    }
    Ok(parts)
}
