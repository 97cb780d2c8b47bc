//! One connection to a peer, driven by the future that uses it.

use std::{
    future, net,
    pin::{Pin, pin},
    task, time,
};

use corneltrestle_policy::keepalive;
use corneltrestle_time::moment;
use hyper::{
    body::{self, Body},
    client::conn::http1,
};
use hyper_util::rt;
use tokio::net::TcpStream;

use crate::error::{self, Result};

/// Bounds the memory that one connection uses for heads and reads.
const BUFFER_BYTES: usize = 64 * 1024;

type Driver = http1::Connection<rt::TokioIo<TcpStream>, http_body_util::Full<bytes::Bytes>>;

/// An open connection. No other task polls it, so that it closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<http_body_util::Full<bytes::Bytes>>,
    /// `None` once the connection has ended.
    driver: Option<Driver>,
    /// The body of an answer that is complete for its reader, but whose end has not been read.
    tail: Option<body::Incoming>,
    history: keepalive::Connection,
    /// Since when it has been idle.
    rested: moment::Moment,
}

/// A request that was not answered.
pub(crate) struct Unanswered {
    /// What happened.
    pub(crate) error: error::Error,
    /// The request, if the connection has not taken any byte of it.
    pub(crate) unsent: Option<hyper::Request<http_body_util::Full<bytes::Bytes>>>,
}

impl Connection {
    /// Connects to `peer`; every error is [`error::Kind::NotSent`].
    pub(crate) async fn open(
        peer: net::SocketAddr,
        until: tokio::time::Instant,
        history: keepalive::Connection,
    ) -> Result<Self> {
        let not_sent = |cause: String| error::Error::new(error::Kind::NotSent, cause);
        let stream = tokio::time::timeout_at(until, TcpStream::connect(peer))
            .await
            .map_err(|_| not_sent("no connection in time".to_owned()))?
            .map_err(|e| not_sent(format!("cannot connect: {e}")))?;
        stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        Ok(Self { sender, driver: Some(driver), tail: None, history, rested: moment::Moment::ZERO })
    }

    /// Whether the connection is past its age limit.
    pub(crate) fn is_expired(&self, now: moment::Moment) -> bool {
        self.history.check(now) != keepalive::Action::Keep
    }

    /// Marks the connection as idle; `tail` is the body whose end is still to be read.
    pub(crate) fn rest(mut self, tail: Option<body::Incoming>) -> Self {
        self.tail = tail;
        self
    }

    /// Notes since when the connection has been idle.
    pub(crate) fn rest_from(&mut self, now: moment::Moment) {
        self.rested = now;
    }

    /// Whether the connection can carry another call: the last body has ended, the peer has not
    /// closed it, it is not too old and has not been idle for longer than `rest`.
    pub(crate) fn is_usable(&mut self, now: moment::Moment, rest: time::Duration) -> bool {
        if now.since(self.rested) > rest {
            return false;
        }
        let cx = &mut task::Context::from_waker(task::Waker::noop());
        self.drive(cx);
        if let Some(tail) = &mut self.tail {
            if !matches!(Pin::new(tail).poll_frame(cx), task::Poll::Ready(None)) {
                return false;
            }
            self.tail = None;
            self.drive(cx);
        }
        self.driver.is_some() && self.sender.is_ready() && !self.is_expired(now)
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> std::result::Result<hyper::Response<body::Incoming>, Unanswered> {
        let mut answer = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let answered = future::poll_fn(|cx| {
            drive(driver, cx);
            answer.as_mut().poll(cx)
        });
        answered.await.map_err(|mut failed| match failed.take_message() {
            Some(request) => Unanswered {
                error: error::Error::new(error::Kind::NotSent, failed.error().to_string()),
                unsent: Some(request),
            },
            None => Unanswered { error: error::Error::after_send(failed.error()), unsent: None },
        })
    }

    /// Polls the next frame of the body that this connection carries.
    pub(crate) fn poll_frame(
        &mut self,
        body: &mut body::Incoming,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<hyper::Result<body::Frame<bytes::Bytes>>>> {
        // A frame that has been read already needs no turn of the connection.
        if let task::Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
            return task::Poll::Ready(frame);
        }
        self.drive(cx);
        Pin::new(body).poll_frame(cx)
    }

    fn drive(&mut self, cx: &mut task::Context<'_>) {
        drive(&mut self.driver, cx);
    }
}

/// Lets the connection read and write; its errors reach the reader of the answer.
fn drive(driver: &mut Option<Driver>, cx: &mut task::Context<'_>) {
    if let Some(running) = driver
        && Pin::new(running).poll(cx).is_ready()
    {
        *driver = None;
    }
}
