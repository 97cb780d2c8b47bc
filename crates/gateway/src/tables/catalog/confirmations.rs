//! The confirmations of facts by their source that this node has seen, so that each one counts once
//! however often nodes pass it on.

use std::collections;

use corneltrestle_wire::mesh;

/// Processes whose latest confirmation is kept; those that are dropped have ended long ago.
const MAX_PROCESSES: usize = 64;

/// The confirmations that this node has seen.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    latest: Option<mesh::Confirmation>,
    /// The confirmation with the highest number of each process.
    seen: collections::VecDeque<mesh::Confirmation>,
}

impl Confirmations {
    /// The confirmation that the age of the facts counts from.
    pub(super) fn latest(&self) -> Option<mesh::Confirmation> {
        self.latest
    }

    /// Records a confirmation; returns whether it is newer than those known of its process.
    pub(super) fn insert(&mut self, confirmation: mesh::Confirmation) -> bool {
        match self.seen.iter_mut().find(|seen| seen.boot == confirmation.boot) {
            Some(seen) if seen.number >= confirmation.number => return false,
            Some(seen) => seen.number = confirmation.number,
            None => {
                self.seen.push_back(confirmation);
                if self.seen.len() > MAX_PROCESSES {
                    self.seen.pop_front();
                }
            }
        }
        self.latest = Some(confirmation);
        true
    }
}
