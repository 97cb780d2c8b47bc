//! Requests that this node has in progress, by replica, and the prefixes cached there.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, prefix};
use corneltrestle_time::moment;

/// Limit on the remembered prefixes, over all replicas; the least recently used are evicted.
const MAX_PREFIXES: usize = 4_096;

/// Requests in progress; rank 60.
#[derive(Debug)]
pub struct Dispatched {
    /// When the requests in progress were dispatched, in ascending order.
    sent: collections::HashMap<id::Replica, Vec<moment::Moment>>,
    /// Number of the read in which the cache events of a replica were last read.
    events_read: collections::HashMap<id::Replica, u64>,
    /// Number of reads of cache events so far, over all replicas.
    reads: u64,
    /// When a request last failed in a way that a lost member or a restart may have caused.
    failures: collections::HashMap<id::Replica, moment::Moment>,
    /// Estimate of what replicas hold in their prefix caches.
    pub prefixes: prefix::Index,
    /// Average rate of dispatches over all replicas.
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
            events_read: collections::HashMap::new(),
            reads: 0,
            failures: collections::HashMap::new(),
            prefixes: prefix::Index::new(MAX_PREFIXES),
            rate: Rate::default(),
        }
    }
}

impl Dispatched {
    /// Records a dispatch to a replica, and clears its last failure.
    ///
    /// Concurrent requests read the clock before they get the lock, so `now` may be out of order.
    /// The list is kept sorted because [`Self::end`] would otherwise not find the entry, and the
    /// count would only grow.
    pub fn begin(&mut self, replica: &id::Replica, now: moment::Moment) {
        let moments = self.sent.entry(replica.clone()).or_default();
        moments.insert(moments.partition_point(|sent| *sent <= now), now);
        self.failures.remove(replica);
        self.rate.count(now);
    }

    /// Records a failed request that a lost member or a restart of the engine may have caused.
    pub fn record_failure(&mut self, replica: &id::Replica, now: moment::Moment) {
        self.failures.insert(replica.clone(), now);
    }

    /// When a request last failed at a replica; `None` if one was dispatched to it since.
    pub fn last_failure(&self, replica: &id::Replica) -> Option<moment::Moment> {
        self.failures.get(replica).copied()
    }

    /// Records the end of the request that was dispatched at `sent`.
    pub fn end(&mut self, replica: &id::Replica, sent: moment::Moment) {
        let Some(moments) = self.sent.get_mut(replica) else { return };
        if let Ok(at) = moments.binary_search(&sent) {
            moments.remove(at);
        }
        if moments.is_empty() {
            self.sent.remove(replica);
        }
    }

    /// Number of the last read of a replica's cache events; lower is longer ago, 0 is never.
    pub fn last_events_read(&self, replica: &id::Replica) -> u64 {
        self.events_read.get(replica).copied().unwrap_or_default()
    }

    /// Records that the cache events of a replica are being read.
    pub fn record_events_read(&mut self, replica: &id::Replica) {
        self.reads += 1;
        self.events_read.insert(replica.clone(), self.reads);
    }

    /// Forgets the replicas that `keep` rejects, except for requests in progress there.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Replica) -> bool) {
        self.events_read.retain(|replica, _| keep(replica));
        self.failures.retain(|replica, _| keep(replica));
        self.prefixes.retain(keep);
    }

    /// When the requests in progress at a replica were dispatched, in ascending order.
    pub fn in_progress(&self, replica: &id::Replica) -> &[moment::Moment] {
        self.sent.get(replica).map_or(&[], Vec::as_slice)
    }
}

/// An event rate with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: f64,
    updated_at: moment::Moment,
}

/// Time in seconds in which the weight of an event falls by half.
const HALF_LIFE_S: f64 = 5.0;

impl Rate {
    /// Counts one event.
    pub fn count(&mut self, now: moment::Moment) {
        self.per_second = self.decayed(now) + std::f64::consts::LN_2 / HALF_LIFE_S;
        self.updated_at = now;
    }

    /// Average number of events per second.
    pub fn per_second(&self, now: moment::Moment) -> f64 {
        self.decayed(now)
    }

    fn decayed(&self, now: moment::Moment) -> f64 {
        self.per_second * (-now.since(self.updated_at).as_secs_f64() / HALF_LIFE_S).exp2()
    }
}
