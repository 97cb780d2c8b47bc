//! Health of upstreams by what requests meet there.

use std::time;

use corneltrestle_time::moment;

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// There was no connection.
    Unreachable,
    /// No answer came in time.
    TimedOut,
    /// The upstream does not take requests of this kind now.
    Misdirected,
    /// It has no place.
    Full,
    /// It failed the request.
    Failed,
}

/// First time for which an upstream that cannot be reached is avoided; it doubles with each failure.
const AVOID_MIN: time::Duration = time::Duration::from_millis(250);

/// Longest time for which an upstream is avoided.
const AVOID_MAX: time::Duration = time::Duration::from_secs(2);

/// Time for which an upstream that takes no requests is avoided; its registration tells more soon.
const AVOID_MISDIRECTED: time::Duration = time::Duration::from_millis(500);

/// Time for which an upstream without a place is avoided.
const AVOID_FULL: time::Duration = time::Duration::from_millis(100);

/// Weight of the latest request in the failure rate.
const WEIGHT: f64 = 0.15;

/// Time in which the failure rate halves without requests, so that an upstream is tried again.
const HALF_LIFE: time::Duration = time::Duration::from_secs(3);

/// The health of one start of an upstream.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, health::{Health, Outcome}};
///
/// let (mut health, now) = (Health::default(), Moment::from_millis(1));
/// health.record(Outcome::Unreachable, now);
/// assert!(health.is_avoided(now));
/// assert!(!health.is_avoided(Moment::from_millis(500)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Failures in a row without a connection or an answer.
    streak: u32,
    avoided: Option<moment::Moment>,
    rate: f64,
    recorded: moment::Moment,
}

impl Health {
    /// Records how a request ended.
    pub fn record(&mut self, outcome: Outcome, now: moment::Moment) {
        let failed = matches!(outcome, Outcome::Failed | Outcome::TimedOut);
        self.rate = self.failure_rate(now) * (1.0 - WEIGHT) + f64::from(failed) * WEIGHT;
        self.recorded = now;
        let span = match outcome {
            Outcome::Answered => {
                self.streak = 0;
                self.avoided = None;
                return;
            }
            Outcome::Failed => return,
            Outcome::Full => AVOID_FULL,
            Outcome::Misdirected => AVOID_MISDIRECTED,
            Outcome::Unreachable | Outcome::TimedOut => {
                self.streak += 1;
                let doublings = (self.streak - 1).min(8);
                (AVOID_MIN * 2u32.pow(doublings)).min(AVOID_MAX)
            }
        };
        self.avoided = Some(now + span);
    }

    /// Whether requests are to go elsewhere.
    pub fn is_avoided(&self, now: moment::Moment) -> bool {
        self.avoided.is_some_and(|until| now < until)
    }

    /// Part of the latest requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: moment::Moment) -> f64 {
        let age = now.since(self.recorded).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(age)
    }
}
