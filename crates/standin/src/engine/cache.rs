//! The prefix cache of an engine and the events that report its changes.

use std::{collections, time};

use corneltrestle_policy::prefix;
use corneltrestle_time::moment;

/// Most recent events that are kept; older ones are no longer returned.
const MAX_EVENTS: usize = 4096;

/// A bounded cache of prefix hashes with first-in, first-out eviction.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    fifo: collections::VecDeque<u64>,
    stored: collections::HashSet<u64>,
    events: collections::VecDeque<(moment::Moment, prefix::Event)>,
    /// Number of the latest event; 0 before the first.
    sequence: u64,
}

impl Cache {
    pub(super) fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity as usize,
            fifo: collections::VecDeque::new(),
            stored: collections::HashSet::new(),
            events: collections::VecDeque::new(),
            sequence: 0,
        }
    }

    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) fn free(&self) -> u32 {
        u32::try_from(self.capacity - self.fifo.len()).unwrap_or(u32::MAX)
    }

    /// Inserts prefixes; returns how many leading ones were already cached.
    pub(super) fn insert(&mut self, prefixes: &[u64], now: moment::Moment) -> usize {
        let hits = prefixes.iter().take_while(|prefix| self.stored.contains(prefix)).count();
        for prefix in prefixes {
            if self.capacity == 0 || !self.stored.insert(*prefix) {
                continue;
            }
            if self.fifo.len() == self.capacity {
                self.evict(now);
            }
            self.fifo.push_back(*prefix);
            self.record(*prefix, true, now);
        }
        hits
    }

    /// Evicts everything.
    pub(super) fn clear(&mut self, now: moment::Moment) {
        while !self.fifo.is_empty() {
            self.evict(now);
        }
    }

    fn evict(&mut self, now: moment::Moment) {
        if let Some(prefix) = self.fifo.pop_front() {
            self.stored.remove(&prefix);
            self.record(prefix, false, now);
        }
    }

    fn record(&mut self, prefix: u64, stored: bool, now: moment::Moment) {
        self.sequence += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, prefix::Event { sequence: self.sequence, prefix, stored }));
    }

    /// Events after sequence number `after` that are at least `delay` old. Leaves out those whose
    /// number is a multiple of `gap`, unless that is 0.
    pub(super) fn events(
        &self,
        after: u64,
        now: moment::Moment,
        delay: time::Duration,
        gap: u64,
    ) -> impl Iterator<Item = prefix::Event> {
        let events = self.events.iter();
        let visible = events.filter(move |(at, event)| {
            let lost = gap != 0 && event.sequence.is_multiple_of(gap);
            event.sequence > after && now.since(*at) >= delay && !lost
        });
        visible.map(|(_, event)| *event)
    }
}
