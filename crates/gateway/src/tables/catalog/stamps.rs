//! Confirmations of the facts by their source.

use std::collections;

use corneltrestle_wire::mesh;

/// Processes whose confirmations are remembered; the others have ended long ago.
const MAX_PROCESSES: usize = 64;

/// The confirmations that this node has taken.
#[derive(Debug, Default)]
pub(super) struct Stamps {
    latest: Option<mesh::Stamp>,
    /// The latest number of each process.
    taken: collections::VecDeque<mesh::Stamp>,
}

impl Stamps {
    /// The confirmation that the age of the facts counts from.
    pub(super) fn latest(&self) -> Option<mesh::Stamp> {
        self.latest
    }

    /// Takes a confirmation; returns whether it is new.
    pub(super) fn take(&mut self, stamp: mesh::Stamp) -> bool {
        match self.taken.iter_mut().find(|taken| taken.boot == stamp.boot) {
            Some(taken) if taken.number >= stamp.number => return false,
            Some(taken) => taken.number = stamp.number,
            None => {
                self.taken.push_back(stamp);
                if self.taken.len() > MAX_PROCESSES {
                    self.taken.pop_front();
                }
            }
        }
        self.latest = Some(stamp);
        true
    }
}
