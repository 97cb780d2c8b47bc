//! Other nodes, as they have told of themselves.

use std::{collections, net, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::id;
use corneltrestle_time::moment;
use rand::{Rng, seq::IteratorRandom};

/// Age of a pulse up to which a node counts as live. Pulses within a zone come several times in it.
const LIVE_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Age of a pulse from which a node is forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// Nodes that are heard of; rank 20.
#[derive(Debug, Default)]
pub struct Peers {
    known: collections::BTreeMap<id::Node, Peer>,
    /// The latest datagrams by process and number, so that none is sent on twice.
    seen: collections::VecDeque<(u64, u64)>,
}

/// Datagrams that are remembered.
const MAX_SEEN: usize = 512;

/// A node that was heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it answers calls.
    pub link: net::SocketAddr,
    /// Whether it is in the zone of this node.
    pub is_local: bool,
    /// Revision of the facts that it knows.
    pub revision: u64,
    /// Whether it stops.
    pub draining: bool,
    /// When it was last heard of.
    pub last_seen: moment::Moment,
}

impl table::Ranked for Peers {
    const RANK: u16 = 20;
    const NAME: &'static str = "peers";
}

impl Peers {
    /// Whether a datagram of a process comes for the first time.
    pub fn is_new(&mut self, boot: u64, sequence: u64) -> bool {
        let is_new = !self.seen.contains(&(boot, sequence));
        if is_new {
            self.seen.push_back((boot, sequence));
            if self.seen.len() > MAX_SEEN {
                self.seen.pop_front();
            }
        }
        is_new
    }

    /// Takes the news of a node.
    pub fn update(&mut self, node: id::Node, peer: Peer) {
        self.known.insert(node, peer);
    }

    /// The nodes that are live.
    pub fn live(&self, now: moment::Moment) -> impl Iterator<Item = (&id::Node, &Peer)> {
        self.known.iter().filter(move |(_, peer)| now.since(peer.last_seen) < LIVE_TIMEOUT)
    }

    /// Live nodes of the own zone that do not stop.
    pub fn same_zone(&self, now: moment::Moment) -> impl Iterator<Item = &id::Node> {
        let same_zone = self.live(now).filter(|(_, peer)| peer.is_local && !peer.draining);
        same_zone.map(|(node, _)| node)
    }

    /// A live node of the own zone, or of the others, that knows later facts than those of a
    /// revision, drawn at random.
    pub fn newer(
        &self,
        revision: u64,
        is_local: bool,
        now: moment::Moment,
        rng: &mut impl Rng,
    ) -> Option<&Peer> {
        let newer = self.live(now).map(|(_, peer)| peer);
        newer.filter(|peer| peer.is_local == is_local && peer.revision > revision).choose(rng)
    }

    /// Forgets nodes that have not been heard of for long.
    pub fn prune(&mut self, now: moment::Moment) {
        self.known.retain(|_, peer| now.since(peer.last_seen) < RETENTION);
    }
}
