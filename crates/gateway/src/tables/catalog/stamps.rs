//! Stamps of the source's confirmations, so that each confirmation counts once however often nodes
//! pass it on.

use std::collections;

use corneltrestle_wire::mesh;

/// Processes whose latest stamp is kept; older ones have ended long ago.
const MAX_PROCESSES: usize = 64;

/// The stamps that this node has seen.
#[derive(Debug, Default)]
pub(super) struct Stamps {
    latest: Option<mesh::Stamp>,
    /// The highest stamp of each process.
    seen: collections::VecDeque<mesh::Stamp>,
}

impl Stamps {
    /// The stamp of the confirmation from which the age of the facts counts.
    pub(super) fn latest(&self) -> Option<mesh::Stamp> {
        self.latest
    }

    /// Records a stamp; returns whether it is newer than those known of its process.
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
