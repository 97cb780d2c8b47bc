//! Chooses the upstream for a request by the predicted time to the first token.
//!
//! The prediction uses queue lengths from the upstreams' reports, the router's own dispatches since
//! then, the cached part of the prompt and the network latency.

mod baseline;
mod candidate;

use std::time;

use corneltrestle_time::moment;
use rand::{Rng, seq::index};

pub use baseline::{prefix_affinity, two_choices};
pub use candidate::Candidate;

/// Parameters of the prediction and of the choice that are the same for all candidates.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// Delay of the first token by each request in the upstream's queue.
    pub waiting_cost: time::Duration,
    /// Delay of the first token by each request that the upstream is decoding.
    pub running_cost: time::Duration,
    /// Time to compute one block of the prompt that is not cached.
    pub block_cost: time::Duration,
    /// Number of blocks of the prompt.
    pub prompt_blocks: u32,
    /// Number of live nodes, this one included.
    pub nodes: usize,
    /// Requests per second that this node dispatches to the service.
    pub dispatch_rate: f64,
    /// Predictions that exceed the least one by at most this count as equal to it.
    pub tie_margin: time::Duration,
    /// Number of candidates to compare.
    pub sample_size: usize,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            waiting_cost: time::Duration::from_millis(40),
            running_cost: time::Duration::from_millis(2),
            block_cost: time::Duration::from_millis(1),
            prompt_blocks: 0,
            nodes: 1,
            dispatch_rate: 0.0,
            tie_margin: time::Duration::from_millis(1),
            sample_size: 4,
        }
    }
}

/// Predicted time to the first token at a candidate; `number` counts all permitted candidates.
///
/// The other nodes are assumed to dispatch at this node's rate, evenly over the candidates. What
/// they have dispatched since the report counts as waiting, so an older report predicts a longer
/// queue. Work that finished since then is not subtracted, as it is the same for all candidates.
pub fn predict(
    candidate: &Candidate<'_>,
    number: usize,
    params: &Params,
    now: moment::Moment,
) -> time::Duration {
    let others = params.nodes.saturating_sub(1) as f64 * params.dispatch_rate.max(0.0);
    let age = now.since(candidate.reported).as_secs_f64();
    let from_others = others * age / number.max(1) as f64;
    let queue = f64::from(candidate.waiting) + candidate.unreported() as f64 + from_others;
    let missing = params.prompt_blocks.saturating_sub(candidate.cached_blocks);
    params.waiting_cost.mul_f64(queue.min(1e6))
        + params.running_cost.saturating_mul(candidate.running)
        + params.block_cost.saturating_mul(missing)
        + candidate.latency * 2
}

/// Chooses the candidate with the least predicted time among a random sample of the permitted ones.
/// Returns its index, or `None` if no candidate is permitted.
///
/// The candidate that caches the longest prefix of the prompt is always part of the sample: random
/// picks alone would seldom include it in a large fleet. Ties go to a random candidate.
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
///     cached_blocks: 0,
///     latency: Duration::ZERO,
///     permitted: true,
/// };
/// let idle = route::Candidate { running: 0, waiting: 0, ..busy };
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let params = route::Params::default();
/// assert_eq!(route::choose(&[busy, idle], &params, Moment::ZERO, &mut rng), Some(1));
/// ```
pub fn choose(
    candidates: &[Candidate<'_>],
    params: &Params,
    now: moment::Moment,
    rng: &mut impl Rng,
) -> Option<usize> {
    let permitted: Vec<usize> =
        (0..candidates.len()).filter(|&i| candidates[i].permitted).collect();
    let holder = permitted
        .iter()
        .copied()
        .filter(|&i| candidates[i].cached_blocks > 0)
        // Many upstreams may cache a common prompt; a random one of them becomes the holder, so
        // that not all such requests go to the same upstream.
        .max_by_key(|&i| (candidates[i].cached_blocks, rng.random::<u32>()));
    let places =
        params.sample_size.max(1) - usize::from(holder.is_some() && params.sample_size > 1);
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
        .map(|i| (predict(&candidates[i], permitted.len(), params, now), i))
        .collect();
    let least = times.iter().map(|(time, _)| *time).min()?;
    let equal: Vec<usize> = times
        .iter()
        .filter(|(time, _)| *time <= least + params.tie_margin)
        .map(|(_, i)| *i)
        .collect();
    Some(equal[rng.random_range(0..equal.len())])
}
