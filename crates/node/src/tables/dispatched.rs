//! This node's own requests in progress, by replica, and its prefix history.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, prefix};
use corneltrestle_time::moment;

/// Prefixes remembered for each replica.
const PREFIXES: usize = 4_096;

/// Requests in progress; rank 60.
#[derive(Debug)]
pub struct Dispatched {
    sent: collections::HashMap<id::Replica, Vec<moment::Moment>>,
    /// Number of the round in which the cache events of a replica were last read.
    events: collections::HashMap<id::Replica, u64>,
    rounds: u64,
    /// When a request last failed in a way that a loss or a restart would explain.
    doubts: collections::HashMap<id::Replica, moment::Moment>,
    /// What replicas hold in their prefix caches.
    pub history: prefix::Index,
    /// Dispatches a second, averaged.
    pub rate: Rate,
}

impl table::Ranked for Dispatched {
    const RANK: u16 = 60;
    const NAME: &'static str = "dispatched";
}

impl Default for Dispatched {
    fn default() -> Self {
        Self {
            sent: collections::HashMap::new(),
            events: collections::HashMap::new(),
            rounds: 0,
            doubts: collections::HashMap::new(),
            history: prefix::Index::new(PREFIXES),
            rate: Rate::default(),
        }
    }
}

impl Dispatched {
    /// Counts a dispatch, which ends a doubt.
    ///
    /// Concurrent requests read the clock before they get the lock, so the moments may come out of
    /// order; without a sorted place their end would not be found and the count would only grow.
    pub fn begin(&mut self, replica: &id::Replica, now: moment::Moment) {
        let moments = self.sent.entry(replica.clone()).or_default();
        moments.insert(moments.partition_point(|sent| *sent <= now), now);
        self.doubts.remove(replica);
        self.rate.count(now);
    }

    /// Notes a failure that a lost member or a restart of the engine would explain.
    pub fn doubt(&mut self, replica: &id::Replica, now: moment::Moment) {
        self.doubts.insert(replica.clone(), now);
    }

    /// When a request last failed at a replica, unless one was dispatched to it since.
    pub fn doubt_of(&self, replica: &id::Replica) -> Option<moment::Moment> {
        self.doubts.get(replica).copied()
    }

    /// Counts the end of the request that was dispatched at `sent`.
    pub fn end(&mut self, replica: &id::Replica, sent: moment::Moment) {
        let Some(moments) = self.sent.get_mut(replica) else { return };
        if let Ok(at) = moments.binary_search(&sent) {
            moments.remove(at);
        }
        if moments.is_empty() {
            self.sent.remove(replica);
        }
    }

    /// When the cache events of a replica were last read, as a number that grows with each read.
    pub fn events_read(&self, replica: &id::Replica) -> u64 {
        self.events.get(replica).copied().unwrap_or_default()
    }

    /// Notes that the cache events of a replica are being read.
    pub fn reading_events(&mut self, replica: &id::Replica) {
        self.rounds += 1;
        self.events.insert(replica.clone(), self.rounds);
    }

    /// Keeps only the replicas that `keep` accepts.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Replica) -> bool) {
        self.events.retain(|replica, _| keep(replica));
        self.doubts.retain(|replica, _| keep(replica));
        self.history.retain(keep);
    }

    /// Moments of the dispatches in progress, in increasing order.
    pub fn of(&self, replica: &id::Replica) -> &[moment::Moment] {
        self.sent.get(replica).map_or(&[], Vec::as_slice)
    }
}

/// An exponentially weighted rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    level: f64,
    counted: moment::Moment,
}

/// Time over which the weight of a count falls by half, in seconds.
const HALF_LIFE_S: f64 = 5.0;

impl Rate {
    /// Counts one event.
    pub fn count(&mut self, now: moment::Moment) {
        self.level = self.decayed(now) + std::f64::consts::LN_2 / HALF_LIFE_S;
        self.counted = now;
    }

    /// Events a second.
    pub fn per_second(&self, now: moment::Moment) -> f64 {
        self.decayed(now)
    }

    fn decayed(&self, now: moment::Moment) -> f64 {
        self.level * (-now.since(self.counted).as_secs_f64() / HALF_LIFE_S).exp2()
    }
}
