//! Limits one node's calls to the store: calls in flight, a token bucket for each class of call,
//! and backoff after failures.
//!
//! Each class has its own bucket and may borrow the tokens of less important classes, never of more
//! important ones, so reports cannot use up the tokens of leases.

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

use crate::{
    admission::{self, wait},
    retry,
};

/// Purpose of a call, in order of decreasing importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Leases and the values written under them, such as assignments.
    Lease,
    /// Claims of idempotency keys (orders are non-idempotent calls made under such a key).
    Order,
    /// Releases, and the watching of assignments.
    Config,
    /// Everything else, such as reports.
    Report,
}

impl Class {
    /// All classes, in order of decreasing importance.
    pub const ALL: [Class; 4] = [Class::Lease, Class::Order, Class::Config, Class::Report];

    /// Number of calls in flight, of all classes, below which a call of this class may begin.
    ///
    /// The limit drops by one with each less important class, so that slow reports cannot block the
    /// renewal of a lease.
    pub const fn max_in_flight(self) -> usize {
        Budget::MAX_IN_FLIGHT - self as usize
    }
}

/// Token-bucket parameters of one class.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Refill rate in calls per second.
    pub per_s: f64,
    /// Capacity of the bucket in calls; at least 1, as each call takes one token.
    pub burst: f64,
}

/// Upper bounds of the delays after failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Longest backoff after a failed call; applies to all classes.
    pub max_backoff: time::Duration,
    /// Longest random delay of [`Class::Config`] and [`Class::Report`] calls once the store answers
    /// again after an outage, so that the nodes do not all call it at once.
    pub max_delay: time::Duration,
}

impl Default for Recovery {
    fn default() -> Self {
        Self { max_backoff: retry::BACKOFF_MAX, max_delay: Budget::MAX_RETURN_DELAY }
    }
}

/// Whether a call may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may begin and now counts as in flight; report its end with [`Budget::end`].
    Granted,
    /// It may not begin before this moment, because of a delay after failures or of empty buckets.
    Wait(moment::Moment),
    /// It may not begin until a call in flight ends.
    Full,
}

/// A node's budget of calls to the store.
///
/// Over any `t` seconds, each class begins at most the sum of `burst + per_s * t` over itself and
/// the less important classes. All classes together begin at most that sum over all of them.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::Moment;
/// use corneltrestle_policy::calls::{Budget, Class, Permit, Rate};
///
/// let mut calls = Budget::new([Rate { per_s: 5.0, burst: 1.0 }; 4]);
/// let now = Moment::from_millis(1);
/// assert_eq!(calls.begin(Class::Report, now), Permit::Granted);
/// assert_eq!(calls.begin(Class::Report, now), Permit::Wait(Moment::from_millis(201)));
/// assert_eq!(calls.begin(Class::Lease, now), Permit::Granted);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    rates: [Rate; 4],
    recovery: Recovery,
    buckets: [admission::Bucket; 4],
    in_flight: usize,
    /// Failures since the latest success; calls that fail together count once.
    failures: u32,
    /// End of the backoff, which applies to all classes.
    backoff: moment::Moment,
    /// End of the delay after an outage, which applies to [`Class::Config`] and [`Class::Report`].
    return_delay: moment::Moment,
}

impl Budget {
    /// Limit on the calls in flight, over all classes.
    pub const MAX_IN_FLIGHT: usize = 8;
    /// Consecutive failures, each after its own backoff, from which the store counts as down.
    pub const OUTAGE_FAILURES: u32 = 3;
    /// Default of [`Recovery::max_delay`].
    pub const MAX_RETURN_DELAY: time::Duration = time::Duration::from_secs(2);

    /// Creates a budget with full buckets; `rates` are in the order of [`Class::ALL`].
    pub fn new(rates: [Rate; 4]) -> Self {
        Self::with_recovery(rates, Recovery::default())
    }

    /// Like [`Budget::new`], with other delays after failures.
    pub fn with_recovery(rates: [Rate; 4], recovery: Recovery) -> Self {
        Self {
            rates,
            recovery,
            buckets: Default::default(),
            in_flight: 0,
            failures: 0,
            backoff: moment::Moment::ZERO,
            return_delay: moment::Moment::ZERO,
        }
    }

    /// Number of calls in flight, over all classes.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether [`Budget::OUTAGE_FAILURES`] or more failures have followed the latest success.
    pub fn is_outage(&self) -> bool {
        self.failures >= Self::OUTAGE_FAILURES
    }

    /// Asks to begin a call. Takes a token of the call's own class, else one of a less important
    /// class.
    pub fn begin(&mut self, class: Class, now: moment::Moment) -> Permit {
        let not_before =
            if class >= Class::Config { self.backoff.max(self.return_delay) } else { self.backoff };
        if not_before > now {
            return Permit::Wait(not_before);
        }
        if self.in_flight >= class.max_in_flight() {
            return Permit::Full;
        }
        for (bucket, rate) in self.buckets.iter_mut().zip(&self.rates) {
            bucket.refill(rate.per_s, rate.burst, now);
        }
        // Own tokens first, then borrowed ones, from the least important class upwards.
        let own = class as usize;
        let taken = std::iter::once(own)
            .chain((own + 1..self.buckets.len()).rev())
            .any(|slot| self.buckets[slot].take());
        if taken {
            self.in_flight += 1;
            return Permit::Granted;
        }
        let soonest = (own..self.buckets.len())
            .map(|slot| {
                let Rate { per_s, burst } = self.rates[slot];
                wait(self.buckets[slot].level(per_s, burst, now), 1.0, per_s)
            })
            .min();
        Permit::Wait(now + soonest.unwrap_or_default())
    }

    /// Records the end of a call that got [`Permit::Granted`].
    ///
    /// `failed` means a time-out, a refused connection or an error of the store itself. A
    /// compare-and-swap that found another version is not a failure.
    pub fn end(&mut self, failed: bool, now: moment::Moment, rng: &mut impl Rng) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if failed {
            // Calls in flight at the same time tend to fail for one cause; they count once.
            if self.failures == 0 || now >= self.backoff {
                self.failures = self.failures.saturating_add(1);
                self.backoff =
                    now + retry::backoff_within(self.failures, self.recovery.max_backoff, rng);
            }
            return;
        }
        if self.is_outage() {
            self.return_delay =
                now + rng.random_range(time::Duration::ZERO..=self.recovery.max_delay);
        }
        self.failures = 0;
        self.backoff = now;
    }
}
