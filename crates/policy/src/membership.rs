//! Membership of the cluster by gossip: which nodes exist and whether they are alive.
//!
//! Each node increments a heartbeat counter every period and pulls a digest of all known heartbeats
//! from one peer of its zone. A digest carries the age of each heartbeat, not a time of day, and
//! the receiver adds the round trip. So an age is never underestimated, and clocks need not agree.

mod merge;
mod peers;
mod updates;
mod view;

use std::{collections, net, time};

use corneltrestle_time::moment;

use crate::id;

pub use merge::{Entry, Merged};
pub use updates::{Forwarded, Update};
pub use view::{Liveness, View};

/// Time between two pulls of a node, and between two of its heartbeats.
pub const PULL_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Heartbeat age from which a node counts as [`Liveness::Suspect`].
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_secs(3);

/// Heartbeat age from which a node counts as [`Liveness::Dead`].
pub const DEAD_AFTER: time::Duration = time::Duration::from_secs(6);

/// Heartbeat age at which a node is removed. It exceeds any delay of a digest, so that an old
/// digest cannot add the node again.
pub const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// Time between two ticks above which the process counts as paused; three pull periods.
pub const PAUSE_THRESHOLD: time::Duration = time::Duration::from_millis(1_500);

/// The nodes that one node knows, itself included.
#[derive(Clone, Debug)]
pub struct Members {
    own: id::Node,
    nodes: collections::BTreeMap<id::Node, Member>,
    /// When this process started.
    started: moment::Moment,
    /// When [`Members::tick`] was last called.
    ticked: moment::Moment,
    /// End of the latest pause of this process, if any.
    resumed: Option<moment::Moment>,
    /// Whether a digest was requested and received since that pause; true without a pause.
    refreshed: bool,
}

/// A known node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Availability zone of the node.
    pub zone: id::Zone,
    /// Address at which the node accepts links of other nodes.
    pub address: net::SocketAddr,
    /// Identifier of the node's process; 0 until its first heartbeat is known.
    pub boot: u64,
    /// Heartbeat counter of that process.
    pub heartbeat: u64,
    /// Lower bound of the moment of that heartbeat; `None` until the first one is known.
    pub heartbeat_at: Option<moment::Moment>,
    /// When the VM list last contained the node; `None` if it is known from digests only.
    pub listed: Option<moment::Moment>,
    /// Whether the node drains: it takes no new requests and will stop.
    pub draining: bool,
}

impl Members {
    /// The members that a starting node knows: only itself.
    pub fn new(
        own: id::Node,
        zone: id::Zone,
        address: net::SocketAddr,
        boot: u64,
        now: moment::Moment,
    ) -> Self {
        let member = Member {
            zone,
            address,
            boot,
            heartbeat: 1,
            heartbeat_at: Some(now),
            listed: Some(now),
            draining: false,
        };
        let nodes = collections::BTreeMap::from([(own.clone(), member)]);
        Self { own, nodes, started: now, ticked: now, resumed: None, refreshed: true }
    }

    /// Periodic update, to be called every [`PULL_PERIOD`]: increments the own heartbeat, detects a
    /// pause of the process and removes members after [`FORGET_AFTER`]. Returns whether a pause was
    /// detected.
    pub fn tick(&mut self, now: moment::Moment) -> bool {
        let paused = now.since(self.ticked) > PAUSE_THRESHOLD;
        self.ticked = now;
        if paused {
            self.resumed = Some(now);
            self.refreshed = false;
        }
        let is_kept = |member: &Member| {
            let latest = member.heartbeat_at.max(member.listed);
            latest.is_some_and(|latest| now.since(latest) < FORGET_AFTER)
        };
        self.nodes.retain(|id, member| *id == self.own || is_kept(member));
        if let Some(own) = self.nodes.get_mut(&self.own) {
            own.heartbeat += 1;
            own.heartbeat_at = Some(now);
        }
        paused
    }

    /// Sets whether this node drains; later digests contain it.
    pub fn set_draining(&mut self, draining: bool) {
        if let Some(own) = self.nodes.get_mut(&self.own) {
            own.draining = draining;
        }
    }

    /// A view of the members for decisions at `now`.
    pub fn view(&self, now: moment::Moment) -> View<'_> {
        View {
            own: &self.own,
            nodes: &self.nodes,
            now,
            started: self.started,
            resumed: self.resumed,
            refreshed: self.refreshed,
        }
    }
}
