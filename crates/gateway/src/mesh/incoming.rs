//! Handling the datagrams of other nodes.

use std::{net, time};

use corneltrestle_policy::{id, revision};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

use crate::{
    source::{Change, Changes},
    tables::{activity::Reporter, outbox::Reach, peers, stalls},
};

impl super::Mesh {
    /// Handles a datagram of another node. Returns whether a reply is wanted from this node.
    pub(crate) fn handle(&self, datagram: &mesh::Datagram, now: moment::Moment) -> bool {
        let Some(origin) = &datagram.origin else { return false };
        if origin.boot == self.identity.boot {
            return false;
        }
        let is_local = origin.zone == self.identity.zone.as_str();
        // Only these reach a node on several ways.
        if datagram.forward {
            if !self.tables.peers.lock().is_new(origin.boot, origin.sequence) {
                return false;
            }
            // If each receiver passed it on, each node would get it once from every other one.
            if !is_local && !datagram.relayed {
                // Loads and requests for them concern only those that sum them up.
                let is_of_loads = datagram.load.is_some() || datagram.wants_reply;
                let reach = if is_of_loads { Reach::Listeners } else { Reach::Zone };
                let relayed = mesh::Datagram { relayed: true, ..datagram.clone() };
                self.enqueue(mesh::encode(relayed), reach);
            }
        }
        self.handle_revision(origin, datagram, is_local, now);
        if let Some(load) = &datagram.load {
            // The load of a zone replaces its earlier one, whichever of its nodes sent it.
            let reporter = match load.nodes {
                0 => Reporter::Node(origin.node.as_str().into()),
                _ if is_local => Reporter::Hub(origin.node.as_str().into()),
                _ => Reporter::Zone(origin.zone.as_str().into()),
            };
            let latest = (origin.boot, origin.sequence);
            self.tables.activity.lock().update_peer(&reporter, latest, load, now);
        }
        for stall in &datagram.stalls {
            self.handle_stall(stall, now);
        }
        self.handle_evidence(datagram, now);
        self.handle_permits(origin, datagram, now);
        // A node that is no hub knows too little of the loads of its zone.
        datagram.wants_reply && (!self.uses_hubs() || self.place_among_hubs().is_some())
    }

    /// Applies the changes of facts in a datagram, and records which revision its sender has.
    fn handle_revision(
        &self,
        origin: &mesh::Origin,
        datagram: &mesh::Datagram,
        is_local: bool,
        now: moment::Moment,
    ) {
        let revision = revision::Revision { era: datagram.era, number: datagram.revision };
        let age = time::Duration::from_millis(u64::from(datagram.age));
        let confirmed_at = (datagram.age != u32::MAX).then(|| now.before(age));
        let own = {
            let mut catalog = self.tables.catalog.lock();
            if let Some(delta) = &datagram.delta
                && revision > catalog.revision()
                && let Some(changes) = decode(delta)
            {
                let after = revision::Revision { number: delta.after, ..revision };
                let changes = Changes { revision, changes };
                let confirmed_at = confirmed_at.unwrap_or(moment::Moment::ZERO);
                catalog.receive(after, changes, confirmed_at);
            }
            if let (Some(confirmed_at), Some(confirmation)) = (confirmed_at, datagram.confirmation)
                && revision == catalog.revision()
            {
                catalog.confirm(confirmation, confirmed_at);
            }
            catalog.revision()
        };
        if let Ok(link) = origin.link.parse::<net::SocketAddr>() {
            let peer =
                peers::Peer { link, is_local, revision, draining: origin.draining, last_seen: now };
            self.tables.peers.lock().update(origin.node.as_str().into(), peer);
        }
        if revision > own {
            self.behind.notify_one();
        }
    }

    /// Handles a stall that another node detected. It is ignored if a stream of this node has
    /// received a later event from the upstream.
    fn handle_stall(&self, stall: &mesh::Stall, now: moment::Moment) {
        let detected = now.before(time::Duration::from_millis(u64::from(stall.age)));
        let activity = self.tables.activity.lock();
        let id: id::Vm = stall.upstream.as_str().into();
        let is_working =
            activity.waiting().any(|own| own.upstream == id && own.progress >= detected);
        if is_working {
            return;
        }
        let event_at =
            |event_age: u32| now.before(time::Duration::from_millis(u64::from(event_age)));
        let progress = stall.event_age.checked_sub(1).map(event_at);
        let found = stalls::Stall {
            epoch: stall.epoch,
            detected,
            progress,
            is_own: false,
            has_lost_member: progress.is_none(),
        };
        if self.tables.stalls.lock().merge(&id, found, now) {
            log::info!(upstream = id.as_str(); "stall: a peer has detected that the upstream is stalled");
            activity.interrupt(id.as_str());
        }
    }
}

fn decode(delta: &mesh::Delta) -> Option<Vec<Change>> {
    postcard::from_bytes(&delta.changes)
        .inspect_err(|e| log::warn!("mesh: changes in a datagram cannot be decoded: {e}"))
        .ok()
}
