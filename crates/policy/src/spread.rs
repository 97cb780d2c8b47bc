//! Load balancing by many nodes that all choose by the same, slightly old picture of the load.
//!
//! If each of them took the upstream with the least predicted time, all requests that arrive until
//! the next picture would go to the same few upstreams. Requests are therefore spread over the
//! upstreams so that those which no picture shows yet fill them up to the same level (M. Dahlin,
//! "Interpreting Stale Load Information").

use std::time;

use rand::Rng;

/// Factor on the expected work, as requests do not arrive evenly.
const BURST_FACTOR: f64 = 3.0;

/// Difference of predicted times that has no meaning.
const MIN_DIFFERENCE: time::Duration = time::Duration::from_millis(2);

/// Requests of all nodes that the picture of the load does not show yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unseen {
    /// Requests per second of all nodes, to all upstreams that a request may go to.
    pub rate: f64,
    /// Age of the picture.
    pub age: time::Duration,
    /// Time that a request adds to the predicted time of its upstream.
    pub each: time::Duration,
}

impl Unseen {
    /// Time that these requests add to the predicted times of all upstreams together.
    fn total(&self) -> f64 {
        self.rate.max(0.0) * self.age.as_secs_f64() * self.each.as_secs_f64() * BURST_FACTOR
    }
}

/// Picks one of the upstreams with these predicted times; `None` without any. An upstream is picked
/// with a probability in proportion to the work that it takes until the common level is reached.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::spread;
///
/// let times = [20, 30, 500].map(Duration::from_millis);
/// let (age, each) = (Duration::from_millis(100), Duration::from_millis(30));
/// let mut rng = rand::rng();
/// let mut pick = |rate| spread::pick(&times, &spread::Unseen { rate, age, each }, &mut rng);
/// assert_eq!(pick(0.0), Some(0));
/// assert!((0..100).all(|_| pick(50.0) != Some(2)), "it is busy for longer than the others");
/// ```
pub fn pick(times: &[time::Duration], unseen: &Unseen, rng: &mut impl Rng) -> Option<usize> {
    let times: Vec<f64> = times.iter().map(time::Duration::as_secs_f64).collect();
    let least_total = MIN_DIFFERENCE.as_secs_f64() * times.len() as f64;
    let level = level(&times, unseen.total().max(least_total));
    let room = |time: &f64| (level - time).max(0.0);
    let mut left = rng.random::<f64>() * times.iter().map(room).sum::<f64>();
    let found = times.iter().position(|time| {
        left -= room(time);
        left < 0.0
    });
    let least = || (0..times.len()).min_by(|a, b| times[*a].total_cmp(&times[*b]));
    found.or_else(least)
}

/// The level up to which `total` fills the upstreams with these times.
fn level(times: &[f64], total: f64) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut sum, mut level) = (total, f64::INFINITY);
    for (number, time) in sorted.iter().enumerate() {
        if *time >= level {
            break;
        }
        sum += time;
        level = sum / (number + 1) as f64;
    }
    level
}
