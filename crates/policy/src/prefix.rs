//! Estimates which prompt prefixes each upstream has in its prefix cache.
//!
//! The estimate combines this node's own dispatches, known at once, with the cache events of the
//! upstreams, which arrive later but also report evictions and the effects of other nodes.

use std::{collections, time};

use corneltrestle_time::moment;
use xxhash_rust::xxh3;

use crate::id;

/// Chained hashes of the prefixes of a prompt: one for each of its texts that is not empty, at most
/// `limit` of them.
///
/// Each hash is the xxh3 hash of its text, seeded with the previous hash, or 0 for the first.
/// Engines identify prefixes in their cache events by the same hashes.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::prefix;
///
/// let (a, b) = (prefix::chain(["user", "hello"], 9), prefix::chain(["user", "", "bye"], 9));
/// assert_eq!((a.len(), b.len()), (2, 2));
/// assert!(a[0] == b[0] && a[1] != b[1]);
/// ```
pub fn chain<'a>(texts: impl IntoIterator<Item = &'a str>, limit: usize) -> Vec<u64> {
    let texts = texts.into_iter().filter(|text| !text.is_empty()).take(limit);
    let hashes = texts.scan(0, |seed, text| {
        *seed = xxh3::xxh3_64_with_seed(text.as_bytes(), *seed);
        Some(*seed)
    });
    hashes.collect()
}

/// A change in the prefix cache of an upstream, as reported by its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Event {
    /// Number of the event since the engine's start, increasing by one with each event.
    pub sequence: u64,
    /// Hash of the prefix, see [`chain`].
    pub prefix: u64,
    /// True if the prefix was stored, false if it was evicted.
    pub stored: bool,
}

/// The prefixes that upstreams hold in their caches, as far as this node knows.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, id, prefix};
///
/// let upstream = id::Replica { set: "verse".into(), index: 0 };
/// let mut index = prefix::Index::new(1_000);
/// index.record_dispatch(&upstream, 7, &[1, 2, 3], Moment::ZERO);
/// assert_eq!(index.cached(&upstream, 7, &[1, 2, 9]), 2);
/// assert_eq!(index.cached(&upstream, 8, &[1, 2, 9]), 0); // restarted
/// ```
#[derive(Debug)]
pub struct Index {
    /// Limit on the remembered prefixes, over all upstreams.
    capacity: usize,
    caches: collections::HashMap<id::Replica, Cache>,
}

#[derive(Debug, Default)]
struct Cache {
    /// Start id of the engine, which changes at each restart.
    start: u64,
    /// Latest sequence number seen; `None` before the first event.
    sequence: Option<u64>,
    /// Counter of insertions, which orders prefixes by their latest use.
    tick: u64,
    known: collections::HashMap<u64, Known>,
    /// Prefixes by the tick of their latest use, for eviction of the least recently used.
    used: collections::BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    tick: u64,
    /// When this node last dispatched a request with the prefix; `None` if it never did.
    sent: Option<moment::Moment>,
}

impl Index {
    /// Age up to which an own dispatch takes precedence over evictions and gaps: events arrive late
    /// and may describe the time before the dispatch.
    pub const TRUST_PERIOD: time::Duration = time::Duration::from_secs(5);

