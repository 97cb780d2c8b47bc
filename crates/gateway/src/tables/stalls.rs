//! Upstreams that have stalled.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::id;
use corneltrestle_time::moment;

/// Time after which a stall that is not confirmed again is dropped.
const RETENTION: time::Duration = time::Duration::from_millis(1_500);

/// Stalls by upstream; lock rank 50.
#[derive(Debug, Default)]
pub struct Stalls {
    known: collections::BTreeMap<id::Vm, Stall>,
}

/// A stall of the group that an upstream leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Epoch of the stalled group; the stall does not apply to a later group of the upstream.
    pub epoch: u64,
    /// When it was detected, or last confirmed.
    pub detected: moment::Moment,
    /// Time of the latest event of any of its streams, if known. Requests sent after it have hardly
    /// begun to run.
    pub progress: Option<moment::Moment>,
    /// Whether this node detected it, and not a peer.
    pub is_own: bool,
    /// Whether a member of the group is lost. Otherwise the stall is concluded from missing events
    /// only, which may be lost or read late.
    pub has_lost_member: bool,
}

impl table::Ranked for Stalls {
    const RANK: u16 = 50;
    const NAME: &'static str = "stalls";
}

impl Stalls {
    /// Adds a stall; returns whether it was not known, or known only of an earlier epoch.
    pub fn insert(&mut self, upstream: &id::Vm, stall: Stall) -> bool {
        let known = self.known.get(upstream);
        if known.is_some_and(|known| known.epoch >= stall.epoch) {
            return false;
        }
        self.known.insert(upstream.clone(), stall);
        true
    }

    /// Adds a stall or confirms it; returns whether it was not known.
    pub fn refresh(&mut self, upstream: &id::Vm, stall: Stall) -> bool {
        match self.known.get_mut(upstream) {
            Some(known) if known.epoch == stall.epoch => {
                (known.detected, known.is_own) = (stall.detected, stall.is_own);
                known.has_lost_member |= stall.has_lost_member;
                false
            }
            _ => {
                self.known.insert(upstream.clone(), stall);
                true
            }
        }
    }

    /// Whether a request sent to a stalled upstream at `sent` and not answered is likely to have begun
    /// to run before the stall: engine passes start with the latest event. This is no proof, as later
    /// events may be lost on the way.
    pub fn has_begun(&self, upstream: &str, sent: moment::Moment) -> bool {
        let progress = self.known.get(upstream).and_then(|stall| stall.progress);
        progress.is_none_or(|progress| sent <= progress)
    }

    /// Merges a stall that another node detected at `stall.detected`; returns whether it was not
    /// known.
    pub fn merge(&mut self, upstream: &id::Vm, stall: Stall, now: moment::Moment) -> bool {
        if now.since(stall.detected) >= RETENTION {
            return false;
        }
        match self.known.get_mut(upstream) {
            Some(known) if known.epoch == stall.epoch => {
                known.detected = known.detected.max(stall.detected);
                known.progress = known.progress.max(stall.progress);
                known.has_lost_member |= stall.has_lost_member;
                false
            }
            _ => self.insert(upstream, stall),
        }
    }

    /// The stall of the group that an upstream leads with this epoch, if there is one.
    pub fn get(&self, upstream: &str, epoch: u64) -> Option<&Stall> {
        self.known.get(upstream).filter(|stall| stall.epoch == epoch)
    }

    /// Whether the group that an upstream leads with this epoch is stalled.
    pub fn contains(&self, upstream: &str, epoch: u64) -> bool {
        self.get(upstream, epoch).is_some()
    }

    /// Removes a stall.
    pub fn clear(&mut self, upstream: &str) {
        self.known.remove(upstream);
    }

    /// Removes stalls that are older than `RETENTION`.
    pub fn prune(&mut self, now: moment::Moment) {
        self.known.retain(|_, stall| now.since(stall.detected) < RETENTION);
    }

    /// All stalls by upstream.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Vm, &Stall)> {
        self.known.iter()
    }
}
