//! Well-known load-balancing algorithms, as baselines in measurements.

use rand::{Rng, seq::index};

use crate::route;

/// Power of two choices: the less loaded of two random permitted candidates, by index.
pub fn two_choices(candidates: &[route::Candidate<'_>], rng: &mut impl Rng) -> Option<usize> {
    let permitted = permitted(candidates);
    index::sample(rng, permitted.len(), permitted.len().min(2))
        .into_iter()
        .map(|place| permitted[place])
        .min_by_key(|&i| load(&candidates[i]))
}

/// Prefix affinity with bounded loads: among the permitted candidates whose load is at most `bound`
/// times the mean plus one request, the one that caches the longest prefix; the least loaded one if
/// none of them caches any. Ties go to a random candidate.
pub fn prefix_affinity(
    candidates: &[route::Candidate<'_>],
    bound: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let permitted = permitted(candidates);
    let total: u64 = permitted.iter().map(|&i| load(&candidates[i])).sum();
    let most = bound * total as f64 / permitted.len().max(1) as f64 + 1.0;
    permitted
        .into_iter()
        .map(|i| (i, load(&candidates[i]), rng.random::<u32>()))
        .min_by_key(|&(i, load, tie)| {
            let held = if load as f64 <= most { candidates[i].cached_blocks } else { 0 };
            (std::cmp::Reverse(held), load, tie)
        })
        .map(|(i, _, _)| i)
}

fn permitted(candidates: &[route::Candidate<'_>]) -> Vec<usize> {
    (0..candidates.len()).filter(|&i| candidates[i].permitted).collect()
}

/// Requests running, waiting and dispatched since the report.
fn load(candidate: &route::Candidate<'_>) -> u64 {
    u64::from(candidate.running) + u64::from(candidate.waiting) + candidate.unreported() as u64
}
