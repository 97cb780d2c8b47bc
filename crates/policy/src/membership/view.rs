//! Decisions over the members at one moment.

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

/// Whether a node is there, by the age of its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Below [`membership::SUSPECT_AFTER`].
    Alive,
    /// Below [`membership::DEAD_AFTER`].
    Suspect,
    /// Older, or no heartbeat is known.
    Dead,
}

impl<'a> View<'a> {
    /// This node.
    pub fn own(&self) -> &'a id::Node {
        self.own
    }

    /// A known node.
    pub fn get(&self, node: &str) -> Option<&'a membership::Member> {
        self.nodes.get(node)
    }

    /// Whether a node is there.
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

    /// Whether decisions may be taken: no pause, or the members were renewed since.
    ///
    /// A node without any peer left in its view has nobody to renew it from, so it need not wait.
    pub fn is_current(&self) -> bool {
        let dead = |(node, member): (&id::Node, &membership::Member)| {
            node == self.own || self.classify(member) == Liveness::Dead
        };
        self.refreshed || self.nodes.iter().all(dead)
    }

    /// Whether this node has just started and does not know all nodes of its zone yet: `listed`,
    /// the nodes of the zone in the VM list, lacks this node or holds one that was never heard of.
    ///
    /// It ends [`membership::SUSPECT_AFTER`] after the start, because a listed node may be lost for good.
    pub fn is_bootstrapping<'b>(&self, listed: impl IntoIterator<Item = &'b str>) -> bool {
        if self.now.since(self.started) >= membership::SUSPECT_AFTER {
            return false;
        }
        let (mut has_own, mut has_unheard) = (false, false);
        for node in listed {
            has_own |= node == self.own.as_str();
            has_unheard |= self.get(node).is_none_or(|member| member.heartbeat_at.is_none());
        }
        !has_own || has_unheard
    }

    /// Whether data that was renewed at `renewed` may be used: not if it dates from before the
    /// latest pause.
    pub fn is_usable(&self, renewed: moment::Moment) -> bool {
        self.resumed.is_none_or(|end| renewed >= end)
    }

    /// The end of the latest pause of this process.
    pub fn resumed(&self) -> Option<moment::Moment> {
        self.resumed
    }

    /// The entries of a digest that is sent now.
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
