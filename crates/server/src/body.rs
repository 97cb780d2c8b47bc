//! Reads the bodies of requests into memory, within limits of size and time and within the memory
//! budget of the node.

use std::{fmt, future, pin, pin::pin, task, time};

use bytes::Bytes;
use corneltrestle_kernel::{host, memory};
use corneltrestle_policy::refusal;
use hyper::body::Body;

/// Step of request handling that refusals name.
const STEP: &str = "receive";

/// Delay after which a client may send a body again that the budget has refused.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Capacity of the buffer of a body whose length is not announced.
const FIRST_CAPACITY: usize = 1024;

/// Received bytes that count as progress, so that a body which arrives byte by byte counts as
/// silent.
const PROGRESS_BYTES: usize = 1024;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Size of a body in bytes.
    pub max_bytes: usize,
    /// Time to receive a body.
    pub timeout: time::Duration,
}

/// Why a body was not received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body is larger than the limit.
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body did not arrive within the time limit.
    TimedOut {
        /// The time limit.
        limit: time::Duration,
    },
    /// The body is malformed, or the connection ended before its end.
    Incomplete {
        /// The error of the connection.
        message: String,
    },
    /// The memory budget refused the body, or evicted it.
    Refused(memory::Refused),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { limit } => write!(f, "the body is larger than {limit} bytes"),
            Self::TimedOut { limit } => {
                write!(f, "the body did not arrive within {} ms", limit.as_millis())
            }
            Self::Incomplete { message } => {
                write!(f, "the body did not arrive completely: {message}")
            }
            Self::Refused(refused) => write!(f, "the body was not read: {refused}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<memory::Refused> for Error {
    fn from(refused: memory::Refused) -> Self {
        Self::Refused(refused)
    }
}

impl From<Error> for refusal::Refusal {
    fn from(error: Error) -> Self {
        let code = match error {
            Error::TooLarge { .. } => refusal::Code::TooLarge,
            Error::TimedOut { .. } => refusal::Code::RequestTimeout,
            Error::Incomplete { .. } => refusal::Code::BadRequest,
            Error::Refused(_) => refusal::Code::Overloaded,
        };
        let refusal = Self::not_run(code, STEP, error.to_string());
        match error {
            Error::Refused(_) => refusal.retry_after(RETRY_AFTER),
            _ => refusal,
        }
    }
}

/// Whether a part of the body of the refused request may not have been read. The connection cannot
/// carry another request then, and the response has to announce its close.
pub fn is_unread_after(refusal: &refusal::Refusal) -> bool {
    let is_unread = matches!(
        refusal.code,
        refusal::Code::TooLarge | refusal::Code::RequestTimeout | refusal::Code::Overloaded
    );
    is_unread && refusal.step == STEP
}

/// Reads a complete body on behalf of `caller`.
///
/// Each part is copied into one buffer, whose capacity counts in the budget of the host and grows
/// with the bytes that arrive. The returned bytes count until their last reference is dropped; as
/// the request is being served from then on, they cannot be evicted.
///
/// # Errors
///
/// When the body is too large, does not arrive in time or completely, or the budget has no room for
/// it. What was read is released then.
pub async fn collect<B>(
    body: B,
    limits: &Limits,
    caller: memory::Caller,
    host: &host::Host,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes, Error: fmt::Display>,
{
    let announced = body.size_hint();
    if announced.lower() > limits.max_bytes as u64 {
        return Err(Error::TooLarge { limit: limits.max_bytes });
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let holding = host.memory.hold(caller, memory::Kind::Request, host.now());
    let lower = usize::try_from(announced.lower()).unwrap_or(usize::MAX);
    holding.announce(lower, host.now())?;
    // An announced length is the largest capacity that is needed, but is not allocated in advance.
    let most = announced.exact().map_or(limits.max_bytes.min(holding.most()), |_| lower);
    let mut received = Received { buffer: Vec::new(), since_progress: 0, holding };
    let body = pin!(body);
    let read = received.read(body, limits.max_bytes, most, host);
    match tokio::time::timeout(limits.timeout, read).await {
        Ok(read) => read?,
        Err(_) => return Err(Error::TimedOut { limit: limits.timeout }),
    }
    Ok(received.into_bytes(host))
}

/// The part of a body that has been received, and the holding in which its capacity counts.
struct Received {
    buffer: Vec<u8>,
    /// Bytes received since progress was last recorded.
    since_progress: usize,
    holding: memory::Holding,
}

impl Received {
    /// Reads the rest of a body of up to `limit` bytes. `most` is the largest useful capacity.
    async fn read<B>(
        &mut self,
        mut body: pin::Pin<&mut B>,
        limit: usize,
        most: usize,
        host: &host::Host,
    ) -> Result<(), Error>
    where
        B: Body<Data = Bytes, Error: fmt::Display>,
    {
        loop {
            let frame = future::poll_fn(|cx| match body.as_mut().poll_frame(cx) {
                task::Poll::Ready(frame) => task::Poll::Ready(Ok(frame)),
                task::Poll::Pending => self
                    .holding
                    .poll_evicted(cx)
                    .map(|()| Err(memory::Refused(memory::Cause::Evicted))),
            });
            let frame = match frame.await? {
                Some(Ok(frame)) => frame,
                Some(Err(e)) => return Err(Error::Incomplete { message: e.to_string() }),
                None => return Ok(()),
            };
            if let Ok(part) = frame.into_data() {
                self.push(&part, limit, most, host).await?;
            }
        }
    }

    /// Adds a part, after the budget has granted the capacity for it.
    async fn push(
        &mut self,
        part: &[u8],
        limit: usize,
        most: usize,
        host: &host::Host,
    ) -> Result<(), Error> {
        let needed = self.buffer.len() + part.len();
        if needed > limit {
            return Err(Error::TooLarge { limit });
        }
        let capacity = self.buffer.capacity();
        if needed > capacity {
            let next = (2 * capacity).max(FIRST_CAPACITY).min(most).max(needed);
            self.holding.grow(next - capacity, host.now()).await?;
            self.buffer.reserve_exact(next - self.buffer.len());
        }
        self.buffer.extend_from_slice(part);
        self.since_progress += part.len();
        if self.since_progress >= PROGRESS_BYTES {
            self.since_progress = 0;
            self.holding.progressed(host.now());
        }
        Ok(())
    }

    /// The complete body, whose request is served from now on.
    fn into_bytes(mut self, host: &host::Host) -> Bytes {
        let unused = self.buffer.capacity() - self.buffer.len();
        if unused > self.buffer.len() / 4 {
            self.buffer.shrink_to_fit();
            self.holding.shrink(unused);
        }
        self.holding.set_phase(memory::Phase::Served, host.now());
        Bytes::from_owner(Owner { buffer: self.buffer, _holding: self.holding })
    }
}

/// A buffer that counts in the budget until it is dropped.
struct Owner {
    buffer: Vec<u8>,
    _holding: memory::Holding,
}

impl AsRef<[u8]> for Owner {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
