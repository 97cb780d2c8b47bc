//! Other nodes, as known from their datagrams.

use std::{collections, net, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{hubs, id, revision};
use corneltrestle_time::moment;
use rand::{Rng, seq::IteratorRandom};

/// Age of the last datagram up to which a node counts as live. Within a zone, several heartbeats
/// arrive in this time.
const LIVE_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Age of the last datagram from which a node is dropped.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// Nodes that were heard from; lock rank 20.
#[derive(Debug, Default)]
pub struct Peers {
    known: collections::BTreeMap<id::Node, Peer>,
    /// Boot identifiers and sequence numbers of the latest forwarded datagrams, so that none is
    /// forwarded twice.
    seen: collections::HashSet<(u64, u64)>,
    /// The same, oldest first.
    seen_order: collections::VecDeque<(u64, u64)>,
    hubs: hubs::Hubs,
}

/// Datagrams that are remembered as seen.
const MAX_SEEN: usize = 1_024;

/// A node that was heard from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address on which it answers the calls of other nodes.
    pub link: net::SocketAddr,
    /// Whether it is in the zone of this node.
    pub is_local: bool,
    /// Revision of its facts.
    pub revision: revision::Revision,
    /// Whether it is shutting down.
    pub draining: bool,
    /// When its latest datagram arrived.
    pub last_seen: moment::Moment,
}

impl table::Ranked for Peers {
    const RANK: u16 = 20;
    const NAME: &'static str = "peers";
}

impl Peers {
    /// Records a datagram as seen; returns whether it is the first with this number from the
    /// process.
    pub fn is_new(&mut self, boot: u64, sequence: u64) -> bool {
        let is_new = self.seen.insert((boot, sequence));
        if is_new {
            self.seen_order.push_back((boot, sequence));
            if self.seen_order.len() > MAX_SEEN
                && let Some(oldest) = self.seen_order.pop_front()
            {
                self.seen.remove(&oldest);
            }
        }
        is_new
    }

    /// Stores the latest state of a node.
    pub fn update(&mut self, node: id::Node, peer: Peer) {
        self.known.insert(node, peer);
    }

    /// Nodes that were heard from within `LIVE_TIMEOUT`.
    pub fn live(&self, now: moment::Moment) -> impl Iterator<Item = (&id::Node, &Peer)> {
        self.known.iter().filter(move |(_, peer)| now.since(peer.last_seen) < LIVE_TIMEOUT)
    }

    /// Number of nodes that were heard from within `RETENTION`.
    pub fn number(&self) -> usize {
        self.known.len()
    }

    /// When a node was last heard from that does not have later facts than those of `revision`.
    pub fn last_agreed(&self, revision: revision::Revision) -> Option<moment::Moment> {
        let agreed = self.known.values().filter(|peer| peer.revision <= revision);
        agreed.map(|peer| peer.last_seen).max()
    }

    /// Chooses the hubs of the own zone among its registered nodes, which are given with whether
    /// each is large. Nodes that are shutting down are left out.
    pub fn choose_hubs<'a>(
        &mut self,
        zone: &id::Zone,
        own: &id::Node,
        registered: impl IntoIterator<Item = (&'a id::Node, bool)>,
        pause_end: Option<moment::Moment>,
        now: moment::Moment,
    ) -> &[id::Node] {
        let candidate = |(node, is_large): (&'a id::Node, bool)| {
            let peer = self.known.get(node);
            let heard = peer.map(|peer| peer.last_seen);
            let is_draining = peer.is_some_and(|peer| peer.draining);
            (!is_draining).then(|| hubs::Candidate { node: node.as_str(), is_large, heard })
        };
        let candidates: Vec<_> = registered.into_iter().filter_map(candidate).collect();
        self.hubs.choose(zone.as_str(), own.as_str(), &candidates, pause_end, now)
    }

    /// Whether a node has said that it is shutting down.
    pub fn is_draining(&self, node: &str) -> bool {
        self.known.get(node).is_some_and(|peer| peer.draining)
    }

    /// The hubs of the own zone that were chosen last.
    pub fn hubs(&self) -> &hubs::Hubs {
        &self.hubs
    }

    /// A random live node with a later revision of the facts: of the own zone if `is_local`, else
    /// of the other zones.
    pub fn newer(
        &self,
        revision: revision::Revision,
        is_local: bool,
        now: moment::Moment,
        rng: &mut impl Rng,
    ) -> Option<&Peer> {
        let newer = self.live(now).map(|(_, peer)| peer);
        newer.filter(|peer| peer.is_local == is_local && peer.revision > revision).choose(rng)
    }

    /// Removes nodes that were not heard from within `RETENTION`.
    pub fn prune(&mut self, now: moment::Moment) {
        self.known.retain(|_, peer| now.since(peer.last_seen) < RETENTION);
    }
}
