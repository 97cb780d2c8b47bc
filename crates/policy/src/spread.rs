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

/// Time by which an upstream of another zone has to be faster: traffic between zones costs more than
/// a short wait.
const FAR_PENALTY: time::Duration = time::Duration::from_millis(15);

/// Number of upstreams of the own zone from which requests may be spread over them alone. Over fewer,
/// bursts are not evened out.
const MIN_NEAR: usize = 4;

/// An upstream that may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Predicted time until its answer begins.
    pub time: time::Duration,
    /// Whether it is in the zone of the node that chooses.
    pub is_near: bool,
}

impl Candidate {
    /// The predicted time in seconds, with the penalty of another zone.
    fn cost(&self) -> f64 {
        let penalty = if self.is_near { time::Duration::ZERO } else { FAR_PENALTY };
        (self.time + penalty).as_secs_f64()
    }
}

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

/// Picks one of the upstreams; `None` without any. An upstream is picked with a probability in
/// proportion to the work that it takes until the common level is reached. The own zone is preferred
/// while the level of its upstreams is not much higher than that of all.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::spread;
///
/// let found = [20, 30, 500].map(|millis| spread::Candidate {
///     time: Duration::from_millis(millis),
///     is_near: true,
/// });
/// let (age, each) = (Duration::from_millis(100), Duration::from_millis(30));
/// let mut rng = rand::rng();
/// let mut pick = |rate| spread::pick(&found, &spread::Unseen { rate, age, each }, &mut rng);
/// assert_eq!(pick(0.0), Some(0));
/// assert!((0..100).all(|_| pick(50.0) != Some(2)), "it is busy for longer than the others");
/// ```
pub fn pick(found: &[Candidate], unseen: &Unseen, rng: &mut impl Rng) -> Option<usize> {
    let all: Vec<usize> = (0..found.len()).collect();
    let near: Vec<usize> = all.iter().copied().filter(|at| found[*at].is_near).collect();
    let level_of = |chosen: &[usize]| {
        let costs: Vec<f64> = chosen.iter().map(|at| found[*at].cost()).collect();
        let least = MIN_DIFFERENCE.as_secs_f64() * chosen.len() as f64;
        let share = chosen.len() as f64 / found.len() as f64;
        level(&costs, (unseen.total() * share).max(least))
    };
    let (level, near_level) = (level_of(&all), level_of(&near));
    let stays = near.len() >= MIN_NEAR && near_level <= level + FAR_PENALTY.as_secs_f64();
    let (chosen, level) = if stays { (near, near_level) } else { (all, level) };
    let room = |at: &usize| (level - found[*at].cost()).max(0.0);
    let mut left = rng.random::<f64>() * chosen.iter().map(room).sum::<f64>();
    let picked = chosen.iter().find(|at| {
        left -= room(at);
        left < 0.0
    });
    let least = || chosen.iter().min_by(|a, b| found[**a].cost().total_cmp(&found[**b].cost()));
    picked.or_else(least).copied()
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
