//! The accepted release.

use std::{sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{adoption, release};
use corneltrestle_time::moment;

/// Age of watch data that was never received.
const UNCONFIRMED: time::Duration = time::Duration::from_secs(86_400);

/// The accepted release with its place in the store; rank 10.
#[derive(Debug, Default)]
pub struct Config {
    /// Version of `config/head` in the store when it was read, 0 if learned from a peer.
    pub version: u64,
    /// When a watch or a direct read last confirmed the present revision, on any node.
    pub confirmed: Option<moment::Moment>,
    /// The highest revision with which a peer of the zone has answered.
    pub peer: Option<adoption::Answer>,
    current: Current,
}

impl table::Ranked for Config {
    const RANK: u16 = 10;
    const NAME: &'static str = "config";
}

/// Readers' snapshot of the accepted release; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Current {
    release: sync::Arc<arc_swap::ArcSwap<release::Release>>,
}

impl Current {
    /// The present release.
    pub fn load(&self) -> sync::Arc<release::Release> {
        self.release.load_full()
    }
}

impl Config {
    /// A handle for readers, which do not lock the table.
    pub fn current(&self) -> Current {
        self.current.clone()
    }

    /// The present revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.current.release.load().revision
    }

    /// Age of the newest watch data; a day if there is none.
    pub fn watch_age(&self, now: moment::Moment) -> time::Duration {
        self.confirmed.map_or(UNCONFIRMED, |confirmed| now.since(confirmed))
    }

    /// Notes that `revision` was the newest one at `at`, as the store or a peer says.
    pub fn heard(&mut self, revision: u64, at: moment::Moment) {
        if revision <= self.revision() {
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// Notes that a peer of the zone answered with `revision`.
    pub fn peer_answered(&mut self, revision: u64) {
        let highest = match self.peer {
            Some(adoption::Answer::Revision(known)) => known.max(revision),
            _ => revision,
        };
        self.peer = Some(adoption::Answer::Revision(highest));
    }

    /// Takes a release if its revision is higher than the present one.
    ///
    /// Returns whether it was taken. A revision never goes back, whatever a lagging read or a peer
    /// says.
    pub fn adopt(&mut self, offered: release::Release) -> bool {
        let newer = offered.revision > self.revision();
        if newer {
            self.current.release.store(sync::Arc::new(offered));
        }
        newer
    }
}
