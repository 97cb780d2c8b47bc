//! Selection of the peers to pull from and to push to.

use rand::{Rng, seq::IteratorRandom};

use crate::{id, membership, rendezvous};

/// Number of peers to which a node forwards each update.
const FAN_OUT: usize = 3;

/// Number of nodes that a node pulls from in each other zone.
const REMOTE_TARGETS: usize = 2;

/// One in this many pulls goes to a node that counts as dead, so that the parts of a zone find each
/// other again after a network partition.
const PROBE_ROUNDS: u64 = 8;

impl<'a> membership::View<'a> {
    /// The node of the own zone to pull from in `round`.
    ///
    /// The peer is 2^k places after this node in the ring of ids, and k changes with each round. If
    /// all nodes choose the same k in a round, information reaches n nodes in ceil(log2 n) rounds.
    pub fn pull_target(&self, round: u64) -> Option<(&'a id::Node, &'a membership::Member)> {
        let zone = &self.nodes.get(self.own)?.zone;
        let is_present = |(node, member): &(&id::Node, &membership::Member)| {
            *node == self.own || self.classify(member) != membership::Liveness::Dead
        };
        let ring: Vec<_> =
            self.nodes.iter().filter(|(_, m)| m.zone == *zone).filter(is_present).collect();
        let probe = self.probe(zone, round / PROBE_ROUNDS);
        if probe.is_some() && (round % PROBE_ROUNDS == PROBE_ROUNDS - 1 || ring.len() < 2) {
            return probe;
        }
        if ring.len() < 2 {
            return None;
        }
        let own = ring.iter().position(|(node, _)| *node == self.own)?;
        let steps = u64::from((ring.len() - 1).ilog2() + 1);
        // Rounds that probe do not count; otherwise they could always replace the same offset.
        let regular = if probe.is_some() { round - round / PROBE_ROUNDS } else { round };
        let offset = 1_usize << (regular % steps);
        ring.get((own + offset) % ring.len()).copied()
    }

    /// A node of `zone` that counts as dead; successive rounds choose different ones.
    fn probe(&self, zone: &id::Zone, round: u64) -> Option<(&'a id::Node, &'a membership::Member)> {
        let absent: Vec<_> = (self.nodes.iter())
            .filter(|(node, m)| *node != self.own && m.zone == *zone)
            .filter(|(_, member)| self.classify(member) == membership::Liveness::Dead)
            .collect();
        let count = u64::try_from(absent.len()).ok().filter(|count| *count > 0)?;
        absent.get(usize::try_from(round % count).ok()?).copied()
    }

    /// The nodes of another zone that this node pulls from, best first. While no node of that zone
    /// is known to be live, any of its nodes may be chosen.
    pub fn remote_targets(&self, zone: &str) -> Vec<&'a id::Node> {
        let of_zone = || self.nodes.iter().filter(|(_, m)| m.zone.as_str() == zone);
        let live = of_zone()
            .filter(|(_, m)| self.classify(m) == membership::Liveness::Alive && !m.draining);
        let mut names: Vec<_> = live.map(|(node, _)| node.as_str()).collect();
        if names.is_empty() {
            names = of_zone().map(|(node, _)| node.as_str()).collect();
        }
        let first = rendezvous::first(self.own.as_str(), names, REMOTE_TARGETS);
        first.iter().filter_map(|name| self.nodes.get_key_value(*name)).map(|(id, _)| id).collect()
    }

    /// Random nodes to push an update to: none that counts as dead, and not the sender.
    pub fn push_targets<R: Rng>(
        &self,
        sender: Option<&id::Node>,
        rng: &mut R,
    ) -> Vec<(&'a id::Node, &'a membership::Member)> {
        (self.nodes.iter())
            .filter(|(node, _)| *node != self.own && Some(*node) != sender)
            .filter(|(_, member)| self.classify(member) != membership::Liveness::Dead)
            .choose_multiple(rng, FAN_OUT)
    }
}
