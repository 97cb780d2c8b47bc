//! One connection to a peer, polled by the future that uses it.

use std::{
    future, io, net,
    pin::{Pin, pin},
    sync, task, time,
};

use corneltrestle_policy::keepalive;
use corneltrestle_time::moment;
use hyper::{
    body::{self, Body},
    client::conn::http1,
};
use hyper_util::rt;
use tokio::net::{TcpSocket, TcpStream};

use crate::{
    error::{self, Result},
    limited, pool,
};

/// Bytes that a peer may send without completing a response header or a part of a body, in multiples
/// of the largest header. hyper bounds a header, but neither the number of interim ones nor that of
/// leading zeros in the size of a chunk, and reads them without leaving the worker to others.
const UNUSED_FACTOR: usize = 2;

/// Size up to which the system takes a body at once, also for a peer that reads nothing.
const SYSTEM_BUFFER_BYTES: u64 = 16 * 1024;

type Driver = http1::Connection<rt::TokioIo<limited::Stream>, http_body_util::Full<bytes::Bytes>>;

/// An open connection. No background task holds it, so that dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<http_body_util::Full<bytes::Bytes>>,
    /// Reads and writes the socket; `None` once the connection has ended.
    driver: Option<Driver>,
    allowance: limited::Allowance,
    /// The allowance for the next part of a response, in bytes.
    max_unused: usize,
    /// The last response's body, if its end is still to be read; see
    /// [`Body::finish`](crate::body::Body::finish).
    pending_body: Option<body::Incoming>,
    history: keepalive::Connection,
    /// Whether it has carried a call before the present one.
    is_reused: bool,
    /// The body of the last request, as long as hyper keeps it.
    sent_body: sync::Weak<bytes::Bytes>,
    /// When the connection was last returned to the pool.
    idle_since: moment::Moment,
}

/// A body whose last reference tells that hyper no longer needs it.
struct Tracked(sync::Arc<bytes::Bytes>);

impl AsRef<[u8]> for Tracked {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// A request that got no response.
pub(crate) struct SendError {
    /// Why, and what is known about the effect.
    pub(crate) error: error::Error,
    /// The request, if no byte of it was sent; it may then be sent on another connection.
    pub(crate) unsent: Option<hyper::Request<http_body_util::Full<bytes::Bytes>>>,
}

impl Connection {
    /// Connects to `peer`; every error is [`error::Kind::NotSent`].
    pub(crate) async fn open(
        peer: net::SocketAddr,
        config: &pool::Config,
        deadline: tokio::time::Instant,
        history: keepalive::Connection,
    ) -> Result<Self> {
        let not_sent = |cause: String| error::Error::new(error::Kind::NotSent, cause);
        let stream = tokio::time::timeout_at(deadline, connect(peer, config.receive_buffer))
            .await
            .map_err(|_| not_sent("no connection in time".to_owned()))?
            .map_err(|e| not_sent(format!("cannot connect: {e}")))?;
        stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        let max_header = config.max_header;
        let max_unused = UNUSED_FACTOR * max_header;
        let allowance = limited::Allowance::new(max_unused);
        let stream = limited::Stream { stream, allowance: allowance.clone() };
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(max_header)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        Ok(Self {
            sender,
            driver: Some(driver),
            allowance,
            max_unused,
            pending_body: None,
            history,
            is_reused: false,
            sent_body: sync::Weak::new(),
            idle_since: moment::Moment::ZERO,
        })
    }

    /// Whether the connection is older than [`Config::max_age`](crate::pool::Config::max_age).
    pub(crate) fn is_expired(&self, now: moment::Moment) -> bool {
        self.history.check(now) != keepalive::Action::Keep
    }

    /// Sets the body whose end must be read before the connection can be used again.
    pub(crate) fn with_pending_body(mut self, body: Option<body::Incoming>) -> Self {
        self.pending_body = body;
        self
    }

    /// Records the end of a call, with which the idle time begins that [`Connection::is_usable`]
    /// checks.
    pub(crate) fn mark_idle(&mut self, now: moment::Moment) {
        self.is_reused = true;
        self.idle_since = now;
    }

