//! Sustainable rate of a model: the largest rate of requests at which the first event and the pauses
//! between events stay within their objectives.

use std::time;

use crate::{cost, demand, deployment};

/// Fraction of the slots of a group that are in use at the sustainable rate. The rest covers the
/// difference between groups, as nodes balance by a picture that is up to 400 ms old: at 0.9 more than
/// a quarter of the admitted requests were late, as some groups had no free slot.
const SLOTS_FRACTION: f64 = 0.82;

/// Fraction of the objective that the mean time to a first event may take at the sustainable rate. The
/// rest covers the difference between groups and a wait at the node: above 1 / 1.6, the margin of the gate
/// exceeds the objective. At 0.6, engines that read prompts between the steps of running requests had
/// 323 requests a second in time in a burst, at 0.55 355, at 0.5 370; 0.5 holds the usual load back.
const OBJECTIVE_FRACTION: f64 = 0.55;

/// Fraction of the longest pause that a mean pass may take at the sustainable rate.
const PAUSE_FRACTION: f64 = 0.6;

/// Steps of the search for the largest rate of a group; each halves the interval.
const SEARCH_STEPS: u32 = 40;

/// Largest rate of a group that is considered, in requests per second.
const MAX_RATE: f64 = 1e5;

/// What the groups of a model sustain together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Requests of mean size per second.
    pub rate: f64,
    /// Requests in progress, running or queued, at that rate.
    pub requests: f64,
    /// Prompt tokens of requests without a first event, at that rate.
    pub unread: f64,
    /// Mean time from the arrival at a group to the first event, at that rate.
    pub first_event: time::Duration,
    /// Fraction of the cost of a request that is in proportion to its prompt, from 0 to 1. The rest
    /// is the same for each request.
    pub prompt_weight: f64,
    /// Mean number of tokens of a prompt.
    pub prompt_tokens: f64,
}

impl Capacity {
    /// Cost of a request with a prompt of `prompt` tokens, in requests of mean size; positive.
    pub fn cost(&self, prompt: u64) -> f64 {
        let relative = prompt as f64 / self.prompt_tokens;
        let relative = if relative.is_finite() { relative } else { 1.0 };
        // A prompt of unknown size (0 tokens) counts as one of mean size.
        let relative = if prompt == 0 { 1.0 } else { relative };
        1.0 - self.prompt_weight + self.prompt_weight * relative
    }
}

/// Times that limit the rate besides the objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Longest pause between two events.
    pub max_gap: Option<time::Duration>,
    /// Time by which first events come later than the cost model predicts, at any load.
    pub overhead: time::Duration,
}

/// What one group sustains.
#[derive(Clone, Copy, Debug)]
struct Load {
    pass: f64,
    running: f64,
    first: f64,
}

/// Capacity of the groups with the given paces for requests as in `demand`. The rate of `demand` has no
/// influence.
///
/// A pace that is not a positive finite number counts for no group. An objective that a group misses
/// even without load is ignored, since it says nothing about the load. Values of `demand` that are
/// not positive and finite are replaced by those that the engine publishes.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{capacity, demand, deployment};
/// # let engine = deployment::Engine {
/// #     slots: 34, kv_capacity: 1_590_000, pass_steps: 7, step_time: Duration::from_micros(5_950),
/// #     sequence_time: Duration::from_nanos(44_500), context_time: Duration::from_nanos(8_130),
/// #     prefill_rate: 50_700.0, attention_time: Duration::from_micros(368), prefill_chunk: 2_048,
/// #     models: vec![], load_limits: Default::default(), staged_models: 1, cross_domain: 4.0,
/// #     open_time: Duration::from_millis(300), mean_prompt: 714, mean_answer: 161,
/// # };
/// let demand = demand::Demand {
///     rate: 300.0, prompt_tokens: 714.0, answer_events: 23.0,
///     objective: Duration::from_millis(250),
/// };
/// let timing = capacity::Timing::default();
/// let of = |groups| capacity::of(&engine, vec![1.0; groups], &demand, &timing);
/// assert!((of(20).rate - 2.0 * of(10).rate).abs() < 1e-6);
/// assert_eq!(of(0), capacity::Capacity::default());
/// ```
pub fn of(
    engine: &deployment::Engine,
    paces: impl IntoIterator<Item = f64>,
    demand: &demand::Demand,
    timing: &Timing,
) -> Capacity {
    let overhead = timing.overhead.as_secs_f64();
    let demand = sound(engine, demand, timing);
    let mut known: Vec<(f64, f64, Load)> = Vec::new();
    let mut total = Capacity::default();
    let (mut first, mut weight) = (0.0, 0.0);
    for pace in paces.into_iter().filter(|pace| pace.is_finite() && *pace > 0.0) {
        // Groups of one model usually have the same pace.
        let found = known.iter().find(|(of, ..)| *of == pace).copied();
        let (_, rate, load) = found.unwrap_or_else(|| {
            let (rate, load) = sustained(engine, pace, &demand, timing.max_gap);
            known.push((pace, rate, load));
            (pace, rate, load)
        });
        let target = demand.objective.as_secs_f64() * OBJECTIVE_FRACTION;
        total.rate += rate;
        total.requests += load.running + rate * (load.first + overhead);
        let reading = target.max(load.first) + overhead;
        total.unread += rate * demand.prompt_tokens * reading;
        first += rate * load.first;
        weight += rate * read_fraction(engine, pace, &demand, rate, &load);
    }
    if total.rate <= 0.0 {
        return Capacity::default();
    }
    total.first_event =
        time::Duration::try_from_secs_f64(first / total.rate).unwrap_or(time::Duration::MAX);
    total.prompt_weight = (weight / total.rate).clamp(0.0, 1.0);
    total.prompt_tokens = demand.prompt_tokens;
    total
}

