//! Other nodes, as they have told of themselves.

use std::{collections, net, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::id;
use corneltrestle_time::moment;
use rand::{Rng, seq::IteratorRandom};

/// Age of a pulse up to which a node counts as live. Pulses within a zone come several times in it.
const LIVE: time::Duration = time::Duration::from_millis(700);

/// Age of a pulse from which a node is forgotten.
const FORGOTTEN: time::Duration = time::Duration::from_secs(10);

/// Nodes that are heard of; rank 20.
#[derive(Debug, Default)]
pub struct Peers {
    heard: collections::BTreeMap<id::Node, Peer>,
    /// The latest datagrams by process and number, so that none is sent on twice.
    seen: collections::VecDeque<(u64, u64)>,
}

/// Datagrams that are remembered.
const SEEN: usize = 512;

/// A node that was heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it answers calls.
    pub link: net::SocketAddr,
    /// Whether it is in the zone of this node.
    pub is_near: bool,
    /// Revision of the facts that it knows.
    pub revision: u64,
    /// Whether it stops.
    pub draining: bool,
    /// When it was last heard of.
    pub at: moment::Moment,
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
            if self.seen.len() > SEEN {
                self.seen.pop_front();
            }
        }
        is_new
    }

    /// Takes the news of a node.
    pub fn hear(&mut self, node: id::Node, peer: Peer) {
        self.heard.insert(node, peer);
    }

    /// The nodes that are live.
    pub fn live(&self, now: moment::Moment) -> impl Iterator<Item = (&id::Node, &Peer)> {
        self.heard.iter().filter(move |(_, peer)| now.since(peer.at) < LIVE)
    }

    /// Live nodes of the own zone that do not stop.
    pub fn near(&self, now: moment::Moment) -> impl Iterator<Item = &id::Node> {
        let near = self.live(now).filter(|(_, peer)| peer.is_near && !peer.draining);
        near.map(|(node, _)| node)
    }

    /// A live node of the own zone, or of the others, that knows later facts than those of a
    /// revision, drawn at random.
    pub fn ahead(
        &self,
        revision: u64,
        is_near: bool,
        now: moment::Moment,
        rng: &mut impl Rng,
    ) -> Option<&Peer> {
        let ahead = self.live(now).map(|(_, peer)| peer);
        ahead.filter(|peer| peer.is_near == is_near && peer.revision > revision).choose(rng)
    }

    /// Forgets nodes that have not been heard of for long.
    pub fn prune(&mut self, now: moment::Moment) {
        self.heard.retain(|_, peer| now.since(peer.at) < FORGOTTEN);
    }
}
