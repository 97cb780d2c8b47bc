//! Composing the datagrams that this node sends.

use std::{net, sync::atomic};

use corneltrestle_policy::revision;
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

use crate::{
    source::{Change, Changes},
    tables::{activity::saturating_millis, outbox::Reach, stalls},
};

impl super::Mesh {
    /// The load of this node alone.
    pub(crate) fn own_load(&self, now: moment::Moment) -> mesh::Load {
        let mut rows = self.tables.activity.lock().rows(now);
        rows.sort_unstable_by_key(|row| row.upstream);
        mesh::Load { nodes: 0, rows, usage: self.tables.retries.lock().usage(now) }
    }

    /// The heartbeat with the load of this node and the stalls that it detected.
    pub(crate) fn heartbeat(
        &self,
        load: mesh::Load,
        draining: bool,
        now: moment::Moment,
    ) -> Vec<u8> {
        let stalls = self.stalls(|stall| stall.is_own, now);
        let datagram = self.periodic(draining, now);
        mesh::encode(mesh::Datagram { load: Some(load), stalls, ..datagram })
    }

    /// A datagram without load, which tells that the node lives and which facts it has.
    pub(crate) fn sign_of_life(&self, draining: bool, now: moment::Moment) -> Vec<u8> {
        mesh::encode(self.periodic(draining, now))
    }

    /// The sums that a hub sends: for each other node of its zone, the load of all nodes but that
    /// one.
    pub(crate) fn sums(&self, now: moment::Moment) -> Vec<(net::SocketAddr, Vec<u8>)> {
        let nodes = self.zone_nodes();
        let usage = self.tables.retries.lock().usage(now);
        let loads: Vec<_> = {
            let activity = self.tables.activity.lock();
            let sum = activity.zone_load(usage, true, now);
            nodes.into_iter().map(|(id, to)| (to, activity.without(&sum, &id))).collect()
        };
        let datagram = self.periodic(false, now);
        let encode = |(to, load): (net::SocketAddr, mesh::Load)| {
            (to, mesh::encode(mesh::Datagram { load: Some(load), ..datagram.clone() }))
        };
        loads.into_iter().map(encode).collect()
    }

    /// The digest to other zones: the same for all nodes of the own zone, with all known stalls.
    pub(crate) fn digest(&self, now: moment::Moment) -> Vec<u8> {
        let usage = self.tables.retries.lock().usage(now);
        let load = self.tables.activity.lock().zone_load(usage, false, now);
        let stalls = self.stalls(|_| true, now);
        let datagram = self.periodic(false, now);
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

    /// Asks the listeners of the own zone for their loads at once, and those of other zones for a
    /// digest.
    pub(crate) fn request_loads(&self, now: moment::Moment) {
        let datagram = self.datagram(false, now);
        let datagram = mesh::Datagram { wants_reply: true, forward: true, ..datagram };
        self.enqueue(mesh::encode(datagram), Reach::AllListeners);
    }

    /// The reply to a request for loads: to other zones the digest, within the zone the sum of all
    /// others' loads by a hub, and the heartbeat where there are no hubs.
    pub(crate) fn reply(
        &self,
        origin: &mesh::Origin,
        draining: bool,
        now: moment::Moment,
    ) -> Vec<u8> {
        if origin.zone != self.identity.zone.as_str() {
            return self.digest(now);
        }
        if !self.uses_hubs() {
            return self.heartbeat(self.own_load(now), draining, now);
        }
        let usage = self.tables.retries.lock().usage(now);
        let load = {
            let activity = self.tables.activity.lock();
            let sum = activity.zone_load(usage, true, now);
            activity.without(&sum, &origin.node.as_str().into())
        };
        let stalls = self.stalls(|_| true, now);
        let datagram = self.periodic(draining, now);
        mesh::encode(mesh::Datagram { load: Some(load), stalls, ..datagram })
    }

    /// Sends the changes after revision `after`, of the same era, to all nodes at once.
    ///
    /// Nodes fetch changes that do not fit into datagrams when they learn of the later revision. This
    /// node may have received still later changes, which these datagrams do not contain.
    pub fn broadcast_changes(
        &self,
        after: revision::Revision,
        changes: &Changes,
        now: moment::Moment,
    ) {
        let mut from = after.number;
        for part in parts(&changes.changes) {
            let datagram = self.datagram(false, now);
            let revision = part.revision.unwrap_or(changes.revision.number);
            let is_latest = (datagram.era, datagram.revision) == (after.era, revision);
            let confirmation = datagram.confirmation.filter(|_| is_latest);
            let delta = mesh::Delta { after: from, changes: part.bytes.into() };
            let datagram = mesh::Datagram {
                era: after.era,
                revision,
                confirmation,
                delta: Some(delta),
                forward: true,
                ..datagram
            };
            self.enqueue(mesh::encode(datagram), Reach::All);
            from = revision;
        }
    }

    /// A datagram that is sent again and again, with all that each node should know.
    fn periodic(&self, draining: bool, now: moment::Moment) -> mesh::Datagram {
        let (quarantined, limits) = (self.quarantined(now), self.limits(now));
        mesh::Datagram { quarantined, limits, ..self.datagram(draining, now) }
    }

    pub(super) fn datagram(&self, draining: bool, now: moment::Moment) -> mesh::Datagram {
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
            era: revision.era,
            revision: revision.number,
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
    // Receivers take a stall without an event for one with a lost member.
    let progress = stall.progress.filter(|_| !stall.has_lost_member);
    let event_age = progress.map_or(0, |at| saturating_millis(now.since(at)).saturating_add(1));
    mesh::Stall { upstream: upstream.to_owned(), epoch: stall.epoch, age, event_age }
}

/// Size of the varint that counts the changes of a part: far fewer than 16,384 changes fit into
/// one.
const COUNT_BYTES: usize = 2;

/// Changes for one datagram.
struct Part {
    bytes: Vec<u8>,
    /// Revision after these changes; `None` in the last part, which leads to that of all changes.
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
        let mut last = first + sizes[first..].iter().take_while(fits).count();
        // Receivers ignore further changes of a revision that they have reached.
        while (first + 1..changes.len()).contains(&last)
            && changes[last - 1].revision == changes[last].revision
        {
            last -= 1;
        }
        if last == first {
            return Ok(Vec::new());
        }
        let revision = (last < changes.len()).then(|| changes[last - 1].revision);
        parts.push(Part { bytes: postcard::to_stdvec(&changes[first..last])?, revision });
        first = last;
    }
    Ok(parts)
}
