//! Retries and hedges: which failures allow them, how many, and when.

use std::time::Duration;

use corneltrestle_time::Moment;
use rand::Rng;

/// Longest first backoff.
pub const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest backoff.
pub const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// What is known about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent.
    NotSent,
    /// The upstream refused the call before running it.
    Refused,
    /// Something was sent, and whether it ran is unknown.
    Broken,
    /// The answer was wrong: foreign, incomplete or malformed.
    Wrong,
}

/// Whether a call may be sent again after `failure`.
///
/// This says nothing about a partly delivered stream, which resumes by its own rule.
pub fn is_allowed(failure: Failure, repeatable: bool) -> bool {
    match failure {
        Failure::NotSent | Failure::Refused => true,
        Failure::Broken | Failure::Wrong => repeatable,
    }
}

/// Backoff with full jitter: uniform from zero to a bound that starts at [`BACKOFF_MIN`] and
/// doubles with each failure up to [`BACKOFF_MAX`]. `failures` counts from 1.
pub fn backoff(failures: u32, rng: &mut impl Rng) -> Duration {
    rng.random_range(Duration::ZERO..=bound(failures))
}

fn bound(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    (BACKOFF_MIN * 2u32.pow(doublings)).min(BACKOFF_MAX)
}

/// An allowance of extra attempts as a fraction of the requests, with a minimum each second.
///
/// Over any [`Budget::WINDOW`] seconds it grants at most `minimum` a second plus `fraction` of the
/// requests.
#[derive(Clone, Debug)]
pub struct Budget {
    fraction: f64,
    minimum: u32,
    slots: [Slot; Budget::WINDOW],
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    second: u64,
    requests: u32,
    extra: u32,
}

impl Budget {
    /// Seconds over which the fraction is taken.
    pub const WINDOW: usize = 10;

    /// The budget of retries: 10 % of the requests, at least 3 a second.
    pub fn retries() -> Self {
        Self { fraction: 0.10, minimum: 3, slots: Default::default() }
    }

    /// The budget of hedges: 5 % of the requests.
    pub fn hedges() -> Self {
        Self { fraction: 0.05, minimum: 0, slots: Default::default() }
    }

    /// Counts a first attempt.
    pub fn count(&mut self, now: Moment) {
        self.slot(now).requests += 1;
    }

    /// Grants an extra attempt, and counts it, if the budget has one left.
    pub fn take(&mut self, now: Moment) -> bool {
        let second = now.as_millis() / 1_000;
        let (mut requests, mut extra) = (0, 0);
        for slot in self.slots.iter().filter(|s| s.second + Self::WINDOW as u64 > second) {
            requests += slot.requests;
            extra += slot.extra;
        }
        let minimum = self.minimum;
        let within = f64::from(extra + 1) <= self.fraction * f64::from(requests);
        let slot = self.slot(now);
        let granted = within || slot.extra < minimum;
        slot.extra += u32::from(granted);
        granted
    }

    /// Grants a hedge of a call: only repeatable calls get one.
    pub fn hedge(&mut self, repeatable: bool, now: Moment) -> bool {
        repeatable && self.take(now)
    }

    fn slot(&mut self, now: Moment) -> &mut Slot {
        let second = now.as_millis() / 1_000;
        let slot = &mut self.slots[(second % Self::WINDOW as u64) as usize];
        if slot.second != second {
            *slot = Slot { second, ..Slot::default() };
        }
        slot
    }
}

/// When to send a failed call again: after a backoff that ends before the deadline, if the failure
/// allows it and the budget has an attempt left. `failures` counts this call's failed attempts.
pub fn next(
    failure: Failure,
    repeatable: bool,
    failures: u32,
    deadline: Moment,
    budget: &mut Budget,
    now: Moment,
    rng: &mut impl Rng,
) -> Option<Moment> {
    if !is_allowed(failure, repeatable) {
        return None;
    }
    let at = now + backoff(failures, rng);
    (at < deadline && budget.take(now)).then_some(at)
}
