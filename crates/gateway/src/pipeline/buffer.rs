//! Answers in memory, within the memory budget of the node.

use corneltrestle_kernel::{host, linkme, memory, metric};

/// Largest answer that is buffered whole; a larger one is relayed as it arrives, and not retried.
const MAX_BYTES: usize = 256 * 1024;

/// Size up to which a part is copied. A part keeps the read buffer of its connection alive, which has
/// at least 8 KB.
const MAX_COPIED: usize = 4 * 1024;

/// Bytes that a larger part keeps alive beyond its own: the rest of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Largest part of a buffered answer that is given out at once, so that a connection whose client does
/// not read has few bytes in its write queue.
const MAX_PART: usize = 64 * 1024;

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static UNBUFFERED: metric::Metric = metric::Metric::counter(
    "answers_unbuffered_total",
    "Answers that were relayed as they arrived, and could not be retried, by what they exceeded: size or budget.",
);

/// The beginning of an answer, or all of it.
#[derive(Debug)]
pub(super) struct Buffer<'a> {
    host: &'a host::Host,
    parts: Parts,
    holding: Option<memory::Holding>,
}

#[derive(Debug)]
enum Parts {
    /// A part that is large enough to be kept without a copy.
    Single(bytes::Bytes),
    /// Parts that were copied, as each would keep a read buffer alive.
    Joined(Vec<u8>),
}

/// Bytes with the holding that accounts for them.
struct Owned {
    parts: Parts,
    _holding: Option<memory::Holding>,
}

impl AsRef<[u8]> for Parts {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Single(bytes) => bytes,
            Self::Joined(bytes) => bytes,
        }
    }
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        self.parts.as_ref()
    }
}

impl<'a> Buffer<'a> {
    pub(super) fn new(host: &'a host::Host) -> Self {
        Self { host, parts: Parts::Joined(Vec::new()), holding: None }
    }

    /// Adds a part of the answer; returns it if it does not fit.
    pub(super) fn push(&mut self, part: bytes::Bytes) -> Result<(), bytes::Bytes> {
        let (before, after) = (self.len(), self.len() + part.len());
        if after > MAX_BYTES {
            metrics::counter!(UNBUFFERED.name, "limit" => "size").increment(1);
            return Err(part);
        }
        if before == 0 && part.len() > MAX_COPIED {
            if !self.grow(part.len() + READ_BUFFER_BYTES) {
                return Err(part);
            }
            self.parts = Parts::Single(part);
            return Ok(());
        }
        let capacity = match &self.parts {
            Parts::Single(_) => 0,
            Parts::Joined(bytes) => bytes.capacity(),
        };
        if after > capacity {
            // Both buffers exist while the bytes move, and the capacity doubles.
            let next = after.max(2 * capacity).min(MAX_BYTES);
            if !self.grow(next) {
                return Err(part);
            }
            let mut bytes = Vec::with_capacity(next);
            bytes.extend_from_slice(self.parts.as_ref());
            let released = self.holding.as_ref().map_or(0, |holding| holding.bytes() - next);
            self.parts = Parts::Joined(bytes);
            if let Some(holding) = &self.holding {
                holding.shrink(released);
            }
        }
        if let Parts::Joined(bytes) = &mut self.parts {
            bytes.extend_from_slice(&part);
        }
        Ok(())
    }

    /// The bytes that were added. They count in the budget until the last reference to them is dropped.
    pub(super) fn into_bytes(self) -> bytes::Bytes {
        if self.len() == 0 {
            return bytes::Bytes::new();
        }
        bytes::Bytes::from_owner(Owned { parts: self.parts, _holding: self.holding })
    }

    /// Acquires further bytes from the budget; returns whether it has them.
    fn grow(&mut self, bytes: usize) -> bool {
        let now = self.host.now();
        let holding = self.holding.get_or_insert_with(|| {
            self.host.memory.hold(memory::Caller::NODE, memory::Kind::Answer, now)
        });
        let is_granted = holding.try_grow(bytes, now);
        if !is_granted {
            metrics::counter!(UNBUFFERED.name, "limit" => "budget").increment(1);
        }
        is_granted
    }

    fn len(&self) -> usize {
        self.parts.as_ref().len()
    }
}

/// Takes the next part of a buffered answer; `None` if nothing is left.
pub(super) fn take_part(bytes: &mut bytes::Bytes) -> Option<bytes::Bytes> {
    (!bytes.is_empty()).then(|| bytes.split_to(bytes.len().min(MAX_PART)))
}
