//! How long the streams of a group may be silent before the group counts as standing still.

use std::time;

use crate::{cost, deployment};

/// Factor on the predicted time of a pass: other nodes may have sent work that is not known yet.
const SLACK: f64 = 1.6;

/// Time for the delivery of an event, scheduling on a small VM included.
const DELIVERY: time::Duration = time::Duration::from_millis(30);

/// Longest silence of a group that works on `work`.
///
/// In each pass every running request gets an event, so that the streams of a group are silent for
/// no longer than one pass and the prompts that are read in it.
pub fn limit(engine: &deployment::Engine, pace: f64, work: &cost::Work) -> time::Duration {
    let running = work.requests.min(engine.slots.max(1));
    let pass = cost::decode_pass(engine, pace, running) + cost::prefill(engine, pace, work.unread);
    pass.mul_f64(SLACK) + DELIVERY
}
