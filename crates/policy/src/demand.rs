//! Measured demand for each model, and the number of groups that serve it within the latency
//! objective.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{cost, deployment, id};

/// Sliding window over which requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Fraction of the objective that the predicted time to a first event may take. The rest is
/// headroom for long prompts and bursts of requests.
const OBJECTIVE_FRACTION: f64 = 0.45;

/// Fraction of the slots of a group that may be in use.
const SLOTS_FRACTION: f64 = 0.8;

/// Weight of the latest answer in the moving average of events per answer.
const EVENTS_WEIGHT: f64 = 0.05;

/// Number of requests that an assumed division between models counts as. A node of a large deployment
/// gets only a few requests in the window, from which alone the fractions would vary widely.
const ASSUMED_REQUESTS: f64 = 8.0;

/// Increment of the number of groups in the search for the smallest sufficient one.
const GROUPS_STEP: f64 = 0.25;

/// Upper bound of that search.
const MAX_GROUPS: f64 = 1_000.0;

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second.
    pub rate: f64,
    /// Mean number of tokens of a prompt.
    pub prompt_tokens: f64,
    /// Mean number of events of an answer.
    pub answer_events: f64,
    /// Mean latency objective for the first event.
    pub objective: time::Duration,
}

/// Measures the demand that arrives at one node, by model.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    models: collections::BTreeMap<id::Model, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: collections::VecDeque<(moment::Moment, u64, time::Duration)>,
    events: Option<f64>,
}

impl Counts {
    /// The requests in the window.
    fn recent(
        &self,
        now: moment::Moment,
    ) -> impl Iterator<Item = &(moment::Moment, u64, time::Duration)> {
        self.requests.iter().filter(move |(at, _, _)| now.since(*at) < WINDOW)
    }
}

impl Meter {
    /// Records a request with a prompt of `prompt` tokens and its latency objective.
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

    /// Records the number of events of a complete answer.
    pub fn record_answer(&mut self, model: &id::Model, events: u64) {
        let counts = self.models.entry(model.clone()).or_default();
        let events = events as f64;
        let mean = counts.events.unwrap_or(events);
        counts.events = Some(mean + (events - mean) * EVENTS_WEIGHT);
    }

    /// Fraction of the requests at this node that are for a model, as measured in the window. `assumed`
    /// is the fraction that is assumed without any request; the more requests, the less it counts.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use corneltrestle_policy::{Moment, demand};
    ///
    /// let (mut meter, now) = (demand::Meter::default(), Moment::from_millis(1_000));
    /// assert_eq!(meter.fraction("large", 0.5, now), 0.5);
    /// for _ in 0..100 {
    ///     meter.record_request(&"small".into(), 1_000, Duration::from_millis(300), now);
    /// }
    /// assert!(meter.fraction("large", 0.5, now) < 0.05);
    /// ```
    pub fn fraction(&self, model: &str, assumed: f64, now: moment::Moment) -> f64 {
        let number = |counts: &Counts| counts.recent(now).count() as f64;
        let own = self.models.get(model).map_or(0.0, number);
        let all: f64 = self.models.values().map(number).sum();
        (own + assumed * ASSUMED_REQUESTS) / (all + ASSUMED_REQUESTS)
    }

    /// Relative standard error of the rate of a model; 1 without any request in the window.
    pub fn uncertainty(&self, model: &str, now: moment::Moment) -> f64 {
        let number = self.models.get(model).map_or(0, |counts| counts.recent(now).count());
        (number.max(1) as f64).sqrt().recip()
    }

    /// Demand for a model at this node in the window; zero if there was no request. Until the first
    /// answer is complete, the number of events follows from the engine's published mean answer.
    pub fn demand(&self, model: &str, engine: &deployment::Engine, now: moment::Moment) -> Demand {
        let usual = f64::from(engine.mean_answer) / f64::from(engine.pass_steps.max(1));
        let Some(counts) = self.models.get(model) else { return Demand::default() };
        let recent: Vec<_> = counts.recent(now).collect();
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

/// Smallest number of groups that serves the demand within its objective, in steps of 0.25 and at
/// most 1,000.
///
/// In equilibrium, a pass takes the time of its decoding steps and of the prefill of the prompts
/// that arrive during it, and the number of running requests is the arrival rate times the duration
/// of an answer (Little's law).
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
    let mut groups = GROUPS_STEP;
    while demand.rate > 0.0 && groups < MAX_GROUPS && !is_sufficient(engine, pace, demand, groups) {
        groups += GROUPS_STEP;
    }
    groups
}

fn is_sufficient(engine: &deployment::Engine, pace: f64, demand: &Demand, groups: f64) -> bool {
    let rate = demand.rate / groups;
    let read = cost::prefill(engine, pace, demand.prompt_tokens as u64).as_secs_f64();
    let empty = cost::decode_pass(engine, pace, 0).as_secs_f64();
    let each = cost::decode_pass(engine, pace, 1).as_secs_f64() - empty;
    // Fraction of a pass that prefill and the running requests leave.
    let left = 1.0 - rate * read - rate * demand.answer_events * each;
    if left <= 0.0 {
        return false;
    }
    let pass = empty / left;
    let running = rate * demand.answer_events * pass;
    let first = pass * 1.5 + read;
    first <= demand.objective.as_secs_f64() * OBJECTIVE_FRACTION
        && running <= f64::from(engine.slots) * SLOTS_FRACTION
}
