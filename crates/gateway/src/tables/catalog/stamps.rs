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
    seen: collections::VecDeque<mesh::Stamp>,
}

impl Stamps {
    /// The confirmation that the age of the facts counts from.
    pub(super) fn latest(&self) -> Option<mesh::Stamp> {
        self.latest
    }

    /// Takes a confirmation; returns whether it is new.
    pub(super) fn insert(&mut self, stamp: mesh::Stamp) -> bool {
        match self.seen.iter_mut().find(|seen| seen.boot == stamp.boot) {
            Some(seen) if seen.number >= stamp.number => return false,
            Some(seen) => seen.number = stamp.number,
            None => {
                self.seen.push_back(stamp);
                if self.seen.len() > MAX_PROCESSES {
                    self.seen.pop_front();
                }
            }
        }
        self.latest = Some(stamp);
        true
    }
}
