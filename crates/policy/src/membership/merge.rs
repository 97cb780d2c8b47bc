//! Updates of the members from digests, pushes and the VM list.

use std::{collections::btree_map, net, time};

use corneltrestle_time::moment;

use crate::{id, membership};

/// One node in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The node.
    pub node: &'a id::Node,
    /// Its availability zone.
    pub zone: &'a id::Zone,
    /// Address of its link.
    pub address: net::SocketAddr,
    /// Identifier of its process.
    pub boot: u64,
    /// Heartbeat counter of that process.
    pub heartbeat: u64,
    /// Age of that heartbeat when the digest was sent, as the sender knows it.
    pub age: time::Duration,
    /// Whether it drains.
    pub draining: bool,
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// Nothing; the entry was not newer.
    Unchanged,
    /// The heartbeat or the drain state of a known process.
    Renewed,
    /// A node that was not known, or only from the VM list.
    Joined,
    /// Another process of a known node.
    Restarted,
}

impl membership::Members {
    /// Merges the entries of a digest that arrived at `now` after `trip`, the time from sending the
    /// request to receiving the digest.
    ///
    /// Views count as renewed after a pause only if the request was sent after it.
    pub fn merge<'a>(
        &mut self,
        entries: impl IntoIterator<Item = Entry<'a>>,
        trip: time::Duration,
        now: moment::Moment,
    ) {
        for entry in entries {
            self.merge_entry(&entry, trip, now);
        }
        self.refreshed |= self.resumed.is_none_or(|end| now.before(trip) >= end);
    }

    /// Merges one entry; see [`membership::Members::merge`].
    pub fn merge_entry(
        &mut self,
        entry: &Entry<'_>,
        trip: time::Duration,
        now: moment::Moment,
    ) -> Merged {
        let age = entry.age + trip;
        if *entry.node == self.own || age >= membership::FORGET_AFTER {
            return Merged::Unchanged;
        }
        let heartbeat_at = now.before(age);
        let member = || membership::Member {
            zone: entry.zone.clone(),
            address: entry.address,
            boot: entry.boot,
            heartbeat: entry.heartbeat,
            heartbeat_at: Some(heartbeat_at),
            listed: None,
            draining: entry.draining,
        };
        let known = match self.nodes.entry(entry.node.clone()) {
            btree_map::Entry::Vacant(vacant) => {
                vacant.insert(member());
                return Merged::Joined;
            }
            btree_map::Entry::Occupied(occupied) => occupied.into_mut(),
        };
        if known.boot == entry.boot {
            return known.renew(entry, heartbeat_at);
        }
        // Boot ids have no order. A stopped process never gets a later heartbeat, so the process
        // with the later one is the present one.
        if known.heartbeat_at >= Some(heartbeat_at) {
            return Merged::Unchanged;
        }
        let merged = if known.heartbeat_at.is_none() { Merged::Joined } else { Merged::Restarted };
        *known = membership::Member { listed: known.listed, ..member() };
        merged
    }

    /// Adds a node that the VM list names, or notes that the list still names it.
    pub fn discover(
        &mut self,
        node: &id::Node,
        zone: &id::Zone,
        address: net::SocketAddr,
        now: moment::Moment,
    ) {
        let member = self.nodes.entry(node.clone()).or_insert_with(|| membership::Member {
            zone: zone.clone(),
            address,
            boot: 0,
            heartbeat: 0,
            heartbeat_at: None,
            listed: None,
            draining: false,
        });
        member.listed = Some(now);
    }

    /// Notes that a process announced its drain; ignored if another process took its place.
    pub fn drain(&mut self, node: &id::Node, boot: u64) -> bool {
        let Some(member) = self.nodes.get_mut(node).filter(|m| m.boot == boot && !m.draining)
        else {
            return false;
        };
        member.draining = true;
        true
    }
}

impl membership::Member {
    /// Takes over a heartbeat of the same process.
    fn renew(&mut self, entry: &Entry<'_>, heartbeat_at: moment::Moment) -> Merged {
        let before = (self.heartbeat, self.heartbeat_at, self.draining);
        if entry.heartbeat >= self.heartbeat {
            self.heartbeat = entry.heartbeat;
            self.heartbeat_at = self.heartbeat_at.max(Some(heartbeat_at));
            self.address = entry.address;
        }
        // A draining process does not return to service, so an older digest cannot undo it.
        self.draining |= entry.draining;
        let after = (self.heartbeat, self.heartbeat_at, self.draining);
        if before == after { Merged::Unchanged } else { Merged::Renewed }
    }
}
