//! Stall detection: how long a group may send no event on any stream before it counts as stalled.

use std::time;

use crate::{cost, deployment};

/// Factor on the predicted time of a pass, since other nodes may have sent work that this node does
/// not know of yet.
const SLACK: f64 = 1.6;

/// Allowance for the delivery of an event, including scheduling delays on a small VM.
const DELIVERY_ALLOWANCE: time::Duration = time::Duration::from_millis(30);

/// Time without an event after which a group with this outstanding work counts as stalled.
///
/// Every running request gets an event in each pass. The longest time without events is therefore
/// one pass with the prefill that it includes.
pub fn limit(engine: &deployment::Engine, pace: f64, work: &cost::Work) -> time::Duration {
    let running = work.requests.min(engine.slots.max(1));
    let pass = cost::decode_pass(engine, pace, running) + cost::prefill(engine, pace, work.unread);
    pass.mul_f64(SLACK) + DELIVERY_ALLOWANCE
}
