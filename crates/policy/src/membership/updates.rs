//! Updates that nodes push to each other. Each node forwards an update once.

use std::collections;

use crate::id;

/// Maximum number of remembered updates; the oldest are dropped. Forwarding an update again after
/// that costs a few messages and has no other effect.
const MAX_REMEMBERED: usize = 1_024;

/// The identity of an update that cannot wait for the next pull.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Update {
    /// A new revision of the declared state.
    Revision(u64),
    /// Loss of a VM that was a member of a replica.
    Loss {
        /// The VM.
        vm: id::Vm,
        /// The epoch of the replica that it belonged to.
        epoch: u64,
    },
    /// Start of the drain of a node.
    Drain {
        /// The node.
        node: id::Node,
        /// Identifier of its process.
        boot: u64,
    },
}

/// The updates that this node has already forwarded.
#[derive(Clone, Debug, Default)]
pub struct Forwarded {
    /// Highest revision forwarded.
    revision: u64,
    /// The other updates.
    known: collections::BTreeSet<Update>,
    /// The same updates, oldest first.
    order: collections::VecDeque<Update>,
}

impl Forwarded {
    /// Records `update` and returns whether it is to be forwarded: only the first time, and for a
    /// revision only if it is higher than all before.
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
