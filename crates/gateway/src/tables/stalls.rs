//! Upstreams that have been found to stand still.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::id;
use corneltrestle_time::moment;

/// Time after which a stall that nobody confirms is forgotten.
const LIFE: time::Duration = time::Duration::from_millis(1_500);

/// Stalls by upstream; rank 50.
#[derive(Debug, Default)]
pub struct Stalls {
    found: collections::BTreeMap<id::Vm, Stall>,
}

/// A stall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Epoch of the group that the upstream leads; a later group of it does not stand still.
    pub epoch: u64,
    /// When it was found.
    pub at: moment::Moment,
    /// The latest event of any stream; requests that were sent before it may have begun to run.
    pub progress: Option<moment::Moment>,
    /// Whether this node has found it, and not a peer.
    pub is_own: bool,
}

impl table::Ranked for Stalls {
    const RANK: u16 = 50;
    const NAME: &'static str = "stalls";
}

impl Stalls {
    /// Notes a stall; returns whether it was not known.
    pub fn note(&mut self, upstream: &id::Vm, stall: Stall) -> bool {
        let known = self.found.get(upstream);
        if known.is_some_and(|known| known.epoch >= stall.epoch) {
            return false;
        }
        self.found.insert(upstream.clone(), stall);
        true
    }

    /// Notes a stall that goes on; returns whether it was not known.
    pub fn refresh(&mut self, upstream: &id::Vm, stall: Stall) -> bool {
        match self.found.get_mut(upstream) {
            Some(known) if known.epoch == stall.epoch => {
                (known.at, known.is_own) = (stall.at, stall.is_own);
                false
            }
            _ => {
                self.found.insert(upstream.clone(), stall);
                true
            }
        }
    }

    /// Whether a request that was sent to an upstream at `sent` and has got no answer may have
    /// begun to run before the upstream stood still: passes begin with the latest event.
    pub fn may_have_begun(&self, upstream: &str, sent: moment::Moment) -> bool {
        let progress = self.found.get(upstream).and_then(|stall| stall.progress);
        progress.is_none_or(|progress| sent <= progress)
    }

    /// Takes a stall that another node has found at `stall.at`; returns whether it was not known.
    pub fn hear(&mut self, upstream: &id::Vm, stall: Stall, now: moment::Moment) -> bool {
        if now.since(stall.at) >= LIFE {
            return false;
        }
        match self.found.get_mut(upstream) {
            Some(known) if known.epoch == stall.epoch => {
                known.at = known.at.max(stall.at);
                known.progress = known.progress.max(stall.progress);
                false
            }
            _ => self.note(upstream, stall),
        }
    }

    /// Whether the group of this epoch that an upstream leads stands still.
    pub fn contains(&self, upstream: &str, epoch: u64) -> bool {
        self.found.get(upstream).is_some_and(|stall| stall.epoch == epoch)
    }

    /// Forgets a stall.
    pub fn clear(&mut self, upstream: &str) {
        self.found.remove(upstream);
    }

    /// Forgets old stalls.
    pub fn prune(&mut self, now: moment::Moment) {
        self.found.retain(|_, stall| now.since(stall.at) < LIFE);
    }

    /// All stalls.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Vm, &Stall)> {
        self.found.iter()
    }
}
