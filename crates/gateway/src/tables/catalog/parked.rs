//! Changes that arrived before the ones that precede them, as datagrams overtake each other.

use std::collections;

use corneltrestle_policy::revision;
use corneltrestle_time::moment;

use crate::source::Changes;

/// Sets of changes that are kept; a node that lacks more fetches them from a peer.
const MAX_PARKED: usize = 256;

/// Changes whose predecessors are missing, by the revision that they follow.
#[derive(Debug, Default)]
pub(super) struct Parked(collections::BTreeMap<revision::Revision, (Changes, moment::Moment)>);

impl Parked {
    /// Keeps changes that follow revision `after` and were the latest ones at `at`.
    pub(super) fn insert(
        &mut self,
        after: revision::Revision,
        changes: Changes,
        at: moment::Moment,
    ) {
        self.0.insert(after, (changes, at));
        if self.0.len() > MAX_PARKED {
            self.0.pop_last();
        }
    }

    /// Takes changes that follow directly on `revision`; drops those that it includes.
    pub(super) fn next(
        &mut self,
        revision: revision::Revision,
    ) -> Option<(Changes, moment::Moment)> {
        while let Some(first) = self.0.first_entry()
            && *first.key() <= revision
        {
            let found = first.remove();
            if found.0.revision > revision {
                return Some(found);
            }
        }
        None
    }
}
