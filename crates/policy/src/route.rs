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
pub struct Params {
    /// Delay of a first token by each request that waits.
    pub waiting_cost: time::Duration,
    /// Delay of a first token by each request that is being decoded.
    pub running_cost: time::Duration,
    /// Time to compute one block of the prompt.
    pub block_cost: time::Duration,
    /// Blocks of the prompt.
    pub prompt_blocks: u32,
    /// Live nodes.
    pub nodes: usize,
    /// Requests a second that this node dispatches to the service.
    pub dispatch_rate: f64,
    /// Predictions that differ by no more than this are equal.
    pub tie_margin: time::Duration,
    /// Candidates to compare.
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

/// Predicted time to the first token at one of `number` candidates.
///
/// Other nodes are taken to dispatch at this node's rate, evenly over the candidates; what they
/// have dispatched since the report counts as waiting, so an older report counts for less. Work
/// finished since then is not subtracted, as it is as much for all candidates.
pub fn predict(
    candidate: &Candidate<'_>,
    number: usize,
    params: &Params,
    now: moment::Moment,
) -> time::Duration {
    let others = params.nodes.saturating_sub(1) as f64 * params.dispatch_rate.max(0.0);
    let age = now.since(candidate.reported).as_secs_f64();
    let foreign = others * age / number.max(1) as f64;
    let queue = f64::from(candidate.waiting) + candidate.unreported() as f64 + foreign;
    let missing = params.prompt_blocks.saturating_sub(candidate.cached_blocks);
    params.waiting_cost.mul_f64(queue.min(1e6))
        + params.running_cost.saturating_mul(candidate.running)
        + params.block_cost.saturating_mul(missing)
        + candidate.latency * 2
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
        // Many upstreams may hold a common prompt; the same one must not be the holder each time.
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
