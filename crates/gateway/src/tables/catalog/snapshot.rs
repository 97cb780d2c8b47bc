//! The snapshot of the facts that requests read.

use std::{collections, sync};

use corneltrestle_policy::{deployment, fleet, id, revision};
use corneltrestle_time::moment;

use super::{Catalog, Entry};
use crate::source::{Fact, Holder, Node, Subject};

/// Fraction of the largest node's memory from which a node counts as large. Nodes of one size
/// differ in the memory that the operating system reserves.
const LARGE_MEMORY_RATIO: f64 = 0.75;

/// The latest snapshot, shared with readers.
pub type Current = sync::Arc<arc_swap::ArcSwap<Snapshot>>;

/// Facts at one revision, indexed for requests.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Revision of the latest change that is included.
    pub revision: revision::Revision,
    /// The configuration; `None` before it is known.
    pub deployment: Option<sync::Arc<deployment::Deployment>>,
    /// Evacuated zones: their upstreams receive no new requests.
    pub evacuated: collections::BTreeSet<id::Zone>,
    /// Registered upstreams and the groups they form.
    pub fleet: sync::Arc<fleet::Fleet>,
    /// Until when each newly started upstream is cold and takes requests at a limited rate.
    pub cold: sync::Arc<collections::BTreeMap<id::Vm, moment::Moment>>,
    /// Registered nodes, this one included.
    pub nodes: sync::Arc<collections::BTreeMap<id::Node, Node>>,
    /// The holder of the coordinator's lease; `None` if it is free.
    pub coordinator: Option<Holder>,
}

impl Snapshot {
    /// Whether a node has about as much memory as the largest node of `zone`, or of all zones. Work
    /// on behalf of other nodes is left to large nodes.
    pub fn is_large(&self, node: &str, zone: Option<&id::Zone>) -> bool {
        let nodes =
            || self.nodes.values().filter(|node| zone.is_none_or(|zone| node.zone == *zone));
        let most = nodes().map(|node| node.memory).max().unwrap_or(0);
        self.nodes
            .get(node)
            .is_some_and(|node| node.memory as f64 >= most as f64 * LARGE_MEMORY_RATIO)
    }

    /// The nodes of a zone, with whether each has about as much memory as the largest of them.
    pub fn nodes_of(&self, zone: &id::Zone) -> Vec<(&id::Node, bool)> {
        let nodes = || self.nodes.iter().filter(|(_, node)| node.zone == *zone);
        let most = nodes().map(|(_, node)| node.memory).max().unwrap_or(0) as f64;
        let is_large = |node: &Node| node.memory as f64 >= most * LARGE_MEMORY_RATIO;
        nodes().map(|(id, node)| (id, is_large(node))).collect()
    }
}

/// The parts of a snapshot.
impl Catalog {
    /// The facts that this node uses.
    fn all_used(&self) -> impl Iterator<Item = (&Subject, &Entry)> {
        let facts = self.facts.iter().filter(|(subject, _)| !self.retained.contains(subject));
        facts.chain(self.retained.kept())
    }

    /// The registered upstreams, and until when they are cold.
    #[allow(clippy::type_complexity, reason = "the pair is taken apart at once")]
    pub(super) fn upstreams(
        &self,
    ) -> (sync::Arc<fleet::Fleet>, sync::Arc<collections::BTreeMap<id::Vm, moment::Moment>>) {
        let mut upstreams = Vec::with_capacity(self.facts.len());
        let mut cold = collections::BTreeMap::new();
        for (_, known) in self.all_used() {
            let Fact::Upstream(upstream) = &known.fact else { continue };
            if !upstream.cold_left.is_zero() {
                cold.insert(upstream.id.clone(), known.received + upstream.cold_left);
            }
            upstreams.push(sync::Arc::clone(upstream));
        }
        (sync::Arc::new(fleet::Fleet::new(upstreams)), sync::Arc::new(cold))
    }

    pub(super) fn nodes(&self) -> collections::BTreeMap<id::Node, Node> {
        let nodes = self.all_used().filter_map(|(subject, known)| match (subject, &known.fact) {
            (Subject::Node(id), Fact::Node(node)) => Some((id.clone(), node.clone())),
            _ => None,
        });
        nodes.collect()
    }

    pub(super) fn deployment(&self) -> Option<sync::Arc<deployment::Deployment>> {
        match &self.facts.get(&Subject::Deployment)?.fact {
            Fact::Deployment(declared) => Some(sync::Arc::clone(declared)),
            _ => None,
        }
    }

    pub(super) fn evacuated(&self) -> collections::BTreeSet<id::Zone> {
        let zones = self.all_used().filter_map(|(subject, _)| match subject {
            Subject::Evacuation(zone) => Some(zone.clone()),
            _ => None,
        });
        zones.collect()
    }

    pub(super) fn coordinator(&self) -> Option<Holder> {
        match &self.facts.get(&Subject::Coordinator)?.fact {
            Fact::Coordinator(holder) => Some(holder.clone()),
            _ => None,
        }
    }
}
