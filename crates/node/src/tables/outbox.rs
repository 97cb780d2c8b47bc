//! Updates that are to be pushed to peers.

use std::{collections, sync};

use corneltrestle_kernel::table;
use corneltrestle_policy::id;
use corneltrestle_wire::link;
use tokio::sync::Notify;

/// Limit of queued updates. When it is reached the oldest is dropped; peers then learn of it by
/// their pulls.
const MAX_ENTRIES: usize = 256;

/// Updates to push; rank 22.
#[derive(Debug, Default)]
pub struct Outbox {
    entries: collections::VecDeque<Entry>,
    added: sync::Arc<Notify>,
}

/// An update to push.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The update.
    pub kind: link::UpdateKind,
    /// The peer that it came from, to which it is not pushed; `None` if it is this node's own.
    pub sender: Option<id::Node>,
}

impl table::Ranked for Outbox {
    const RANK: u16 = 22;
    const NAME: &'static str = "outbox";
}

impl Outbox {
    /// Adds an update and wakes the task that pushes.
    pub fn push(&mut self, kind: link::UpdateKind, sender: Option<id::Node>) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { kind, sender });
        self.added.notify_one();
    }

    /// Removes and returns all queued updates.
    pub fn take(&mut self) -> collections::VecDeque<Entry> {
        std::mem::take(&mut self.entries)
    }

    /// Notified whenever an update is added.
    pub fn added(&self) -> sync::Arc<Notify> {
        sync::Arc::clone(&self.added)
    }
}
