//! The adopted release.

use std::{sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{adoption, release};
use corneltrestle_time::moment;

/// Reported age of the watch data as long as there is none.
const AGE_UNCONFIRMED: time::Duration = time::Duration::from_secs(86_400);

/// The adopted release with its version in the store; rank 10.
#[derive(Debug, Default)]
pub struct Config {
    /// Version of `config/head` in the store when it was read; 0 if it came from a peer.
    pub version: u64,
    /// When the adopted revision was last known to be the newest in the store, from a watch or a
    /// read on any node; `None` if it never was.
    pub confirmed_at: Option<moment::Moment>,
    /// The highest revision of a peer of the zone; `None` until one has answered.
    pub peer_revision: Option<adoption::Answer>,
    current: Current,
}

impl table::Ranked for Config {
    const RANK: u16 = 10;
    const NAME: &'static str = "config";
}

/// Handle for readers of the adopted release; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Current {
    release: sync::Arc<arc_swap::ArcSwap<release::Release>>,
}

impl Current {
    /// The adopted release.
    pub fn load(&self) -> sync::Arc<release::Release> {
        self.release.load_full()
    }
}

impl Config {
    /// A handle for readers, which need not lock the table.
    pub fn current(&self) -> Current {
        self.current.clone()
    }

    /// The adopted revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.current.release.load().revision
    }

    /// Time since the adopted revision was last confirmed; a day if it never was.
    pub fn watch_age(&self, now: moment::Moment) -> time::Duration {
        self.confirmed_at.map_or(AGE_UNCONFIRMED, |confirmed_at| now.since(confirmed_at))
    }

    /// Records that the store was at `revision` at `at`, by a read of the store or a peer's digest.
    ///
    /// This has no effect if the revision is newer than the adopted one.
    pub fn confirm(&mut self, revision: u64, at: moment::Moment) {
        if revision <= self.revision() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records that a peer of the zone answered with `revision`.
    pub fn record_peer(&mut self, revision: u64) {
        let highest = match self.peer_revision {
            Some(adoption::Answer::Revision(known)) => known.max(revision),
            _ => revision,
        };
        self.peer_revision = Some(adoption::Answer::Revision(highest));
    }

    /// Adopts a release if its revision is higher than the adopted one; returns whether it is.
    ///
    /// The revision never decreases, even if a stale read or a peer offers an older one.
    pub fn adopt(&mut self, offered: release::Release) -> bool {
        let is_newer = offered.revision > self.revision();
        if is_newer {
            self.current.release.store(sync::Arc::new(offered));
        }
        is_newer
    }
}
