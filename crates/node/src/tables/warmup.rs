//! Warm-up levels of replicas, and the slots that nodes lend each other.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{assignment, id, warmup};
use corneltrestle_time::moment;

/// Warm-up levels and loans; rank 50.
#[derive(Debug, Default)]
pub struct Warmup {
    levels: collections::HashMap<id::Replica, Level>,
    /// This node's slots that other nodes use, by loan id.
    loans: collections::HashMap<u64, Loan>,
    /// When all other nodes were last found to have no free slot of a replica.
    exhausted_at: collections::HashMap<id::Replica, moment::Moment>,
}

/// Delay before other nodes are asked again for a slot of a replica, so that not every waiting
/// request asks them.
const BORROW_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

#[derive(Debug)]
struct Loan {
    replica: id::Replica,
    /// When the loan ends if the slot is not returned.
    expires_at: moment::Moment,
}

#[derive(Debug)]
struct Level {
    epoch: u64,
    warmup: warmup::Warmup,
}

impl table::Ranked for Warmup {
    const RANK: u16 = 50;
    const NAME: &'static str = "warmup";
}

impl Warmup {
    /// The level of a replica, updated by the report of its head: the engine's start id and the
    /// number of requests finished since. A new epoch gets a new level.
    pub fn observe(
        &mut self,
        replica: &assignment::Replica,
        limits: warmup::Limits,
        start: u64,
        finished: u64,
    ) -> &mut warmup::Warmup {
        let base = replica.cold_baseline(start, finished);
        let open = || Level {
            epoch: replica.epoch,
            warmup: warmup::Warmup::new(limits, start, finished).with_base(base),
        };
        let level = self.levels.entry(replica.id.clone()).or_insert_with(open);
        if level.epoch == replica.epoch {
            level.warmup.observe(start, finished);
        } else {
            *level = open();
        }
        &mut level.warmup
    }

    /// The level of a replica; `None` before its first observation.
    pub fn get_mut(&mut self, replica: &id::Replica) -> Option<&mut warmup::Warmup> {
        self.levels.get_mut(replica).map(|level| &mut level.warmup)
    }

    /// Forgets the replicas that `keep` rejects. Loans are kept until they end.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Replica) -> bool) {
        self.levels.retain(|replica, _| keep(replica));
        self.exhausted_at.retain(|replica, _| keep(replica));
    }
}

/// Loans of slots between nodes.
impl Warmup {
    /// Number of this node's slots of a replica that other nodes use.
    pub fn lent_slots(&mut self, replica: &id::Replica, now: moment::Moment) -> usize {
        self.loans.retain(|_, loan| loan.expires_at > now);
        self.loans.values().filter(|loan| loan.replica == *replica).count()
    }

    /// Lends a slot until it is returned, at most until `expires_at`; returns the id of the loan,
    /// never 0.
    pub fn lend(&mut self, replica: &id::Replica, expires_at: moment::Moment) -> u64 {
        let id = rand::random::<u64>().max(1);
        self.loans.insert(id, Loan { replica: replica.clone(), expires_at });
        id
    }

    /// Ends a loan; an unknown id has no effect.
    pub fn return_slot(&mut self, loan: u64) {
        self.loans.remove(&loan);
    }

    /// Whether it is time to ask other nodes for a slot of a replica.
    pub fn may_borrow(&self, replica: &id::Replica, now: moment::Moment) -> bool {
        self.exhausted_at.get(replica).is_none_or(|asked| now.since(*asked) >= BORROW_RETRY_DELAY)
    }

    /// Records that no other node had a free slot of a replica.
    pub fn mark_exhausted(&mut self, replica: &id::Replica, now: moment::Moment) {
        self.exhausted_at.insert(replica.clone(), now);
    }
}
