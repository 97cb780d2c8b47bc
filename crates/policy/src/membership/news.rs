//! News that nodes push to each other, each piece forwarded once per node.

use std::collections;

use crate::id;

/// Pieces of news that are remembered; the oldest are dropped. A piece that is forwarded again
/// after that costs a few messages and changes nothing.
const REMEMBERED: usize = 1_024;

/// What identifies a piece of news.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum News {
    /// A revision of the declared state.
    Revision(u64),
    /// Loss of a VM while it was a member at this epoch.
    Loss {
        /// The VM.
        vm: id::Vm,
        /// The epoch of its replica.
        epoch: u64,
    },
    /// Drain of a node.
    Drain {
        /// The node.
        node: id::Node,
        /// Its process.
        boot: u64,
    },
}

/// The news that this node has forwarded.
#[derive(Clone, Debug, Default)]
pub struct Forwarded {
    revision: u64,
    known: collections::BTreeSet<News>,
    order: collections::VecDeque<News>,
}

impl Forwarded {
    /// Whether `news` is to be forwarded; true only the first time. A revision that is not above
    /// the highest one is not forwarded.
    pub fn first(&mut self, news: &News) -> bool {
        if let News::Revision(revision) = news {
            let is_new = *revision > self.revision;
            self.revision = self.revision.max(*revision);
            return is_new;
        }
        if !self.known.insert(news.clone()) {
            return false;
        }
        self.order.push_back(news.clone());
        if self.order.len() > REMEMBERED {
            self.order.pop_front().inspect(|oldest| {
                self.known.remove(oldest);
            });
        }
        true
    }
}
