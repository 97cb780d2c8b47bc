//! Slow start: limits the requests in progress at an upstream while its caches may be cold.
//!
//! Each upstream has a level: a limit over all its routers, the nodes that may send requests to it.
//! The level doubles as the upstream finishes requests. It is divided into slots, and each router
//! computes its own number of slots without communication.

use std::time;

use xxhash_rust::xxh3;

/// The warm-up level of one upstream.
///
/// The level depends only on the engine's own count of finished requests since it became cold, so a
/// router with an older report sees a lower level, never a higher one. The requests in progress,
/// over all routers of one epoch that know the start id, number at most the highest level that any
/// of them sees.
///
/// Two cases exceed that bound. After a fall-back to the cold level without a restart, what a
/// router already had in progress beyond its slots is added until it ends. A router that has not
/// seen a new start id yet keeps its old level; the age that its reports may have limits for how
/// long.
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
    /// Start id of the engine, which changes at each restart.
    start: u64,
    /// The engine's count of finished requests when it became cold.
    base: u64,
    /// The engine's highest count of finished requests seen at this start.
    finished: u64,
    /// Consecutive slow first tokens.
    slow: u32,
}

/// Levels at which the warm-up of an upstream starts and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests in progress that a cold upstream sustains; 0 counts as 1.
    pub cold: u32,
    /// Level from which the upstream counts as warm and has no limit.
    pub full: u32,
}

impl Warmup {
    /// Consecutive slow first tokens after which the upstream counts as cold. Fewer may be due to
    /// long prompts.
    pub const SLOW_FIRST_TOKENS: u32 = 3;

    /// Starts at the level that the engine's count of finished requests since its start allows.
    ///
    /// The engine's own counter shows that it is warm, whichever router sent the requests. Starting
    /// at the cold level instead kept a restarted node from using warm upstreams, and the fleet
    /// from using that node, for as long as the other routers used the slots. A cache that was lost
    /// without a restart, before this router first saw the upstream, is detected by slow first
    /// tokens only.
    pub fn new(limits: Limits, start: u64, finished: u64) -> Self {
        Self { limits, start, base: 0, finished, slow: 0 }
    }

    /// Leaves the first `base` finished requests out of the count: the upstream became cold after
    /// them, for example in a new epoch of its replica.
    #[must_use]
    pub fn with_base(self, base: u64) -> Self {
        Self { base, ..self }
    }

    /// The engine's start id, which seeds [`order_routers`].
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Records a report of the upstream's head VM. A new start id begins at the cold level.
    ///
    /// A count below the known one comes from an older report and changes nothing.
    pub fn observe(&mut self, start: u64, finished: u64) {
        if start != self.start {
            *self = Self::new(self.limits, start, finished).with_base(finished);
        } else {
            self.finished = self.finished.max(finished);
        }
    }

    /// Records that the upstream lost its prefix cache, and falls back to the cold level.
    pub fn cache_lost(&mut self) {
        self.base = self.finished;
        self.slow = 0;
    }

    /// Records the time to a first token. After [`Warmup::SLOW_FIRST_TOKENS`] consecutive ones
    /// above `limit`, falls back to the cold level and returns true.
    pub fn first_token(&mut self, taken: time::Duration, limit: time::Duration) -> bool {
        self.slow = if taken > limit { self.slow + 1 } else { 0 };
        let cold = self.slow >= Self::SLOW_FIRST_TOKENS;
        if cold {
            self.cache_lost();
        }
        cold
    }

    /// Limit on the requests in progress, over all routers. It doubles each time as many requests
    /// as the current level have finished.
    pub fn level(&self) -> u32 {
        let (mut level, full) = (self.limits.cold.max(1), self.limits.full);
        let mut left = self.finished.saturating_sub(self.base);
        while level < full && left >= u64::from(level) {
            left -= u64::from(level);
            level = level.saturating_mul(2);
        }
        level.min(full.max(self.limits.cold.max(1)))
    }

    /// Whether the level has reached [`Limits::full`], so that no slots apply.
    pub fn is_warm(&self) -> bool {
        self.level() >= self.limits.full
    }

    /// Whether the node `own` with `busy` requests in progress at the upstream may dispatch one
    /// more. `ordered` are the routers of the epoch, as [`order_routers`] returns them for
    /// [`Warmup::start`].
    pub fn permits(&self, ordered: &[&str], own: &str, busy: u32) -> bool {
        self.is_warm() || busy < slots(self.level(), ordered, own)
    }
}

/// The routers of an epoch in the order in which they get slots, without duplicates. The start id
/// of the upstream seeds the order, so that each upstream and each restart favours other routers.
pub fn order_routers<'a>(start: u64, routers: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ordered: Vec<_> = routers
        .into_iter()
        .map(|node| (xxh3::xxh3_64_with_seed(node.as_bytes(), start), node))
        .collect();
    ordered.sort_unstable();
    ordered.dedup();
    ordered.into_iter().map(|(_, node)| node).collect()
}

/// Number of slots of `own` when `level` slots go round-robin to the ordered routers: slot i
/// belongs to router i modulo their number. A node that is not listed has none. A listed one may
/// have none either, as a minimum of one slot each could exceed the level.
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
