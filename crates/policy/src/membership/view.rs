//! Queries on the members at one moment.

use std::collections;

use corneltrestle_time::moment;

use crate::{id, membership};

/// The members at one moment.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    pub(super) own: &'a id::Node,
    pub(super) nodes: &'a collections::BTreeMap<id::Node, membership::Member>,
    pub(super) now: moment::Moment,
    pub(super) started: moment::Moment,
    pub(super) resumed: Option<moment::Moment>,
    pub(super) refreshed: bool,
}

/// Liveness of a node by the age of its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Younger than [`membership::SUSPECT_AFTER`].
    Alive,
    /// Younger than [`membership::DEAD_AFTER`].
    Suspect,
    /// Older, or the node or its heartbeat is not known.
    Dead,
}

impl<'a> View<'a> {
    /// This node.
    pub fn own(&self) -> &'a id::Node {
        self.own
    }

    /// What is known of a node; `None` if it is not known.
    pub fn get(&self, node: &str) -> Option<&'a membership::Member> {
        self.nodes.get(node)
    }

    /// Liveness of a node.
    pub fn liveness(&self, node: &str) -> Liveness {
        self.get(node).map_or(Liveness::Dead, |member| self.classify(member))
    }

    pub(super) fn classify(&self, member: &membership::Member) -> Liveness {
        match member.heartbeat_at.map(|heartbeat_at| self.now.since(heartbeat_at)) {
            Some(age) if age < membership::SUSPECT_AFTER => Liveness::Alive,
            Some(age) if age < membership::DEAD_AFTER => Liveness::Suspect,
            _ => Liveness::Dead,
        }
    }

    /// The nodes of `zone` that are alive and do not drain, in id order.
    pub fn live(
        &self,
        zone: &'a str,
    ) -> impl Iterator<Item = (&'a id::Node, &'a membership::Member)> + '_ {
        self.nodes.iter().filter(move |(_, member)| {
            member.zone.as_str() == zone
                && !member.draining
                && self.classify(member) == Liveness::Alive
        })
    }

    /// Number of nodes of all zones that are alive, this one included.
    pub fn alive_count(&self) -> usize {
        self.nodes.values().filter(|member| self.classify(member) == Liveness::Alive).count()
    }

    /// Whether the view may be used for decisions: the process was not paused, or a digest that was
    /// requested after the pause has arrived.
    ///
    /// If all peers count as dead, none can send a digest, so the view counts as current.
    pub fn is_current(&self) -> bool {
        let dead = |(node, member): (&id::Node, &membership::Member)| {
            node == self.own || self.classify(member) == Liveness::Dead
        };
        self.refreshed || self.nodes.iter().all(dead)
    }

    /// Whether this node has just started and does not know all nodes of its zone yet.
    ///
    /// `listed` are the nodes of the zone in the VM list. The answer is true while the list lacks
    /// this node, or contains a node without a known heartbeat. It is false from
    /// [`membership::SUSPECT_AFTER`] after the start, because a listed node may be lost for good.
    pub fn is_bootstrapping<'b>(&self, listed: impl IntoIterator<Item = &'b str>) -> bool {
        if self.now.since(self.started) >= membership::SUSPECT_AFTER {
            return false;
        }
        let (mut has_own, mut has_unknown) = (false, false);
        for node in listed {
            has_own |= node == self.own.as_str();
            has_unknown |= self.get(node).is_none_or(|member| member.heartbeat_at.is_none());
        }
        !has_own || has_unknown
    }

    /// Whether data of the moment `updated` may be used: only if the process was not paused since.
    pub fn is_usable(&self, updated: moment::Moment) -> bool {
        self.resumed.is_none_or(|end| updated >= end)
    }

    /// End of the latest pause of this process; `None` if there was none.
    pub fn resumed(&self) -> Option<moment::Moment> {
        self.resumed
    }

    /// The entries of a digest that is sent at the moment of this view.
    pub fn entries(&self) -> impl Iterator<Item = membership::Entry<'a>> + '_ {
        self.nodes.iter().filter_map(|(node, member)| {
            Some(membership::Entry {
                node,
                zone: &member.zone,
                address: member.address,
                boot: member.boot,
                heartbeat: member.heartbeat,
                age: self.now.since(member.heartbeat_at?),
                draining: member.draining,
            })
        })
    }
}
