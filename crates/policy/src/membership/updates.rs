//! Update that nodes push to each other, each piece forwarded once per node.

use std::collections;

use crate::id;

/// Pieces of update that are remembered; the oldest are dropped. A piece that is forwarded again
/// after that costs a few messages and changes nothing.
const MAX_REMEMBERED: usize = 1_024;

/// What identifies a piece of update.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Update {
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

/// The update that this node has forwarded.
#[derive(Clone, Debug, Default)]
pub struct Forwarded {
    revision: u64,
    known: collections::BTreeSet<Update>,
    order: collections::VecDeque<Update>,
}

impl Forwarded {
    /// Whether `update` is to be forwarded; true only the first time. A revision that is not above
    /// the highest one is not forwarded.
    pub fn insert(&mut self, update: &Update) -> bool {
        if let Update::Revision(revision) = update {
            let is_new = *revision > self.revision;
            self.revision = self.revision.max(*revision);
            return is_new;
        }
        if !self.known.insert(update.clone()) {
            return false;
        }
        self.order.push_back(update.clone());
        if self.order.len() > MAX_REMEMBERED {
            self.order.pop_front().inspect(|oldest| {
                self.known.remove(oldest);
            });
        }
        true
    }
}
