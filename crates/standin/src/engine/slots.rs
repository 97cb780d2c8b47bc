//! Decoding slots, the queue for them and the warm-up limit.
//!
//! A newly started engine takes only a few requests without overload. The limit doubles each time
//! that as many requests have finished; above it the engine slows down.

use std::{cmp, collections, sync};

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::Engine;

/// Factor by which an engine slows down while it has more requests than its warm-up limit.
const OVERLOAD_SLOWDOWN: f64 = 10.0;

/// The running and waiting requests of an engine.
#[derive(Debug)]
pub(super) struct Slots {
    running: u32,
    /// Waiting requests in the order in which they get a slot.
    waiting: collections::BTreeMap<QueueKey, oneshot::Sender<()>>,
    /// Number and cancellation of each request in progress, by request id.
    requests: collections::HashMap<String, (u64, CancellationToken)>,
    next_number: u64,
    finished: u64,
    cancelled: u64,
    overloads: u64,
    /// Requests in progress that the engine takes without overload.
    warm_limit: u64,
    /// Requests finished since `warm_limit` last changed.
    warm_finished: u64,
    /// Number of times that `warm_limit` was reset.
    limit_resets: u64,
}

/// Higher priority first, then first come, first served.
type QueueKey = (cmp::Reverse<u8>, u64);

/// A queued request, later one with a slot. Dropping it passes the slot to the next request.
#[derive(Debug)]
pub(super) struct Slot {
    engine: sync::Arc<Engine>,
    id: String,
    queue_key: QueueKey,
    /// `Slots::limit_resets` when the request was queued.
    limit_resets: u64,
    finished: bool,
    /// Cancelled by `DELETE /v1/requests/ID`.
    pub(super) cancel: CancellationToken,
}

impl Slots {
    pub(super) fn new(cold_limit: u64) -> Self {
        Self {
            running: 0,
            waiting: collections::BTreeMap::new(),
            requests: collections::HashMap::new(),
            next_number: 0,
            finished: 0,
            cancelled: 0,
            overloads: 0,
            warm_limit: cold_limit,
            warm_finished: 0,
            limit_resets: 0,
        }
    }

    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn finished(&self) -> u64 {
        self.finished
    }

    pub(super) fn cancelled(&self) -> u64 {
        self.cancelled
    }

    pub(super) fn overloads(&self) -> u64 {
        self.overloads
    }

    /// Resets the figures that a restart of the engine loses; the number of overloads stays.
    pub(super) fn restart(&mut self, cold_limit: u64) {
        self.finished = 0;
        self.reset_limit(cold_limit);
    }

    /// Resets the warm-up limit. Requests that were queued before do not count towards raising it.
    pub(super) fn reset_limit(&mut self, cold_limit: u64) {
        self.limit_resets += 1;
        self.warm_limit = cold_limit;
        self.warm_finished = 0;
    }

    /// Cancels a request; returns whether it was in progress.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let Some((_, cancel)) = self.requests.get(id) else { return false };
        cancel.cancel();
        true
    }

    /// Factor by which prefill and decoding are slower than without other load.
    pub(super) fn slowdown(&self, slots: u32) -> f64 {
        let load = 1.0 + f64::from(self.running.saturating_sub(1)) / f64::from(slots.max(1));
        if self.in_progress() > self.warm_limit { load * OVERLOAD_SLOWDOWN } else { load }
    }

    fn in_progress(&self) -> u64 {
        u64::from(self.running) + u64::from(self.waiting())
    }

    /// Counts a finished request; doubles the limit once as many as the limit have finished.
    fn finish(&mut self) {
        self.finished += 1;
        self.warm_finished += 1;
        if self.warm_finished >= self.warm_limit {
            self.warm_limit = self.warm_limit.saturating_mul(2);
            self.warm_finished = 0;
        }
    }

    fn release(&mut self, slot: &Slot) {
        if self.requests.get(&slot.id).is_some_and(|(number, _)| *number == slot.queue_key.1) {
            self.requests.remove(&slot.id);
        }
        match (slot.finished, slot.limit_resets == self.limit_resets) {
            (true, true) => self.finish(),
            (true, false) => {}
            (false, _) => self.cancelled += 1,
        }
        if self.waiting.remove(&slot.queue_key).is_some() {
            return;
        }
        self.running -= 1;
        if let Some((_, granted)) = self.waiting.pop_first() {
            self.running += 1;
            // If the receiver is gone, dropping its `Slot` releases the slot.
            let _ = granted.send(());
        }
    }
}

/// Why a request is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Declined {
    /// The queue is full.
    Full,
    /// The request names another start of the engine.
    Restarted,
}

impl Slot {
    /// Queues a request for the engine's start `start`, or for any if it is `None`. The receiver
    /// resolves once the request has a slot.
    pub(super) fn enqueue(
        engine: &sync::Arc<Engine>,
        id: &str,
        priority: u8,
        start: Option<u64>,
    ) -> Result<(Self, oneshot::Receiver<()>), Declined> {
        let (granted, ready) = oneshot::channel();
        let cancel = CancellationToken::new();
        let mut state = engine.state.lock();
        if start.is_some_and(|start| start != state.start) {
            return Err(Declined::Restarted);
        }
        let slots = &mut state.slots;
        let queue_key = (cmp::Reverse(priority), slots.next_number);
        if slots.running < engine.config.slots {
            slots.running += 1;
            let _ = granted.send(());
        } else if slots.waiting() < engine.config.queue {
            slots.waiting.insert(queue_key, granted);
        } else {
            return Err(Declined::Full);
        }
        slots.next_number += 1;
        slots.requests.insert(id.to_owned(), (queue_key.1, cancel.clone()));
        if slots.in_progress() > slots.warm_limit {
            slots.overloads += 1;
            log::info!(
                "standin: {} has {} requests in progress with {id}, above its limit of {}",
                engine.config.vm,
                slots.in_progress(),
                slots.warm_limit
            );
        }
        let (engine, id, limit_resets) =
            (sync::Arc::clone(engine), id.to_owned(), slots.limit_resets);
        Ok((Self { engine, id, queue_key, limit_resets, finished: false, cancel }, ready))
    }

    /// Releases the slot and counts the request as finished rather than cancelled.
    pub(super) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let engine = sync::Arc::clone(&self.engine);
        engine.state.lock().slots.release(self);
    }
}
