//! Slow start: bounds on the work in progress at an upstream that may be cold.

use std::time;

use xxhash_rust::xxh3;

/// The warm-up level of one upstream.
///
/// The level depends only on the engine's own count of finished requests since it became cold, so routers with reports
/// of different ages differ only by a lower level. The requests in progress, over all routers of
/// one epoch that know the start id, number at most the highest level that any of them sees. After
/// a fall-back without a restart, what a router already had in progress beyond its slots comes on
/// top until it ends. A router that has not seen a new start id yet is bounded only by the age that
/// its reports may have.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::warmup::{Limits, Warmup};
///
/// let mut warmup = Warmup::new(Limits { cold: 2, full: 32 }, 7, 0);
/// assert_eq!(warmup.level(), 2);
/// warmup.observe(7, 2);
/// assert_eq!(warmup.level(), 4);
/// warmup.observe(8, 0); // restarted
/// assert_eq!(warmup.level(), 2);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmup {
    limits: Limits,
    start: u64,
    /// The engine's count of finished requests when it became cold.
    base: u64,
    finished: u64,
    /// Slow first tokens in a row.
    slow: u32,
}

/// Levels at which the warm-up of an upstream starts and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests in progress that a cold upstream bears, at least 1.
    pub cold: u32,
    /// Requests in progress from which the upstream counts as warm.
    pub full: u32,
}

impl Warmup {
    /// Slow first tokens in a row after which the upstream counts as cold; fewer may be long prompts.
    pub const SLOW_FIRST_TOKENS: u32 = 3;

    /// Opens at the level that the engine's count since its start allows.
    ///
    /// The engine's own counter shows that it is warm, whoever sent the work. Opening at the cold
    /// level instead left a restarted node without use of warm upstreams, and the fleet without
    /// that node, for as long as the others took the slots. A cache that was lost without a restart
    /// before this router first saw the upstream is noticed by slow first tokens only.
    pub fn new(limits: Limits, start: u64, finished: u64) -> Self {
        Self { limits, start, base: 0, finished, slow: 0 }
    }

    /// Leaves the first `base` finished requests out of the count, because the upstream became cold
    /// after them.
    #[must_use]
    pub fn with_base(self, base: u64) -> Self {
        Self { base, ..self }
    }

    /// The start id by which the routers are to be ordered, see [`order_routers`].
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Takes a report of the upstream's head VM; a new start id begins at the cold level.
    ///
    /// A count that has gone back comes from an older report and changes nothing.
    pub fn observe(&mut self, start: u64, finished: u64) {
        if start != self.start {
            *self = Self::new(self.limits, start, finished).with_base(finished);
        } else {
            self.finished = self.finished.max(finished);
        }
    }

    /// Takes the news that the prefix cache was cleared; falls back to the cold level.
    pub fn cache_lost(&mut self) {
        self.base = self.finished;
        self.slow = 0;
    }

    /// Takes the time to a first token; [`Warmup::SLOW_FIRST_TOKENS`] in a row above `limit` fall back to the
    /// cold level. Returns whether that happened.
    pub fn first_token(&mut self, taken: time::Duration, limit: time::Duration) -> bool {
        self.slow = if taken > limit { self.slow + 1 } else { 0 };
        let cold = self.slow >= Self::SLOW_FIRST_TOKENS;
        if cold {
            self.cache_lost();
        }
        cold
    }

    /// The most requests in progress over all routers.
    pub fn level(&self) -> u32 {
        let (mut level, full) = (self.limits.cold.max(1), self.limits.full);
        let mut left = self.finished.saturating_sub(self.base);
        while level < full && left >= u64::from(level) {
            left -= u64::from(level);
            level = level.saturating_mul(2);
        }
        level.min(full.max(self.limits.cold.max(1)))
    }

    /// Whether the level has reached the full limit, so that no slots apply.
    pub fn is_warm(&self) -> bool {
        self.level() >= self.limits.full
    }

    /// Whether the node `own` with `busy` requests in progress may dispatch one more; `ordered` are
    /// the routers of the epoch in the [`order_routers`] of [`Warmup::start`].
    pub fn permits(&self, ordered: &[&str], own: &str, busy: u32) -> bool {
        self.is_warm() || busy < slots(self.level(), ordered, own)
    }
}

/// The routers of an epoch in the order in which they get slots at a start of the upstream.
pub fn order_routers<'a>(start: u64, routers: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ordered: Vec<_> = routers
        .into_iter()
        .map(|node| (xxh3::xxh3_64_with_seed(node.as_bytes(), start), node))
        .collect();
    ordered.sort_unstable();
    ordered.dedup();
    ordered.into_iter().map(|(_, node)| node).collect()
}

/// Slots of `own` when `level` slots go to the ordered routers in turn: slot i belongs to router
/// i modulo their number. A node that is not listed has none, and so may a listed one: a minimum
/// of one slot would exceed the level.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::warmup;
///
/// let routers = ["b", "a", "c"];
/// assert_eq!(warmup::slots(4, &routers, "b"), 2);
/// assert_eq!(warmup::slots(4, &routers, "c"), 1);
/// assert_eq!(warmup::slots(2, &routers, "c"), 0);
/// ```
pub fn slots(level: u32, ordered: &[&str], own: &str) -> u32 {
    let Some(place) = ordered.iter().position(|node| *node == own) else { return 0 };
    let number = ordered.len() as u64;
    let (turns, rest) = (u64::from(level) / number, u64::from(level) % number);
    (turns + u64::from((place as u64) < rest)) as u32
}
