//! Retries and hedges: which failures allow another attempt, how many attempts, and when.
//!
//! [`Budget`] limits the extra attempts of one node, [`fleet::Allowance`] those of all nodes
//! together.

mod budget;
pub mod fleet;
mod tried;

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

pub use budget::Budget;
pub use tried::Tried;

/// Upper bound of the first backoff; the bound doubles with each further failure.
pub const BACKOFF_BASE: time::Duration = time::Duration::from_millis(50);
/// Upper bound of any backoff.
pub const BACKOFF_MAX: time::Duration = time::Duration::from_secs(5);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent.
    NotSent,
    /// The upstream refused the call before running it.
    Refused,
    /// The upstream refused the call because its queue is full.
    Full,
    /// At least one byte was sent, and the call may have run.
    Broken,
    /// The response belongs to another request, is incomplete or is malformed; the call may have
    /// run.
    InvalidResponse,
}

/// Whether a call may be sent again after `failure`.
///
/// A call that is not repeatable may be sent again only if it has certainly not run. Streams that
/// were delivered in part follow another rule, see [`crate::delivery::Delivery::resume`].
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
    repeatable || !may_have_run(failure)
}

/// Whether the upstream may have begun to run a call that failed in this way.
pub fn may_have_run(failure: Failure) -> bool {
    match failure {
        Failure::NotSent | Failure::Refused | Failure::Full => false,
        Failure::Broken | Failure::InvalidResponse => true,
    }
}

/// Backoff with full jitter: uniform from zero to a bound that starts at [`BACKOFF_BASE`] and
/// doubles with each failure up to [`BACKOFF_MAX`]. `failures` counts from 1.
pub fn backoff(failures: u32, rng: &mut impl Rng) -> time::Duration {
    backoff_within(failures, BACKOFF_MAX, rng)
}

/// Like [`backoff`], with `max` in place of [`BACKOFF_MAX`].
pub fn backoff_within(failures: u32, max: time::Duration, rng: &mut impl Rng) -> time::Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let bound = (BACKOFF_BASE * 2u32.pow(doublings)).min(max);
    rng.random_range(time::Duration::ZERO..=bound)
}

/// When to send a failed call again, or `None` if it must not be sent again: the failure does not
/// allow it, the backoff would not end before the deadline, or the budget is used up. `failures`
/// counts the failed attempts of this call.
///
/// [`Failure::Full`] takes nothing from the budget and always gets the first backoff: the refusal
/// costs the upstream little, and the router sends it nothing more until a later report. Otherwise
/// a burst at one upstream would use up the budget and fail calls that still have time to wait.
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
