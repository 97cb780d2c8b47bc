//! Warm-up levels of replicas.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{assignment, id, warmup};
use corneltrestle_time::moment;

/// The warm-up levels; rank 50.
#[derive(Debug, Default)]
pub struct Warmup {
    levels: collections::HashMap<id::Replica, Level>,
    /// Own slots that other nodes use.
    loans: collections::HashMap<u64, Loan>,
    /// When no other node had a free slot.
    exhausted: collections::HashMap<id::Replica, moment::Moment>,
}

/// Wait before other nodes are asked for a slot again, so that many waiting requests do not ask for
/// each of them.
const ASK_PERIOD: time::Duration = time::Duration::from_millis(100);

#[derive(Debug)]
struct Loan {
    replica: id::Replica,
    /// When the loan ends if it is not given back.
    expiry: moment::Moment,
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

    /// The level of a replica that has been observed.
    pub fn get_mut(&mut self, replica: &id::Replica) -> Option<&mut warmup::Warmup> {
        self.levels.get_mut(replica).map(|level| &mut level.warmup)
    }

    /// Keeps only the replicas that `keep` accepts. Loans stay until they end.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Replica) -> bool) {
        self.levels.retain(|replica, _| keep(replica));
        self.exhausted.retain(|replica, _| keep(replica));
    }
}

/// Loans of slots between nodes.
impl Warmup {
    /// Own slots of a replica that other nodes use at `now`.
    pub fn lent(&mut self, replica: &id::Replica, now: moment::Moment) -> usize {
        self.loans.retain(|_, loan| loan.expiry > now);
        self.loans.values().filter(|loan| loan.replica == *replica).count()
    }

    /// Lends an own slot until it is given back, or until `expiry`; returns the loan's number.
    pub fn lend(&mut self, replica: &id::Replica, expiry: moment::Moment) -> u64 {
        let number = rand::random::<u64>().max(1);
        self.loans.insert(number, Loan { replica: replica.clone(), expiry });
        number
    }

    /// Takes a lent slot back.
    pub fn give_back(&mut self, loan: u64) {
        self.loans.remove(&loan);
    }

    /// Whether other nodes may be asked for a slot of a replica now.
    pub fn may_ask(&self, replica: &id::Replica, now: moment::Moment) -> bool {
        self.exhausted.get(replica).is_none_or(|asked| now.since(*asked) >= ASK_PERIOD)
    }

    /// Notes that no other node had a free slot of a replica.
    pub fn asked_in_vain(&mut self, replica: &id::Replica, now: moment::Moment) {
        self.exhausted.insert(replica.clone(), now);
    }
}
