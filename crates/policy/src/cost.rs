//! Cost model of inference engines: time of decode passes and of prefill, and the predicted time to
//! the first event of a request.

use std::time;

use crate::deployment;

/// Outstanding work of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests that are running or queued.
    pub requests: u32,
    /// Prompt tokens whose prefill has not finished.
    pub unread: u64,
    /// Late requests among `requests`: those that were predicted to miss their objective when they
    /// were sent. They are queued behind all others.
    pub late: u32,
    /// Prompt tokens of late requests among `unread`.
    pub late_unread: u64,
}

impl Work {
    /// Adds other work.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.unread += other.unread;
        self.late += other.late;
        self.late_unread += other.late_unread;
    }

    /// Subtracts finished work; no count falls below 0.
    pub fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread = self.unread.saturating_sub(other.unread);
        self.late = self.late.saturating_sub(other.late);
        self.late_unread = self.late_unread.saturating_sub(other.late_unread);
    }
}

/// Time of a decode pass with `running` requests, without prefill.
///
/// Each request counts with the mean context: the mean prompt and half of the mean answer.
pub fn decode_pass(engine: &deployment::Engine, pace: f64, running: u32) -> time::Duration {
    let context = f64::from(engine.mean_prompt + engine.mean_answer / 2) / 1_000.0;
    let each = engine.sequence_time.as_secs_f64() + engine.context_time.as_secs_f64() * context;
    let step = engine.step_time.as_secs_f64() + each * f64::from(running);
    seconds(f64::from(engine.pass_steps) * step * pace)
}

/// Time of the prefill of `tokens` prompt tokens.
pub fn prefill(engine: &deployment::Engine, pace: f64, tokens: u64) -> time::Duration {
    if engine.prefill_rate <= 0.0 {
        return time::Duration::ZERO;
    }
    let tokens = tokens as f64;
    // Millions of token pairs in prompts of mean length; the number of prompts is not known.
    let pairs = tokens * f64::from(engine.mean_prompt) / 2.0 / 1e6;
    seconds((tokens / engine.prefill_rate + pairs * engine.attention_time.as_secs_f64()) * pace)
}

/// Predicted time from the arrival of a request with `prompt` tokens until its first event.
///
/// The sum of the rest of the current pass (half a pass on average), the prefill of the prompts
/// before it and of its own, and its first pass. If all slots are taken, it also waits until enough
/// other requests have finished. A late request waits behind all others, any other one only behind
/// those that are not late.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{cost, deployment};
/// # let engine = deployment::Engine {
/// #     slots: 26, kv_capacity: 1_590_000, pass_steps: 7,
/// #     step_time: std::time::Duration::from_micros(5_950),
/// #     sequence_time: std::time::Duration::from_nanos(44_500),
/// #     context_time: std::time::Duration::from_nanos(8_130),
/// #     prefill_rate: 50_700.0, attention_time: std::time::Duration::from_micros(368),
/// #     prefill_chunk: 2_048,
/// #     models: vec![], load_limits: Default::default(), staged_models: 1, cross_domain: 4.0,
/// #     open_time: std::time::Duration::from_millis(300), mean_prompt: 1_115, mean_answer: 178,
/// # };
/// let work = cost::Work { requests: 40, unread: 9_000, late: 14, late_unread: 8_000 };
/// let usual = cost::first_event(&engine, 1.0, &work, 1_000, false);
/// let late = cost::first_event(&engine, 1.0, &work, 1_000, true);
/// assert!(usual < late);
/// ```
pub fn first_event(
    engine: &deployment::Engine,
    pace: f64,
    work: &Work,
    prompt: u64,
    is_late: bool,
) -> time::Duration {
    let slots = engine.slots.max(1);
    let running = work.requests.min(slots);
    let pass = decode_pass(engine, pace, running);
    let current_pass = if work.requests == 0 { time::Duration::ZERO } else { pass / 2 };
    let skipped = if is_late { 0 } else { work.late_unread };
    let prefill_time = prefill(engine, pace, work.unread.saturating_sub(skipped) + prompt);
    let ahead = if is_late { ahead_of_late(work, slots) } else { ahead_of_timely(work, slots) };
    current_pass + prefill_time + pass + queueing(engine, pass, ahead)
}

/// Predicted time until a group with this work has a free slot.
pub fn slot_wait(engine: &deployment::Engine, pace: f64, work: &Work) -> time::Duration {
    let slots = engine.slots.max(1);
    let pass = decode_pass(engine, pace, work.requests.min(slots));
    queueing(engine, pass, ahead_of_late(work, slots))
}

/// Time in which `ahead` requests finish: a slot becomes free after the passes of a mean answer.
fn queueing(engine: &deployment::Engine, pass: time::Duration, ahead: u32) -> time::Duration {
    let events = (f64::from(engine.mean_answer) / f64::from(engine.pass_steps.max(1))).max(1.0);
    pass.mul_f64(events) * ahead / engine.slots.max(1)
}

/// Number of requests that must finish before a new late request starts.
fn ahead_of_late(work: &Work, slots: u32) -> u32 {
    work.requests.saturating_add(1).saturating_sub(slots)
}

/// Number of requests that must finish before a new request that is not late starts. The fraction
/// of late requests is taken to be the same among the running ones as among all.
fn ahead_of_timely(work: &Work, slots: u32) -> u32 {
    if work.requests < slots {
        return 0;
    }
    let late_waiting = work.late - work.late * slots / work.requests.max(1);
    ahead_of_late(work, slots).saturating_sub(late_waiting).max(1)
}

/// Longest predicted time. It stands for an engine that never gets there, for example one that reads
/// no token a second, and leaves room for the times that are added to it.
const MAX_TIME: time::Duration = time::Duration::from_secs(365 * 24 * 60 * 60);

fn seconds(seconds: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_TIME).min(MAX_TIME)
}
