//! Queue of datagrams to other nodes.

use std::net;

use corneltrestle_kernel::table;

/// Queue length. Beyond it the oldest datagram is dropped; receivers tolerate lost datagrams.
const MAX_WAITING: usize = 256;

/// Queued datagrams; lock rank 70.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: Vec<Item>,
}

/// A datagram with its receivers.
#[derive(Clone, Debug)]
pub struct Item {
    /// Encoded bytes.
    pub datagram: Vec<u8>,
    /// The nodes to send it to.
    pub reach: Reach,
}

/// The receivers of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// One node.
    Peer(net::SocketAddr),
    /// All other nodes of the own zone.
    Zone,
    /// The nodes of the own zone that take heartbeats: its hubs, or all if there are few nodes.
    Listeners,
    /// The same, and some nodes of each other zone, which forward it to the listeners there.
    AllListeners,
    /// All other nodes of the own zone, and some nodes of each other zone, which forward it.
    All,
}

impl table::Ranked for Outbox {
    const RANK: u16 = 70;
    const NAME: &'static str = "outbox";
}

impl Outbox {
    /// Appends a datagram.
    pub fn push(&mut self, item: Item) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push(item);
    }

    /// Removes and returns all datagrams.
    pub fn take(&mut self) -> Vec<Item> {
        std::mem::take(&mut self.waiting)
    }
}