    /// Whether the connection has not expired and has been idle for at most `idle_timeout`.
    pub(crate) fn is_fresh(&self, now: moment::Moment, idle_timeout: time::Duration) -> bool {
        now.since(self.idle_since) <= idle_timeout && !self.is_expired(now)
    }

    /// Whether the connection can carry another call: it is fresh, see [`Connection::is_fresh`], the
    /// last body has ended, and the peer has not closed it.
    pub(crate) fn is_usable(&mut self, now: moment::Moment, idle_timeout: time::Duration) -> bool {
        if !self.is_fresh(now, idle_timeout) {
            return false;
        }
        let cx = &mut task::Context::from_waker(task::Waker::noop());
        self.drive(cx);
        if let Some(body) = &mut self.pending_body {
            if !matches!(Pin::new(body).poll_frame(cx), task::Poll::Ready(None)) {
                return false;
            }
            self.pending_body = None;
            self.drive(cx);
        }
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Sends a request and waits for the header of the response.
    pub(crate) async fn send(
        &mut self,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> std::result::Result<hyper::Response<body::Incoming>, SendError> {
        self.allowance.set(self.max_unused);
        let request = request.map(|body| self.track(body));
        let mut response = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let received = future::poll_fn(|cx| {
            drive(driver, cx);
            response.as_mut().poll(cx)
        });
        let received = received.await;
        let is_unanswered = self.allowance.left() == self.max_unused;
        self.allowance.set(self.max_unused);
        received.map_err(|mut failed| match failed.take_message() {
            Some(request) => SendError {
                error: error::Error::new(error::Kind::NotSent, failed.error().to_string()),
                unsent: Some(request),
            },
            None => {
                let error = error::Error::after_send(failed.error());
                let is_stale = self.is_reused && is_unanswered;
                SendError { error: if is_stale { error.on_stale() } else { error }, unsent: None }
            }
        })
    }

    /// Whether the body of the last request has been written, so that nothing keeps its memory. A peer
    /// may answer before it has read the body.
    pub(crate) fn has_written_body(&mut self) -> bool {
        if self.sent_body.strong_count() > 0 {
            self.drive(&mut task::Context::from_waker(task::Waker::noop()));
        }
        self.sent_body.strong_count() == 0
    }

    /// Notes a body that may not fit into the buffers of the system, to know when hyper drops it.
    fn track(
        &mut self,
        mut body: http_body_util::Full<bytes::Bytes>,
    ) -> http_body_util::Full<bytes::Bytes> {
        self.sent_body = sync::Weak::new();
        if body.size_hint().lower() <= SYSTEM_BUFFER_BYTES {
            return body;
        }
        let cx = &mut task::Context::from_waker(task::Waker::noop());
        let task::Poll::Ready(Some(Ok(frame))) = Pin::new(&mut body).poll_frame(cx) else {
            return body;
        };
        let bytes = sync::Arc::new(frame.into_data().unwrap_or_default());
        self.sent_body = sync::Arc::downgrade(&bytes);
        http_body_util::Full::new(bytes::Bytes::from_owner(Tracked(bytes)))
    }

    /// Polls the next frame of the body that this connection carries.
    pub(crate) fn poll_frame(
        &mut self,
        body: &mut body::Incoming,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<hyper::Result<body::Frame<bytes::Bytes>>>> {
        // A frame that is already buffered needs no socket I/O.
        if let task::Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
            return task::Poll::Ready(frame);
        }
        self.drive(cx);
        let frame = Pin::new(body).poll_frame(cx);
        if frame.is_ready() {
            self.allowance.set(self.max_unused);
        }
        frame
    }

    fn drive(&mut self, cx: &mut task::Context<'_>) {
        drive(&mut self.driver, cx);
    }
}

async fn connect(peer: net::SocketAddr, receive_buffer: u32) -> io::Result<TcpStream> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Before the connection is made, as the size decides on the scale of the window.
    socket.set_recv_buffer_size(receive_buffer)?;
    socket.connect(peer).await
}

/// Polls the connection's socket I/O. Its result is ignored, because errors also reach the future
/// of the response or the reader of the body.
fn drive(driver: &mut Option<Driver>, cx: &mut task::Context<'_>) {
    if let Some(running) = driver
        && Pin::new(running).poll(cx).is_ready()
    {
        *driver = None;
    }
}
