//! The budget of calls to the store: calls in flight, rates by class and backoff.

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

use crate::{
    admission::{self, wait},
    retry,
};

/// What a call is for, more important ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Leases of zones.
    Lease,
    /// Claims of idempotency keys.
    Order,
    /// Releases and assignments.
    Config,
    /// Everything else.
    Report,
}

impl Class {
    /// All classes, more important ones first.
    pub const ALL: [Class; 4] = [Class::Lease, Class::Order, Class::Config, Class::Report];

    /// Calls in flight up to which a call of this class may begin. Each class leaves one place to
    /// the more important ones, so that slow reports cannot block the renewal of a lease.
    pub const fn max_in_flight(self) -> usize {
        Budget::MAX_IN_FLIGHT - self as usize
    }
}

/// Rate and burst of one class.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// Calls a second.
    pub per_s: f64,
    /// Most calls at once, at least 1.
    pub burst: f64,
}

/// How calls begin again after failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Longest backoff.
    pub max_backoff: time::Duration,
    /// Longest delay of configuration and report calls after an outage, so that not all nodes call
    /// at once when the store returns.
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
    /// It may, and counts as in flight.
    Granted,
    /// It may not; this is the earliest moment at which time alone can allow it.
    Wait(moment::Moment),
    /// It may not until a call in flight ends.
    Full,
}

/// State of the calls to the store.
///
/// Over any time t all classes together begin at most the sum of `burst + rate * t`, and each
/// class at most its own such part plus those of the less important ones.
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
    failures: u32,
    /// End of the backoff, which holds back all classes.
    backoff: moment::Moment,
    /// End of the delay after an outage, which holds back the less important classes.
    return_delay: moment::Moment,
}

impl Budget {
    /// Most calls in flight.
    pub const MAX_IN_FLIGHT: usize = 8;
    /// Failures in a row, each after its own backoff, that count as an outage.
    pub const OUTAGE_FAILURES: u32 = 3;
    /// Longest delay of configuration and report calls after an outage, by default.
    pub const MAX_RETURN_DELAY: time::Duration = time::Duration::from_secs(2);

    /// Opens the budget with the rates of [`Class::ALL`].
    pub fn new(rates: [Rate; 4]) -> Self {
        Self::with_recovery(rates, Recovery::default())
    }

    /// Opens the budget with another recovery from failures.
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

    /// Calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether the store has failed repeatedly and not succeeded since.
    pub fn is_outage(&self) -> bool {
        self.failures >= Self::OUTAGE_FAILURES
    }

    /// Asks to begin a call.
    pub fn begin(&mut self, class: Class, now: moment::Moment) -> Permit {
        let held =
            if class >= Class::Config { self.backoff.max(self.return_delay) } else { self.backoff };
        if held > now {
            return Permit::Wait(held);
        }
        if self.in_flight >= class.max_in_flight() {
            return Permit::Full;
        }
        for (bucket, rate) in self.buckets.iter_mut().zip(&self.rates) {
            bucket.refill(rate.per_s, rate.burst, now);
        }
        // Its own tokens first, then those of the least important class.
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

    /// Takes the end of a call that [`Permit::Granted`] allowed. A failure is a time-out, a refused
    /// connection or an error of the store itself, not a lost comparison.
    pub fn end(&mut self, failed: bool, now: moment::Moment, rng: &mut impl Rng) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if failed {
            // Calls that were in flight together fail together and count once.
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
