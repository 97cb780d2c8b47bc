//! Retries and hedges: which failures allow them, how many, and when.

mod budget;
pub mod fleet;

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

pub use budget::Budget;

/// Longest first backoff.
pub const BACKOFF_BASE: time::Duration = time::Duration::from_millis(50);
/// Longest backoff.
pub const BACKOFF_MAX: time::Duration = time::Duration::from_secs(5);

/// What is known about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent.
    NotSent,
    /// The upstream refused the call before running it.
    Refused,
    /// The upstream refused the call because its queue is full.
    Full,
    /// Something was sent, and whether it ran is unknown.
    Broken,
    /// The answer was wrong: foreign, incomplete or malformed.
    InvalidResponse,
}

/// Whether a call may be sent again after `failure`.
///
/// This says nothing about a partly delivered stream, which resumes by its own rule.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::retry::{self, Failure};
///
/// assert!(retry::is_allowed(Failure::NotSent, false));
/// assert!(!retry::is_allowed(Failure::Broken, false));
/// ```
pub fn is_allowed(failure: Failure, repeatable: bool) -> bool {
    match failure {
        Failure::NotSent | Failure::Refused | Failure::Full => true,
        Failure::Broken | Failure::InvalidResponse => repeatable,
    }
}

/// Backoff with full jitter: uniform from zero to a bound that starts at [`BACKOFF_BASE`] and
/// doubles with each failure up to [`BACKOFF_MAX`]. `failures` counts from 1.
pub fn backoff(failures: u32, rng: &mut impl Rng) -> time::Duration {
    backoff_within(failures, BACKOFF_MAX, rng)
}

/// As [`backoff`], with another longest bound.
pub fn backoff_within(failures: u32, max: time::Duration, rng: &mut impl Rng) -> time::Duration {
    rng.random_range(time::Duration::ZERO..=bound(failures).min(max))
}

fn bound(failures: u32) -> time::Duration {
    let doublings = failures.saturating_sub(1).min(16);
    (BACKOFF_BASE * 2u32.pow(doublings)).min(BACKOFF_MAX)
}

/// When to send a failed call again: after a backoff that ends before the deadline, if the failure
/// allows it and the budget has an attempt left. `failures` counts this call's failed attempts.
///
/// A full queue takes nothing from the budget: the refusal costs the upstream little, and the router
/// sends it nothing more until a later report. Without that rule a burst at one upstream uses up the
/// budget and fails although there is time to wait.
pub fn next(
    failure: Failure,
    repeatable: bool,
    failures: u32,
    deadline: moment::Moment,
    budget: &mut Budget,
    now: moment::Moment,
    rng: &mut impl Rng,
) -> Option<moment::Moment> {
    if !is_allowed(failure, repeatable) {
        return None;
    }
    let is_full = failure == Failure::Full;
    let at = now + backoff(if is_full { 1 } else { failures }, rng);
    (at < deadline && (is_full || budget.take(now))).then_some(at)
}
