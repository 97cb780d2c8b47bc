//! A token bucket whose rate may change between calls.

use std::time;

use corneltrestle_time::moment;

/// Tokens that accrue with time up to a burst; starts full.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    tokens: Option<f64>,
    at: moment::Moment,
}

impl Bucket {
    /// Adds the tokens accrued since the last call, at `rate` tokens a second up to `burst`.
    pub fn refill(&mut self, rate: f64, burst: f64, now: moment::Moment) {
        let accrued = rate * now.since(self.at).as_secs_f64();
        self.tokens = Some(self.tokens.map_or(burst, |tokens| (tokens + accrued).min(burst)));
        self.at = self.at.max(now);
    }

    /// Tokens at `now`, without taking any.
    pub fn level(&self, rate: f64, burst: f64, now: moment::Moment) -> f64 {
        let mut copy = *self;
        copy.refill(rate, burst, now);
        copy.tokens.unwrap_or(burst)
    }

    /// Takes one token if there is a whole one.
    pub fn take(&mut self) -> bool {
        match &mut self.tokens {
            // Sums of fractions miss whole numbers by rounding errors far below this tolerance.
            Some(tokens) if *tokens >= 1.0 - 1e-9 => {
                *tokens = (*tokens - 1.0).max(0.0);
                true
            }
            _ => false,
        }
    }
}

/// Time until a bucket with `tokens` tokens and this rate has `wanted` tokens.
pub fn wait(tokens: f64, wanted: f64, rate: f64) -> time::Duration {
    if tokens >= wanted {
        return time::Duration::ZERO;
    }
    // Rounded up to the clock's resolution, so that the tokens are there when the wait ends.
    let micros = ((wanted - tokens) / rate.max(1e-9) * 1e6).ceil();
    time::Duration::from_micros(micros.min(1e15) as u64)
}
