//! Answers in memory, within a budget that all requests of the node share.

use std::sync;

use corneltrestle_kernel::{linkme, metric};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest answer that is buffered whole; a larger one is relayed as it arrives, and not retried.
const MAX_BYTES: usize = 256 * 1024;

/// Bytes of all answers that are buffered at the same time. A faulty upstream may send as many large
/// answers as there are requests at the node.
const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static UNBUFFERED: metric::Metric = metric::Metric::counter(
    "answers_unbuffered_total",
    "Answers that were relayed as they arrived, and could not be retried, by what they exceeded: size or budget.",
);

/// The bytes that may still be buffered. Clones share them.
#[derive(Clone, Debug)]
pub(super) struct Budget(sync::Arc<Semaphore>);

/// The beginning of an answer, or all of it.
#[derive(Debug)]
pub(super) struct Buffer {
    budget: Budget,
    /// A single part is kept without a copy. Further ones are joined, as parts of a few bytes would
    /// take many times their size.
    parts: Parts,
    held: Option<OwnedSemaphorePermit>,
}

#[derive(Debug)]
enum Parts {
    Single(bytes::Bytes),
    Joined(bytes::BytesMut),
}

/// Bytes that count in the budget until they are dropped.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) bytes: bytes::Bytes,
    _held: Option<OwnedSemaphorePermit>,
}

impl Budget {
    pub(super) fn new() -> Self {
        Self(sync::Arc::new(Semaphore::new(MAX_TOTAL_BYTES)))
    }
}

impl Buffer {
    pub(super) fn new(budget: &Budget) -> Self {
        let parts = Parts::Single(bytes::Bytes::new());
        Self { budget: budget.clone(), parts, held: None }
    }

    /// Adds a part of the answer; returns it if it does not fit.
    pub(super) fn push(&mut self, part: bytes::Bytes) -> Result<(), bytes::Bytes> {
        if self.len() + part.len() > MAX_BYTES {
            metrics::counter!(UNBUFFERED.name, "limit" => "size").increment(1);
            return Err(part);
        }
        let size = u32::try_from(part.len()).unwrap_or(u32::MAX);
        let Ok(permit) = sync::Arc::clone(&self.budget.0).try_acquire_many_owned(size) else {
            metrics::counter!(UNBUFFERED.name, "limit" => "budget").increment(1);
            return Err(part);
        };
        match &mut self.held {
            Some(held) => held.merge(permit),
            None => self.held = Some(permit),
        }
        match &mut self.parts {
            Parts::Single(first) if first.is_empty() => *first = part,
            Parts::Single(first) => {
                let mut joined = bytes::BytesMut::from(&first[..]);
                joined.extend_from_slice(&part);
                self.parts = Parts::Joined(joined);
            }
            Parts::Joined(joined) => joined.extend_from_slice(&part),
        }
        Ok(())
    }

    /// The bytes that were added.
    pub(super) fn into_held(self) -> Held {
        let bytes = match self.parts {
            Parts::Single(bytes) => bytes,
            Parts::Joined(bytes) => bytes.freeze(),
        };
        Held { bytes, _held: self.held }
    }

    fn len(&self) -> usize {
        match &self.parts {
            Parts::Single(bytes) => bytes.len(),
            Parts::Joined(bytes) => bytes.len(),
        }
    }
}
