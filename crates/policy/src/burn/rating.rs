//! Error budget, burn rates and the verdict.

use crate::{burn, release};

/// Fraction of first tokens and of times between tokens that must be within their target.
const ON_TIME: f64 = 0.95;
/// Burn rate that uses up a day's budget in four hours.
const FAST_BURN_RATE: f64 = 6.0;
/// Burn rate above which the budget does not last for the day.
const SLOW_BURN_RATE: f64 = 1.0;
/// Smallest budget, for a target of 1.
const MIN_BUDGET: f64 = 1e-9;

/// Verdict on a service and organisation, worst last.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Nothing was counted in the last 24 hours.
    NoData,
    /// The budget lasts.
    Ok,
    /// Both windows burn faster than the budget allows.
    SlowBurn,
    /// Both windows burn at a rate that uses up the day's budget in four hours or less.
    FastBurn,
    /// The budget of the last 24 hours is used up.
    Exhausted,
}

/// The state of one target.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rating {
    /// Fraction of the 24 hours' error budget that is left; negative if overdrawn.
    pub left: f64,
    /// Errors in the short window relative to what the budget allows.
    pub short: f64,
    /// Errors in the long window relative to what the budget allows.
    pub long: f64,
    /// The verdict.
    pub verdict: Verdict,
}

/// Rates each target: whole answers, first tokens, times between tokens and orders.
pub fn evaluate(totals: &burn::Totals, targets: &release::Targets) -> [Rating; 4] {
    [
        target(totals, targets.whole, |c| (c.requests, c.whole)),
        target(totals, ON_TIME, |c| (c.firsts, c.timely_firsts)),
        target(totals, ON_TIME, |c| (c.gaps, c.timely_gaps)),
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
        // A rounding error of the quotient must not save an exhausted budget.
        _ if left <= 1e-9 => Verdict::Exhausted,
        _ if both >= FAST_BURN_RATE => Verdict::FastBurn,
        _ if both > SLOW_BURN_RATE => Verdict::SlowBurn,
        _ => Verdict::Ok,
    };
    Rating { left, short, long, verdict }
}
