//! Upstreams that have been found to stand still.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::id;
use corneltrestle_time::moment;

/// Time after which a stall that nobody confirms is forgotten.
const RETENTION: time::Duration = time::Duration::from_millis(1_500);

/// Stalls by upstream; rank 50.
#[derive(Debug, Default)]
pub struct Stalls {
    known: collections::BTreeMap<id::Vm, Stall>,
}

/// A stall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Epoch of the group that the upstream leads; a later group of it does not stand still.
    pub epoch: u64,
    /// When it was found.
    pub detected: moment::Moment,
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
    pub fn insert(&mut self, upstream: &id::Vm, stall: Stall) -> bool {
        let known = self.known.get(upstream);
        if known.is_some_and(|known| known.epoch >= stall.epoch) {
            return false;
        }
        self.known.insert(upstream.clone(), stall);
        true
    }

    /// Notes a stall that goes on; returns whether it was not known.
    pub fn refresh(&mut self, upstream: &id::Vm, stall: Stall) -> bool {
        match self.known.get_mut(upstream) {
            Some(known) if known.epoch == stall.epoch => {
                (known.detected, known.is_own) = (stall.detected, stall.is_own);
                false
            }
            _ => {
                self.known.insert(upstream.clone(), stall);
                true
            }
        }
    }

    /// Whether a request that was sent to an upstream at `sent` and has got no answer may have
    /// begun to run before the upstream stood still: passes begin with the latest event.
    pub fn may_have_begun(&self, upstream: &str, sent: moment::Moment) -> bool {
        let progress = self.known.get(upstream).and_then(|stall| stall.progress);
        progress.is_none_or(|progress| sent <= progress)
    }

    /// Takes a stall that another node has found at `stall.detected`; returns whether it was not known.
    pub fn merge(&mut self, upstream: &id::Vm, stall: Stall, now: moment::Moment) -> bool {
        if now.since(stall.detected) >= RETENTION {
            return false;
        }
        match self.known.get_mut(upstream) {
            Some(known) if known.epoch == stall.epoch => {
                known.detected = known.detected.max(stall.detected);
                known.progress = known.progress.max(stall.progress);
                false
            }
            _ => self.insert(upstream, stall),
        }
    }

    /// Whether the group of this epoch that an upstream leads stands still.
    pub fn contains(&self, upstream: &str, epoch: u64) -> bool {
        self.known.get(upstream).is_some_and(|stall| stall.epoch == epoch)
    }

    /// Forgets a stall.
    pub fn clear(&mut self, upstream: &str) {
        self.known.remove(upstream);
    }

    /// Forgets old stalls.
    pub fn prune(&mut self, now: moment::Moment) {
        self.known.retain(|_, stall| now.since(stall.detected) < RETENTION);
    }

    /// All stalls.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Vm, &Stall)> {
        self.known.iter()
    }
}
