//! Whether the requests for a service differ in priority.

use std::{collections, time};

use corneltrestle_time::moment;

/// Time for which a request counts.
const WINDOW: time::Duration = time::Duration::from_secs(30);

/// Requests that are kept at most; the latest ones count.
const MAX_REQUESTS: usize = 1_024;

/// Requests from which on the division between priorities is taken to be known.
const MIN_REQUESTS: usize = 20;

/// Fraction of the requests that have to differ in priority from the most frequent one. A few, such as
/// those of an operator who tries a route out, do not make a ranking.
const MIN_FRACTION: f64 = 0.05;

/// The priorities of recent requests for one service.
///
/// Where all requests for a service have one priority, none can be served ahead of the others, and
/// holding some of them back only decides which of them come late.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, gate};
///
/// let (mut ranks, now) = (gate::Ranks::default(), Moment::from_millis(1_000));
/// (0..40).for_each(|_| ranks.record(1, now));
/// assert!(!ranks.are_mixed(now));
/// (0..10).for_each(|_| ranks.record(0, now));
/// assert!(ranks.are_mixed(now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ranks {
    recent: collections::VecDeque<(moment::Moment, u8)>,
    counts: collections::BTreeMap<u8, usize>,
}

impl Ranks {
    /// Records a request with the priority of its route.
    pub fn record(&mut self, priority: u8, now: moment::Moment) {
        self.forget(now);
        if self.recent.len() == MAX_REQUESTS {
            self.remove_first();
        }
        self.recent.push_back((now, priority));
        *self.counts.entry(priority).or_default() += 1;
    }

    /// Whether the requests differ in priority.
    pub fn are_mixed(&mut self, now: moment::Moment) -> bool {
        self.forget(now);
        let all = self.recent.len();
        let most = self.counts.values().max().copied().unwrap_or(0);
        all >= MIN_REQUESTS && (all - most) as f64 >= all as f64 * MIN_FRACTION
    }

    fn forget(&mut self, now: moment::Moment) {
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some((_, priority)) = self.recent.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&priority) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&priority);
            }
        }
    }
}
