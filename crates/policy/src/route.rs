//! Choice of the upstream for a request.

mod baseline;
mod candidate;

use std::time;

use corneltrestle_time::moment;
use rand::{Rng, seq::index};

pub use baseline::{prefix_affinity, two_choices};
pub use candidate::Candidate;

/// What the prediction depends on besides the candidate.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Delay of a first token by each request that waits.
    pub waiting: time::Duration,
    /// Delay of a first token by each request that is being decoded.
    pub running: time::Duration,
    /// Time to compute one block of the prompt.
    pub block: time::Duration,
    /// Blocks of the prompt.
    pub blocks: u32,
    /// Live nodes.
    pub nodes: usize,
    /// Requests a second that this node dispatches to the service.
    pub rate: f64,
    /// Predictions that differ by no more than this are equal.
    pub tie: time::Duration,
    /// Candidates to compare.
    pub sample: usize,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            waiting: time::Duration::from_millis(40),
            running: time::Duration::from_millis(2),
            block: time::Duration::from_millis(1),
            blocks: 0,
            nodes: 1,
            rate: 0.0,
            tie: time::Duration::from_millis(1),
            sample: 4,
        }
    }
}

/// Predicted time to the first token at one of `number` candidates.
///
/// Other nodes are taken to dispatch at this node's rate, evenly over the candidates; what they
/// have dispatched since the report counts as waiting, so an older report counts for less. Work
/// finished since then is not subtracted, as it is as much for all candidates.
pub fn predict(
    candidate: &Candidate<'_>,
    number: usize,
    weights: &Weights,
    now: moment::Moment,
) -> time::Duration {
    let others = weights.nodes.saturating_sub(1) as f64 * weights.rate.max(0.0);
    let age = now.since(candidate.reported).as_secs_f64();
    let foreign = others * age / number.max(1) as f64;
    let queue = f64::from(candidate.waiting) + candidate.unreported() as f64 + foreign;
    let missing = weights.blocks.saturating_sub(candidate.cached);
    weights.waiting.mul_f64(queue.min(1e6))
        + weights.running.saturating_mul(candidate.running)
        + weights.block.saturating_mul(missing)
        + candidate.distance * 2
}

/// Chooses the candidate with the least predicted time among a random sample of the permitted ones.
///
/// The candidate that holds the longest prefix takes one place of the sample: random places alone
/// would seldom contain it in a large fleet. Returns `None` if no candidate is permitted.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, route};
/// use rand::SeedableRng;
///
/// let busy = route::Candidate {
///     running: 20,
///     waiting: 5,
///     reported: Moment::ZERO,
///     dispatches: &[],
///     cached: 0,
///     distance: Duration::ZERO,
///     permitted: true,
/// };
/// let idle = route::Candidate { running: 0, waiting: 0, ..busy };
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let weights = route::Weights::default();
/// assert_eq!(route::choose(&[busy, idle], &weights, Moment::ZERO, &mut rng), Some(1));
/// ```
pub fn choose(
    candidates: &[Candidate<'_>],
    weights: &Weights,
    now: moment::Moment,
    rng: &mut impl Rng,
) -> Option<usize> {
    let permitted: Vec<usize> =
        (0..candidates.len()).filter(|&i| candidates[i].permitted).collect();
    let holder = permitted
        .iter()
        .copied()
        .filter(|&i| candidates[i].cached > 0)
        // Many upstreams may hold a common prompt; the same one must not be the holder each time.
        .max_by_key(|&i| (candidates[i].cached, rng.random::<u32>()));
    let places = weights.sample.max(1) - usize::from(holder.is_some() && weights.sample > 1);
    let mut sample: Vec<usize> = index::sample(rng, permitted.len(), places.min(permitted.len()))
        .into_iter()
        .map(|place| permitted[place])
        .collect();
    if let Some(holder) = holder
        && !sample.contains(&holder)
    {
        sample.push(holder);
    }
    let times: Vec<(time::Duration, usize)> = sample
        .into_iter()
        .map(|i| (predict(&candidates[i], permitted.len(), weights, now), i))
        .collect();
    let least = times.iter().map(|(time, _)| *time).min()?;
    let equal: Vec<usize> =
        times.iter().filter(|(time, _)| *time <= least + weights.tie).map(|(_, i)| *i).collect();
    Some(equal[rng.random_range(0..equal.len())])
}
