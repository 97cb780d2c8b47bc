//! Time to the first event of a stream beyond what the cost model predicts.
//!
//! Engines, and the way to them, add a time to each first event that no published figure contains.
//! Admission takes it off the objective: without it, requests are admitted that are late all the same.

use std::{collections, time};

/// Number of the latest streams that are compared with their predictions.
const SAMPLES: usize = 32;

/// Number of streams below which no overhead is assumed.
const MIN_SAMPLES: usize = 8;

/// Fraction of the streams with a smaller difference than the overhead. Queues that the prediction
/// does not contain add to the larger ones, and are not there for the next request.
const QUANTILE: f64 = 0.25;

/// Estimates the overhead of first events from streams and their predictions.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::overhead::Overhead;
///
/// let mut overhead = Overhead::default();
/// for _ in 0..32 {
///     overhead.record(Duration::from_millis(70), Duration::from_millis(180));
/// }
/// assert_eq!(overhead.estimate(), Duration::from_millis(110));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Overhead {
    differences: collections::VecDeque<time::Duration>,
    estimate: time::Duration,
}

impl Overhead {
    /// Records a stream whose first event was predicted after one time and came after another one.
    pub fn record(&mut self, predicted: time::Duration, actual: time::Duration) {
        if self.differences.len() == SAMPLES {
            self.differences.pop_front();
        }
        self.differences.push_back(actual.saturating_sub(predicted));
        if self.differences.len() < MIN_SAMPLES {
            return;
        }
        let mut sorted: Vec<_> = self.differences.iter().copied().collect();
        sorted.sort_unstable();
        self.estimate = sorted[(sorted.len() as f64 * QUANTILE) as usize];
    }

    /// The time by which first events come later than predicted; zero while too few are known.
    pub fn estimate(&self) -> time::Duration {
        self.estimate
    }
}
