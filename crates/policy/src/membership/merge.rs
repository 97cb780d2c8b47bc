//! Merging of digests, pushed updates and the VM list into the members.

use std::{collections::btree_map, net, time};

use corneltrestle_time::moment;

use crate::{id, membership};

/// The state of one node in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The node.
    pub node: &'a id::Node,
    /// Its availability zone.
    pub zone: &'a id::Zone,
    /// Address at which it accepts links of other nodes.
    pub address: net::SocketAddr,
    /// Identifier of its process.
    pub boot: u64,
    /// Heartbeat counter of that process.
    pub heartbeat: u64,
    /// Age of that heartbeat when the digest was sent; never underestimated.
    pub age: time::Duration,
    /// Whether the node drains.
    pub draining: bool,
}

/// Effect of merging an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// The entry was not newer than the known state.
    Unchanged,
    /// A newer heartbeat or the start of a drain of a known process.
    Renewed,
    /// A new node, or the first heartbeat of a node that was known only from the VM list.
    Joined,
    /// A newer process of a known node.
    Restarted,
}

impl membership::Members {
    /// Merges the entries of a digest that arrived at `now`. `round_trip` is the time from sending
    /// the request to receiving the digest.
    ///
    /// After a pause of this process, only a digest that was requested after it makes the view
    /// current again; see [`membership::View::is_current`].
    pub fn merge<'a>(
        &mut self,
        entries: impl IntoIterator<Item = Entry<'a>>,
        round_trip: time::Duration,
        now: moment::Moment,
    ) {
        for entry in entries {
            self.merge_entry(&entry, round_trip, now);
        }
        self.refreshed |= self.resumed.is_none_or(|end| now.before(round_trip) >= end);
    }

    /// Merges one entry; see [`membership::Members::merge`].
    pub fn merge_entry(
        &mut self,
        entry: &Entry<'_>,
        round_trip: time::Duration,
        now: moment::Moment,
    ) -> Merged {
        let age = entry.age + round_trip;
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

    /// Records that the VM list contains a node, and adds the node if it is not known.
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

    /// Records that a process announced its drain. Returns false, and changes nothing, if the node
    /// runs another process by now or is known to drain.
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
    /// Merges an entry about the same process.
    fn renew(&mut self, entry: &Entry<'_>, heartbeat_at: moment::Moment) -> Merged {
        let before = (self.heartbeat, self.heartbeat_at, self.draining);
        if entry.heartbeat >= self.heartbeat {
            self.heartbeat = entry.heartbeat;
            self.heartbeat_at = self.heartbeat_at.max(Some(heartbeat_at));
            self.address = entry.address;
        }
        // A process never stops draining, so an older digest must not reset the flag.
        self.draining |= entry.draining;
        let after = (self.heartbeat, self.heartbeat_at, self.draining);
        if before == after { Merged::Unchanged } else { Merged::Renewed }
    }
}
