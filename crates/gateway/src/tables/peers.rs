//! Other nodes, as they have told of themselves.

use std::{collections, net, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::id;
use corneltrestle_time::moment;

/// Age of a pulse up to which a node counts as live. Pulses within a zone come several times in it.
const LIVE: time::Duration = time::Duration::from_millis(700);

/// Age of a pulse from which a node is forgotten.
const FORGOTTEN: time::Duration = time::Duration::from_secs(10);

/// Nodes that are heard of; rank 20.
#[derive(Debug, Default)]
pub struct Peers {
    heard: collections::BTreeMap<id::Node, Peer>,
}

/// A node that was heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it answers calls.
    pub link: net::SocketAddr,
    /// Whether it is in the zone of this node.
    pub is_near: bool,
    /// Revision of the facts that it knows.
    pub revision: u64,
    /// When the platform had confirmed them.
    pub confirmed: Option<moment::Moment>,
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
    /// Takes the news of a node.
    pub fn hear(&mut self, node: id::Node, peer: Peer) {
        self.heard.insert(node, peer);
    }

    /// The nodes that are live.
    pub fn live(&self, now: moment::Moment) -> impl Iterator<Item = (&id::Node, &Peer)> {
        self.heard.iter().filter(move |(_, peer)| now.since(peer.at) < LIVE)
    }

    /// The live node that knows later facts than those of a revision: one of the own zone, if there
    /// is one, and otherwise the one with the latest facts.
    pub fn ahead(&self, revision: u64, now: moment::Moment) -> Option<&Peer> {
        let ahead = self.live(now).map(|(_, peer)| peer).filter(|peer| peer.revision > revision);
        ahead.max_by_key(|peer| (peer.is_near, peer.revision))
    }

    /// Forgets nodes that have not been heard of for long.
    pub fn prune(&mut self, now: moment::Moment) {
        self.heard.retain(|_, peer| now.since(peer.at) < FORGOTTEN);
    }
}
