//! Warm-up levels of replicas.

use std::collections::HashMap;

use corneltrestle_kernel::table;
use corneltrestle_policy::{assignment, id, warmup};

/// The warm-up levels; rank 50.
#[derive(Debug, Default)]
pub struct Warmup {
    levels: HashMap<id::Replica, Level>,
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
    /// The level of a replica at its epoch, after taking the report of its head.
    pub fn observe(
        &mut self,
        replica: &assignment::Replica,
        limits: warmup::Limits,
        start: u64,
        finished: u64,
    ) -> &mut warmup::Warmup {
        let base = replica.cold_base(start, finished);
        let open = || Level {
            epoch: replica.epoch,
            warmup: warmup::Warmup::open(limits, start, finished).after(base),
        };
        let level = self.levels.entry(replica.id.clone()).or_insert_with(open);
        if level.epoch == replica.epoch {
            level.warmup.observe(start, finished);
        } else {
            *level = open();
        }
        &mut level.warmup
    }

    /// The level of a replica that has been observed.
    pub fn get_mut(&mut self, replica: &id::Replica) -> Option<&mut warmup::Warmup> {
        self.levels.get_mut(replica).map(|level| &mut level.warmup)
    }

    /// Keeps only the replicas that `keep` accepts.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Replica) -> bool) {
        self.levels.retain(|replica, _| keep(replica));
    }
}
