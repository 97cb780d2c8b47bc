//! Which nodes there are, learned from heartbeats that spread through digests.
//!
//! Each node of a zone pulls the digest of one peer per period. Ages are relative and grow by the
//! round trip of each transfer, so an age is never underestimated and clocks need not agree.

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

/// Time between two pulls of a node.
pub const PULL_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Heartbeat age from which a node is suspect.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_secs(3);

/// Heartbeat age from which a node is dead.
pub const DEAD_AFTER: time::Duration = time::Duration::from_secs(6);

/// Heartbeat age at which a node is forgotten; above any delay of a digest, so that an old digest
/// does not bring it back.
pub const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// A gap between two runs above this means that the process was paused: three periods.
pub const PAUSE_THRESHOLD: time::Duration = time::Duration::from_millis(1_500);

/// The nodes that one node knows of.
#[derive(Clone, Debug)]
pub struct Members {
    own: id::Node,
    nodes: collections::BTreeMap<id::Node, Member>,
    started: moment::Moment,
    ticked: moment::Moment,
    resumed: Option<moment::Moment>,
    refreshed: bool,
}

/// A known node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Availability zone.
    pub zone: id::Zone,
    /// Address of its link.
    pub address: net::SocketAddr,
    /// Identifier of its process; 0 before its first heartbeat is known.
    pub boot: u64,
    /// Heartbeat counter of that process.
    pub heartbeat: u64,
    /// No later than the moment of that heartbeat; `None` before the first one is known.
    pub heartbeat_at: Option<moment::Moment>,
    /// When the VM list last named it.
    pub listed: Option<moment::Moment>,
    /// Whether it drains.
    pub draining: bool,
}

impl Members {
    /// The members as a starting node knows them: itself.
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

    /// Starts a run at `now`: counts the own heartbeat, detects a pause and forgets members that
    /// have been dead for long. Returns whether a pause was detected.
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

    /// Sets whether this node drains; digests carry it from now on.
    pub fn set_draining(&mut self, draining: bool) {
        if let Some(own) = self.nodes.get_mut(&self.own) {
            own.draining = draining;
        }
    }

    /// Borrows the members for decisions at `now`.
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
