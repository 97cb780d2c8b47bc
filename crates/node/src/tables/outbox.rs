//! News that wait to be pushed to peers.

use std::{collections, sync};

use corneltrestle_kernel::table;
use corneltrestle_policy::id;
use corneltrestle_wire::link;
use tokio::sync::Notify;

/// Most pieces of news that wait; older ones then reach peers by their pulls.
const WAITING: usize = 256;

/// News to push; rank 22.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: collections::VecDeque<Post>,
    added: sync::Arc<Notify>,
}

/// A piece of news with the node that it came from, if it came from a peer.
#[derive(Clone, Debug)]
pub struct Post {
    /// The news.
    pub kind: link::UpdateKind,
    /// The node that sent it.
    pub sender: Option<id::Node>,
}

impl table::Ranked for Outbox {
    const RANK: u16 = 22;
    const NAME: &'static str = "outbox";
}

impl Outbox {
    /// Adds a piece of news.
    pub fn post(&mut self, kind: link::UpdateKind, sender: Option<id::Node>) {
        if self.waiting.len() == WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Post { kind, sender });
        self.added.notify_one();
    }

    /// Takes the news that wait.
    pub fn take(&mut self) -> collections::VecDeque<Post> {
        std::mem::take(&mut self.waiting)
    }

    /// Notified when news are added.
    pub fn added(&self) -> sync::Arc<Notify> {
        sync::Arc::clone(&self.added)
    }
}
