//! The state of a connection that its socket shares with its service, and what it holds in the
//! memory budget.

use std::sync::{
    OnceLock,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use corneltrestle_kernel::{disconnect, memory};
use corneltrestle_time::moment::Moment;
use tokio::net;
use tokio_util::sync::CancellationToken;

use crate::{output::Output, withheld::Withheld};

/// What a connection counts in the memory budget while it is open.
///
/// An idle connection takes more, see docs/OPERATIONS.md; the limit on the number of connections
/// bounds that. With 4 KB, 4,096 connections take half of the largest default budget, and 1,500 less
/// than that on the smallest VM, so that no connection is refused below the limits in number.
pub(crate) const CONNECTION_BYTES: usize = 4 * 1024;

/// What an HTTP/2 connection counts in addition: the window of unread bytes, and as much for a header.
const HTTP2_BYTES: usize = 2 * HTTP2_WINDOW as usize;

/// Bytes that an HTTP/2 client may send before they are read.
pub(crate) const HTTP2_WINDOW: u32 = 64 * 1024;

/// Part of a header that does not count: two reads, as hyper reads once before the end of the last
/// response, and once when it expects a header.
const FREE_HEADER_BYTES: usize = 16 * 1024;

/// Steps in which the rest of a header is acquired.
const HEADER_STEP: usize = 8 * 1024;

/// The state of a connection.
#[derive(Debug)]
pub(crate) struct Connection {
    holding: memory::Holding,
    /// Why the node closes the connection, if it does.
    pub(crate) disconnect: disconnect::Handle,
    /// What the socket takes of the responses.
    pub(crate) output: Output,
    /// What the client does not take of the responses of HTTP/2.
    pub(crate) withheld: Withheld,
    /// Cancelled by the first request of the connection, also by one that is refused.
    begun: CancellationToken,
    /// Requests that the service has received, modulo the size of the counter.
    requests: AtomicUsize,
    /// Requests whose service has not ended.
    in_service: AtomicUsize,
    /// Bodies of HTTP/1 responses that are not complete.
    bodies: AtomicUsize,
    /// Bytes read since the last service ended: those of the next header.
    header: AtomicUsize,
    /// Bytes acquired for the header.
    acquired: AtomicUsize,
    /// Whether a response may still have to be written.
    is_answering: AtomicBool,
    /// Whether the memory budget has closed the connection.
    is_refused: AtomicBool,
    /// Whether the response to a request that was not read completely states that it has not run.
    has_unread: AtomicBool,
    /// The socket, once it is to be closed only after the client has had time to read its response.
    lingering: OnceLock<net::TcpStream>,
    /// Whether the protocol is HTTP/2, whose headers count from the beginning.
    is_http2: AtomicBool,
    /// Whether the connection is to be shut down gracefully.
    is_closing: AtomicBool,
}

impl Connection {
    pub(crate) fn new(holding: memory::Holding) -> Self {
        Self {
            holding,
            disconnect: disconnect::Handle::default(),
            output: Output::default(),
            withheld: Withheld::new(),
            begun: CancellationToken::new(),
            requests: AtomicUsize::new(0),
            in_service: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
            header: AtomicUsize::new(0),
            acquired: AtomicUsize::new(0),
            is_answering: AtomicBool::new(false),
            is_refused: AtomicBool::new(false),
            has_unread: AtomicBool::new(false),
            lingering: OnceLock::new(),
            is_http2: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
        }
    }

    /// The client at the other end.
    pub(crate) fn caller(&self) -> memory::Caller {
        *self.holding.caller()
    }

    /// Whether the service has received a request.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun.is_cancelled()
    }

    /// Completes once the service has received a request.
    pub(crate) async fn begun(&self) {
        self.begun.cancelled().await;
    }

    /// Completes when the connection is closed in favour of a new one. Once it has carried a request
    /// it never is.
    pub(crate) async fn evicted(&self) {
        tokio::select! {
            biased;
            () = self.begun.cancelled() => std::future::pending().await,
            () = self.holding.evicted() => self.is_refused.store(true, Ordering::Relaxed),
        }
    }

    /// Records that the service has received a request.
    pub(crate) fn begin(&self, now: Moment) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.in_service.fetch_add(1, Ordering::Relaxed);
        if !self.begun.is_cancelled() {
            self.begun.cancel();
            self.holding.set_phase(memory::Phase::Served, now);
        }
    }

    /// Records that the service of a request has ended. The memory of its header is free, and the next
    /// header may arrive.
    pub(crate) fn end(&self) {
        self.is_answering.store(true, Ordering::Relaxed);
        if self.in_service.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.header.store(0, Ordering::Relaxed);
            let acquired = self.acquired.swap(0, Ordering::Relaxed);
            if acquired > 0 {
                self.holding.shrink(acquired);
            }
        }
    }

    /// Counts bytes that were read. Returns false if they belong to a header for which there is no
    /// memory. While a request is served, they belong to its body, which counts where it is
    /// collected.
    pub(crate) fn has_read(&self, bytes: usize, now: impl FnOnce() -> Moment) -> bool {
        if self.in_service.load(Ordering::Relaxed) > 0 || self.is_http2.load(Ordering::Relaxed) {
            return true;
        }
        let header = self.header.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let acquired = self.acquired.load(Ordering::Relaxed);
        if header <= FREE_HEADER_BYTES + acquired {
            return true;
        }
        let step = (header - FREE_HEADER_BYTES - acquired).next_multiple_of(HEADER_STEP);
        let is_granted = self.holding.try_grow(step, now());
        if is_granted {
            self.acquired.fetch_add(step, Ordering::Relaxed);
        } else {
            self.is_refused.store(true, Ordering::Relaxed);
            self.leave_unread();
        }
        is_granted
    }

    /// Acquires the memory of an HTTP/2 connection. Returns false if there is none.
    pub(crate) fn start_http2(&self, now: Moment) -> bool {
        self.is_http2.store(true, Ordering::Relaxed);
        let is_granted = self.holding.try_grow(HTTP2_BYTES, now);
        if !is_granted {
            self.is_refused.store(true, Ordering::Relaxed);
        }
        is_granted
    }

    /// Records that the body of a response has begun.
    pub(crate) fn begin_body(&self) {
        self.bodies.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the body of a response is complete or was dropped.
    pub(crate) fn end_body(&self) {
        self.is_answering.store(true, Ordering::Relaxed);
        self.bodies.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that all that was to be written has been.
    pub(crate) fn has_flushed(&self) {
        let is_pending = |count: &AtomicUsize| count.load(Ordering::Relaxed) > 0;
        if !is_pending(&self.in_service) && !is_pending(&self.bodies) {
            self.is_answering.store(false, Ordering::Relaxed);
        }
    }

    /// Number of requests that the service has received.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Whether all responses have been written, and nothing of a next request has been read since.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_service.load(Ordering::Relaxed) == 0
            && !self.is_answering.load(Ordering::Relaxed)
            && self.header.load(Ordering::Relaxed) == 0
    }

    /// Has the connection shut down gracefully.
    pub(crate) fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Whether the connection is to be shut down gracefully.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Whether the memory budget has closed the connection inside a header, while no request is in
    /// progress and no response is being written. A refusal can then be written, and is true.
    pub(crate) fn can_refuse(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed)
            && self.in_service.load(Ordering::Relaxed) == 0
            && !self.is_answering.load(Ordering::Relaxed)
    }

    /// Records that a request is refused whose client may still be sending it.
    pub(crate) fn leave_unread(&self) {
        self.has_unread.store(true, Ordering::Relaxed);
    }

    /// Whether the client may still be sending a request that was refused.
    pub(crate) fn has_unread(&self) -> bool {
        self.has_unread.load(Ordering::Relaxed)
    }

    /// Keeps the socket open after hyper has dropped it, for [`Connection::into_lingering`].
    pub(crate) fn linger(&self, socket: net::TcpStream) {
        let _ = self.lingering.set(socket);
    }

    /// The socket that is to be closed later, and the holding of its connection.
    pub(crate) fn into_lingering(self) -> Option<(net::TcpStream, memory::Holding)> {
        Some((self.lingering.into_inner()?, self.holding))
    }
}
