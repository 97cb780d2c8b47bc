//! Datagrams that wait to be sent to other nodes.

use corneltrestle_kernel::table;

/// Datagrams that are kept; with more, the oldest are dropped, as all may be lost.
const MAX_WAITING: usize = 256;

/// Datagrams to spread; rank 70.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: Vec<Item>,
}

/// A datagram with its receivers.
#[derive(Clone, Debug)]
pub struct Item {
    /// The datagram.
    pub datagram: Vec<u8>,
    /// Who is to get it.
    pub reach: Reach,
}

/// Who is to get a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The nodes of the own zone.
    Zone,
    /// The nodes of the own zone, and some of each other zone, which send it on.
    All,
}

impl table::Ranked for Outbox {
    const RANK: u16 = 70;
    const NAME: &'static str = "outbox";
}

impl Outbox {
    /// Adds a datagram.
    pub fn push(&mut self, item: Item) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push(item);
    }

    /// Takes all datagrams.
    pub fn take(&mut self) -> Vec<Item> {
        std::mem::take(&mut self.waiting)
    }
}
