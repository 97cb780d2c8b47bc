//! How long the clients of a route wait in all, from which it follows whether a request was sent
//! before: its client has less time left then.

use std::time;

use corneltrestle_time::moment;

/// Relative difference of times left that has no meaning.
const TOLERANCE: f64 = 0.05;

/// Fraction of requests that have the longest time left from which on the clients are taken to agree.
const AGREEMENT: f64 = 0.9;

/// Requests before which nothing is concluded.
const MIN_REQUESTS: u32 = 8;

/// Requests over which the fraction is smoothed.
const SMOOTHING: u32 = 32;

/// Time after which a longest time that is not seen again no longer counts.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// The times that the clients of one route had left when their requests arrived.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, gate};
///
/// let mut clients = gate::Clients::default();
/// let usual = Duration::from_secs(3);
/// (0..10).for_each(|second| clients.record(usual, Moment::from_millis(second * 1_000)));
/// assert_eq!(clients.sent_before(usual), None);
/// assert_eq!(clients.sent_before(Duration::from_secs(2)), Some(Duration::from_secs(1)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Clients {
    longest: time::Duration,
    /// When a request last had about that time left.
    seen: moment::Moment,
    /// Fraction of requests that had, and the number of requests, both since the longest time changed.
    agreeing: f64,
    number: u32,
}

impl Clients {
    /// Records a request while none is refused, so that hardly any is sent again.
    pub fn record(&mut self, left: time::Duration, now: moment::Moment) {
        let is_longer = left > self.longest.mul_f64(1.0 + TOLERANCE);
        if is_longer || now.since(self.seen) > RETENTION {
            *self = Self { longest: left, seen: now, agreeing: 1.0, number: 1 };
            return;
        }
        let agrees = self.agrees(left);
        if agrees {
            self.seen = now;
        }
        self.number = self.number.saturating_add(1);
        let weight = f64::from(self.number.min(SMOOTHING)).recip();
        self.agreeing += (f64::from(u8::from(agrees)) - self.agreeing) * weight;
    }

    /// Time since the client of a request first sent it; `None` if it is not known to have sent it
    /// before.
    pub fn sent_before(&self, left: time::Duration) -> Option<time::Duration> {
        let is_known = self.number >= MIN_REQUESTS && self.agreeing >= AGREEMENT;
        (is_known && !self.agrees(left)).then(|| self.longest.saturating_sub(left))
    }

    fn agrees(&self, left: time::Duration) -> bool {
        left >= self.longest.mul_f64(1.0 - TOLERANCE)
    }
}