/// The demand with usual values in place of absurd ones, and the objective without the overhead.
fn sound(engine: &deployment::Engine, demand: &demand::Demand, timing: &Timing) -> demand::Demand {
    let or = |value: f64, usual: f64| {
        if value.is_finite() && value > 0.0 { value } else { usual.max(1.0) }
    };
    let events = f64::from(engine.mean_answer) / f64::from(engine.pass_steps.max(1));
    demand::Demand {
        rate: 0.0,
        prompt_tokens: or(demand.prompt_tokens, f64::from(engine.mean_prompt)),
        answer_events: or(demand.answer_events, events),
        objective: demand.objective.saturating_sub(timing.overhead),
    }
}

/// Largest rate of one group within all limits, and its load then.
fn sustained(
    engine: &deployment::Engine,
    pace: f64,
    demand: &demand::Demand,
    max_gap: Option<time::Duration>,
) -> (f64, Load) {
    let Some(idle) = load(engine, pace, demand, 0.0) else {
        return (0.0, Load { pass: 0.0, running: 0.0, first: 0.0 });
    };
    let objective = demand.objective.as_secs_f64() * OBJECTIVE_FRACTION;
    let pause = max_gap.map_or(f64::INFINITY, |gap| gap.as_secs_f64() * PAUSE_FRACTION);
    let slots = f64::from(engine.slots.max(1)) * SLOTS_FRACTION;
    let is_sustained = |load: &Load| {
        load.running <= slots
            && (load.first <= objective || idle.first > objective)
            && (load.pass <= pause || idle.pass > pause)
    };
    let (mut low, mut high, mut best) = (0.0, MAX_RATE, idle);
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        match load(engine, pace, demand, middle).filter(is_sustained) {
            Some(load) => (low, best) = (middle, load),
            None => high = middle,
        }
    }
    (low, best)
}

/// Load of a group at a rate, in equilibrium as in [`demand::required_groups`]; `None` if there is no
/// equilibrium.
fn load(
    engine: &deployment::Engine,
    pace: f64,
    demand: &demand::Demand,
    rate: f64,
) -> Option<Load> {
    let read = cost::prefill(engine, pace, demand.prompt_tokens as u64).as_secs_f64();
    let empty = cost::decode_pass(engine, pace, 0).as_secs_f64();
    let each = cost::decode_pass(engine, pace, 1).as_secs_f64() - empty;
    let left = 1.0 - rate * read - rate * demand.answer_events * each;
    let pass = empty / left;
    let load = Load { pass, running: rate * demand.answer_events * pass, first: pass * 1.5 + read };
    (left > 0.0 && load.first.is_finite() && load.running.is_finite()).then_some(load)
}

/// Fraction of the cost of a request that is in proportion to its prompt: the time to read it, in
/// relation to the time of a group that a request takes at the sustainable rate.
fn read_fraction(
    engine: &deployment::Engine,
    pace: f64,
    demand: &demand::Demand,
    rate: f64,
    load: &Load,
) -> f64 {
    let read = cost::prefill(engine, pace, demand.prompt_tokens as u64).as_secs_f64();
    if load.pass > 0.0 { (rate * read).clamp(0.0, 1.0) } else { 0.0 }
}
