//! Evaluates counts against their targets: error budget, burn rates and verdict.

use crate::{burn, release};

/// Fraction of first tokens and of gaps between tokens that must be within their target.
const TIMELY_GOAL: f64 = 0.95;
/// Burn rate at which a day's error budget is used up in four hours.
const FAST_BURN_RATE: f64 = 6.0;
/// Burn rate above which the error budget does not last for the day.
const SLOW_BURN_RATE: f64 = 1.0;
/// Lower bound of the error budget, so that a target of 1 does not divide by zero.
const MIN_BUDGET: f64 = 1e-9;

/// State of the error budget of a service and organisation, in order of increasing severity.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Nothing was counted in the last 24 hours.
    NoData,
    /// The error budget lasts for the day at the current burn rates.
    Ok,
    /// The burn rates of both windows are above 1.
    SlowBurn,
    /// At the burn rates of both windows a day's budget is used up in four hours or less.
    FastBurn,
    /// The budget of the last 24 hours is used up.
    Exhausted,
}

/// Evaluation of one target.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rating {
    /// Fraction of the error budget of the last 24 hours that is left; negative if overspent.
    pub left: f64,
    /// Burn rate in the short window: the fraction of errors divided by the one that the target
    /// allows.
    pub short: f64,
    /// Burn rate in the long window.
    pub long: f64,
    /// Verdict on this target alone.
    pub verdict: Verdict,
}

/// Evaluates each target: complete responses, first tokens, gaps between tokens, and orders, in
/// this order.
pub fn evaluate(totals: &burn::Totals, targets: &release::Targets) -> [Rating; 4] {
    [
        target(totals, targets.whole, |c| (c.requests, c.whole)),
        target(totals, TIMELY_GOAL, |c| (c.firsts, c.timely_firsts)),
        target(totals, TIMELY_GOAL, |c| (c.gaps, c.timely_gaps)),
        target(totals, targets.orders, |c| (c.orders, c.known_orders)),
    ]
}

impl Verdict {
    /// The verdict over several targets: the worst one.
    pub fn of(ratings: &[Rating]) -> Verdict {
        ratings.iter().map(|rating| rating.verdict).max().unwrap_or(Verdict::NoData)
    }
}

fn target(
    totals: &burn::Totals,
    goal: f64,
    select: impl Fn(&burn::Counts) -> (u64, u64),
) -> Rating {
    let budget = (1.0 - goal).max(MIN_BUDGET);
    let burn = |counts: &burn::Counts| {
        let (all, good) = select(counts);
        if all == 0 { 0.0 } else { all.saturating_sub(good) as f64 / all as f64 / budget }
    };
    let (short, long, left) = (burn(&totals.short), burn(&totals.long), 1.0 - burn(&totals.day));
    let both = short.min(long);
    let verdict = match select(&totals.day).0 {
        0 => Verdict::NoData,
        // The tolerance keeps a rounding error from hiding an exhausted budget.
        _ if left <= 1e-9 => Verdict::Exhausted,
        _ if both >= FAST_BURN_RATE => Verdict::FastBurn,
        _ if both > SLOW_BURN_RATE => Verdict::SlowBurn,
        _ => Verdict::Ok,
    };
    Rating { left, short, long, verdict }
}
