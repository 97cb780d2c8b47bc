//! A token bucket whose rate may change between calls.

use std::time;

use corneltrestle_time::moment;

/// A token bucket. It starts full; tokens accrue at a rate up to a burst size, both given by the
/// caller on each call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// `None` before the first refill: full.
    tokens: Option<f64>,
    refilled: moment::Moment,
}

impl Bucket {
    /// Adds the tokens accrued since the last call, at `rate` tokens per second, up to `burst`.
    pub fn refill(&mut self, rate: f64, burst: f64, now: moment::Moment) {
        let accrued = rate * now.since(self.refilled).as_secs_f64();
        self.tokens = Some(self.tokens.map_or(burst, |tokens| (tokens + accrued).min(burst)));
        self.refilled = self.refilled.max(now);
    }

    /// Number of tokens at `now`; changes nothing.
    pub fn level(&self, rate: f64, burst: f64, now: moment::Moment) -> f64 {
        let mut copy = *self;
        copy.refill(rate, burst, now);
        copy.tokens.unwrap_or(burst)
    }

    /// Takes one token; false if there is less than one.
    pub fn take(&mut self) -> bool {
        match &mut self.tokens {
            // Rounding errors of accrued fractions are far below this tolerance.
            Some(tokens) if *tokens >= 1.0 - 1e-9 => {
                *tokens = (*tokens - 1.0).max(0.0);
                true
            }
            _ => false,
        }
    }
}

/// Time until a bucket that holds `tokens` and accrues `rate` tokens per second holds `wanted`.
pub fn wait(tokens: f64, wanted: f64, rate: f64) -> time::Duration {
    if tokens >= wanted {
        return time::Duration::ZERO;
    }
    // Rounded up to the resolution of the clock, so that the tokens have accrued when the wait
    // ends.
    let micros = ((wanted - tokens) / rate.max(1e-9) * 1e6).ceil();
    time::Duration::from_micros(micros.min(1e15) as u64)
}