    /// Creates an empty index for at most `capacity` prefixes, divided evenly among the upstreams.
    /// Each prefix takes about 100 bytes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, caches: collections::HashMap::new() }
    }

    /// Number of remembered prefixes, over all upstreams.
    pub fn len(&self) -> usize {
        self.caches.values().map(|cache| cache.known.len()).sum()
    }

    /// Whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes the upstreams for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Replica) -> bool) {
        self.caches.retain(|upstream, _| keep(upstream));
    }

    /// Records that this node dispatched a request with these prefixes, which the upstream will
    /// therefore hold.
    pub fn record_dispatch(
        &mut self,
        upstream: &id::Replica,
        start: u64,
        blocks: &[u64],
        now: moment::Moment,
    ) {
        let (cache, limit) = self.cache(upstream, start);
        // Inserting the shortest prefix last makes it the last to be evicted.
        for &prefix in blocks.iter().rev() {
            cache.insert(prefix, Some(now), limit);
        }
    }

    /// Applies cache events in the given order.
    ///
    /// Events whose sequence number is not new are ignored. A gap in the numbers may hide
    /// evictions, so it removes all prefixes except those of recent own dispatches.
    pub fn merge(
        &mut self,
        upstream: &id::Replica,
        start: u64,
        events: &[Event],
        now: moment::Moment,
    ) {
        let (cache, limit) = self.cache(upstream, start);
        for event in events {
            match cache.sequence {
                Some(last) if event.sequence <= last => continue,
                Some(last) if event.sequence > last + 1 => cache.forget_unconfirmed(now),
                _ => {}
            }
            cache.sequence = Some(event.sequence);
            let recent = cache.known.get(&event.prefix).is_some_and(|known| known.is_recent(now));
            if event.stored {
                cache.insert(event.prefix, None, limit);
            } else if !recent {
                cache.remove(event.prefix);
            }
        }
    }

    /// Sequence number of the latest event of an upstream at this start id, 0 before the first one.
    /// `None` if the index has no cache of that start.
    pub fn sequence(&self, upstream: &id::Replica, start: u64) -> Option<u64> {
        let cache = self.caches.get(upstream).filter(|cache| cache.start == start)?;
        Some(cache.sequence.unwrap_or_default())
    }

    /// Number of leading blocks that the upstream holds; 0 for an unknown upstream or start id.
    pub fn cached(&self, upstream: &id::Replica, start: u64, blocks: &[u64]) -> u32 {
        let Some(cache) = self.caches.get(upstream).filter(|cache| cache.start == start) else {
            return 0;
        };
        let held = blocks.iter().take_while(|prefix| cache.known.contains_key(prefix)).count();
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    /// The cache of an upstream and the number of prefixes it may hold. A new start id empties it.
    fn cache(&mut self, upstream: &id::Replica, start: u64) -> (&mut Cache, usize) {
        if !self.caches.contains_key(upstream) {
            let limit = self.capacity / (self.caches.len() + 1);
            self.caches.values_mut().for_each(|cache| cache.trim(limit));
            self.caches.insert(upstream.clone(), Cache::default());
        }
        let limit = self.capacity / self.caches.len();
        let cache = self.caches.entry(upstream.clone()).or_default();
        if cache.start != start {
            *cache = Cache { start, ..Cache::default() };
        }
        (cache, limit)
    }
}

impl Known {
    /// Whether an own dispatch within [`Index::TRUST_PERIOD`] confirms the prefix.
    fn is_recent(&self, now: moment::Moment) -> bool {
        self.sent.is_some_and(|sent| now.since(sent) < Index::TRUST_PERIOD)
    }
}

impl Cache {
    fn insert(&mut self, prefix: u64, sent: Option<moment::Moment>, limit: usize) {
        let before = self.known.get(&prefix).copied();
        if let Some(before) = before {
            self.used.remove(&before.tick);
        }
        self.tick += 1;
        let sent = sent.or(before.and_then(|known| known.sent));
        self.known.insert(prefix, Known { tick: self.tick, sent });
        self.used.insert(self.tick, prefix);
        self.trim(limit);
    }

    /// Removes the least recently used prefixes beyond `limit`.
    fn trim(&mut self, limit: usize) {
        while self.known.len() > limit {
            let Some((_, oldest)) = self.used.pop_first() else { break };
            self.known.remove(&oldest);
        }
    }

    fn remove(&mut self, prefix: u64) {
        if let Some(known) = self.known.remove(&prefix) {
            self.used.remove(&known.tick);
        }
    }

    /// Removes all prefixes except those of recent own dispatches.
    fn forget_unconfirmed(&mut self, now: moment::Moment) {
        self.known.retain(|_, known| known.is_recent(now));
        let known = &self.known;
        self.used.retain(|_, prefix| known.contains_key(prefix));
    }
}
