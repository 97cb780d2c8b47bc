//! What is asked of each model, and how many groups can answer it in time.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{cost, deployment, id};

/// Time over which requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Part of the objective that the predicted time of a first event may take: prompts are of very
/// different lengths, and requests come in clumps.
const OBJECTIVE_PART: f64 = 0.45;

/// Part of the slots of a group that may be in use.
const SLOTS_PART: f64 = 0.8;

/// Weight of the latest answer in the mean number of events.
const EVENTS_WEIGHT: f64 = 0.05;

/// Step between two numbers of groups that are compared.
const STEP: f64 = 0.25;

/// Most groups that are considered.
const MAX_GROUPS: f64 = 1_000.0;

/// What is asked of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second.
    pub rate: f64,
    /// Mean tokens of a prompt.
    pub prompt_tokens: f64,
    /// Mean events of an answer.
    pub answer_events: f64,
    /// Mean time within which a first event is on time.
    pub objective: time::Duration,
}

/// Counts the requests of one node by model.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    models: collections::BTreeMap<id::Model, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: collections::VecDeque<(moment::Moment, u64, time::Duration)>,
    events: Option<f64>,
}

impl Meter {
    /// Counts a request with a prompt of `prompt` tokens.
    pub fn record_request(
        &mut self,
        model: &id::Model,
        prompt: u64,
        objective: time::Duration,
        now: moment::Moment,
    ) {
        let requests = &mut self.models.entry(model.clone()).or_default().requests;
        while requests.front().is_some_and(|(at, _, _)| now.since(*at) >= WINDOW) {
            requests.pop_front();
        }
        requests.push_back((now, prompt, objective));
    }

    /// Counts a complete answer.
    pub fn record_answer(&mut self, model: &id::Model, events: u64) {
        let counts = self.models.entry(model.clone()).or_default();
        let events = events as f64;
        let mean = counts.events.unwrap_or(events);
        counts.events = Some(mean + (events - mean) * EVENTS_WEIGHT);
    }

    /// What is asked of a model, with the rate of this node.
    pub fn demand(&self, model: &str, engine: &deployment::Engine, now: moment::Moment) -> Demand {
        let usual = f64::from(engine.mean_answer) / f64::from(engine.pass_steps.max(1));
        let Some(counts) = self.models.get(model) else { return Demand::default() };
        let recent: Vec<_> =
            counts.requests.iter().filter(|(at, _, _)| now.since(*at) < WINDOW).collect();
        let number = recent.len() as f64;
        if recent.is_empty() {
            return Demand::default();
        }
        let objective: time::Duration = recent.iter().map(|(_, _, objective)| *objective).sum();
        Demand {
            rate: number / WINDOW.as_secs_f64(),
            prompt_tokens: recent.iter().map(|(_, prompt, _)| *prompt as f64).sum::<f64>() / number,
            answer_events: counts.events.unwrap_or(usual),
            objective: objective.div_f64(number),
        }
    }
}

/// The number of groups that answer a demand in time, in steps of a quarter.
///
/// In equilibrium a pass takes the time of its decoding steps and of the prompts that arrive during
/// it, and the requests that run are those that arrive while an answer is made.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{demand, deployment};
/// # let engine = deployment::Engine {
/// #     slots: 26, kv_capacity: 1_590_000, pass_steps: 7, step_time: Duration::from_micros(5_950),
/// #     sequence_time: Duration::from_nanos(44_500), context_time: Duration::from_nanos(8_130),
/// #     prefill_rate: 50_700.0, attention_time: Duration::from_micros(368), prefill_chunk: 2_048,
/// #     models: vec![], load_limits: Default::default(), staged_models: 1, cross_domain: 4.0,
/// #     open_time: Duration::from_millis(300), mean_prompt: 1_115, mean_answer: 178,
/// # };
/// let demand = demand::Demand {
///     rate: 60.0, prompt_tokens: 1_600.0, answer_events: 16.0,
///     objective: Duration::from_millis(330),
/// };
/// let needed = demand::required_groups(&engine, 1.0, &demand);
/// assert!((4.0..7.0).contains(&needed));
/// ```
pub fn required_groups(engine: &deployment::Engine, pace: f64, demand: &Demand) -> f64 {
    let mut groups = STEP;
    while demand.rate > 0.0 && groups < MAX_GROUPS && !is_in_time(engine, pace, demand, groups) {
        groups += STEP;
    }
    groups
}

fn is_in_time(engine: &deployment::Engine, pace: f64, demand: &Demand, groups: f64) -> bool {
    let rate = demand.rate / groups;
    let read = cost::prefill(engine, pace, demand.prompt_tokens as u64).as_secs_f64();
    let empty = cost::decode_pass(engine, pace, 0).as_secs_f64();
    let each = cost::decode_pass(engine, pace, 1).as_secs_f64() - empty;
    // Parts of a pass that reading and the running requests take.
    let left = 1.0 - rate * read - rate * demand.answer_events * each;
    if left <= 0.0 {
        return false;
    }
    let pass = empty / left;
    let running = rate * demand.answer_events * pass;
    let first = pass * 1.5 + read;
    first <= demand.objective.as_secs_f64() * OBJECTIVE_PART
        && running <= f64::from(engine.slots) * SLOTS_PART
}
