//! Bounds on the rate of requests to a model, and the mean number of requests in progress.
//!
//! The coordinator knows the mix of models from its own requests only, which are few in a large
//! deployment. A high rate is therefore also found from a longer time, in which more of them arrive.

use std::{collections, time};

use corneltrestle_time::moment;

/// Time between two kept rates, the window over which each is measured.
const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Number of rates that are kept.
const MAX_RATES: usize = 8;

/// Distance of the bounds from the rate in standard errors. With one, the few requests of a coordinator
/// in a large deployment gave changes by chance (3 in 20 minutes; with 1.5, one).
const ERRORS: f64 = 2.0;

/// Time constant of the mean number of requests in progress. A stall of one group, or a short burst,
/// does not stand for the demand.
const PROGRESS_TIME: time::Duration = time::Duration::from_secs(1);

/// What is known of the demand for a model.
#[derive(Clone, Debug, Default)]
pub(super) struct Measured {
    /// The latest rate with its relative standard error.
    rate: f64,
    error: f64,
    /// Earlier rates with the numbers of requests that they follow from, the latest first.
    earlier: collections::VecDeque<(f64, f64)>,
    /// When the latest of them was kept.
    kept: Option<moment::Moment>,
    /// Mean number of requests in progress, and when it was computed.
    in_progress: f64,
    updated: Option<moment::Moment>,
}

impl Measured {
    /// Records the present rate, its relative standard error, and the number of requests in progress.
    pub(super) fn record(
        &mut self,
        (rate, error): (f64, f64),
        in_progress: f64,
        now: moment::Moment,
    ) {
        let since = now.since(*self.kept.get_or_insert(now));
        if since >= WINDOW {
            let number =
                if self.error > 0.0 { (self.error * self.error).recip() } else { f64::MAX };
            let number = if self.rate > 0.0 { number } else { 0.0 };
            self.earlier.push_front((self.rate, number));
            self.earlier.truncate(MAX_RATES);
            self.kept = Some(now);
        }
        (self.rate, self.error) = (rate, error);
        let elapsed = self.updated.map_or(time::Duration::ZERO, |at| now.since(at));
        let weight = 1.0 - (-elapsed.as_secs_f64() / PROGRESS_TIME.as_secs_f64()).exp();
        self.in_progress += (in_progress - self.in_progress) * weight;
        self.updated = Some(now);
    }

    /// Rate that is exceeded in all likelihood: the highest such bound over the latest and longer
    /// windows, but not above what the latest one allows.
    pub(super) fn least(&self) -> f64 {
        let mut least = self.rate * (1.0 - ERRORS * self.error);
        let (mut sum, mut requests) = (0.0, 0.0);
        for (number, (rate, counted)) in self.earlier.iter().enumerate() {
            sum += rate;
            requests += counted;
            let error = f64::max(requests, 1.0).sqrt().recip();
            least = least.max(sum / (number + 1) as f64 * (1.0 - ERRORS * error));
        }
        least.min(self.most())
    }

    /// Rate that is not exceeded in all likelihood.
    pub(super) fn most(&self) -> f64 {
        self.rate * (1.0 + ERRORS * self.error)
    }

    /// Mean number of requests in progress.
    pub(super) fn in_progress(&self) -> f64 {
        self.in_progress
    }
}
