//! Passive health checking: an upstream's health follows from the outcomes of requests to it.

use std::time;

use corneltrestle_time::moment;

/// Outcome of a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered successfully.
    Answered,
    /// No connection could be made.
    Unreachable,
    /// No answer arrived in time.
    TimedOut,
    /// The upstream rejected the request because it does not serve such requests now.
    Misdirected,
    /// The upstream rejected the request because all its slots are taken.
    Full,
    /// The upstream answered with an error, or its answer broke off.
    Failed,
}

/// Time for which an upstream is avoided after the first failure to reach it or to get an answer;
/// it doubles with each further failure.
const AVOID_MIN: time::Duration = time::Duration::from_millis(250);

/// Upper bound of the time for which an unreachable upstream is avoided.
const AVOID_MAX: time::Duration = time::Duration::from_secs(2);

/// Time for which an upstream that rejected a request as misdirected is avoided. By then its
/// registration shows its new state.
const AVOID_MISDIRECTED: time::Duration = time::Duration::from_millis(500);

/// Time for which a full upstream is avoided.
const AVOID_FULL: time::Duration = time::Duration::from_millis(100);

/// Weight of the latest request in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time in which the failure rate halves without requests, so that the upstream is tried again.
const HALF_LIFE: time::Duration = time::Duration::from_secs(3);

/// Health of one upstream process.
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
    /// Consecutive failures to connect or to get an answer.
    streak: u32,
    avoided_until: Option<moment::Moment>,
    rate: f64,
    recorded: moment::Moment,
}

impl Health {
    /// Records the outcome of a request.
    pub fn record(&mut self, outcome: Outcome, now: moment::Moment) {
        let failed = matches!(outcome, Outcome::Failed | Outcome::TimedOut);
        self.rate =
            self.failure_rate(now) * (1.0 - FAILURE_WEIGHT) + f64::from(failed) * FAILURE_WEIGHT;
        self.recorded = now;
        let span = match outcome {
            Outcome::Answered => {
                self.streak = 0;
                self.avoided_until = None;
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
        self.avoided_until = Some(now + span);
    }

    /// Whether other upstreams should be preferred now.
    pub fn is_avoided(&self, now: moment::Moment) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Moving average of failed requests, from 0 to 1.
    pub fn failure_rate(&self, now: moment::Moment) -> f64 {
        let age = now.since(self.recorded).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5f64.powf(age)
    }
}
