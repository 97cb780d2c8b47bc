//! The connection pool, and calls over its connections.

use std::{collections, net, pin::pin, sync, time};

use corneltrestle_kernel::{
    clock::{self, Clock},
    linkme, metric,
    table::{self, Ranked},
};
use corneltrestle_policy::keepalive;
use corneltrestle_time::moment;
use futures_util::future::{self, Either};
use hyper::header;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

use crate::{
    body, connection,
    error::{self, Result},
};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static RESENT: metric::Metric = metric::Metric::counter(
    "connection_resends_total",
    "Calls sent once more on a new connection, as a reused one had ended or was silent, by cause.",
);

/// Highest status code of HTTP.
const MAX_STATUS: u16 = 599;

/// Minimum time between two removals of idle and expired connections from all peers. [`Pool::put`]
/// runs them, so that connections to peers that are no longer called are closed, too.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Longest timeout of a call.
const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// The end of a call that starts now. Timeouts that callers state may be of any length, but an
/// [`Instant`] may not be.
pub fn deadline_after(timeout: time::Duration) -> Instant {
    Instant::now() + timeout.min(MAX_TIMEOUT)
}

/// Limits of a [`Pool`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Time to establish a connection; part of the time limit of the call.
    pub connect_timeout: time::Duration,
    /// Idle connections kept per peer.
    pub max_idle: usize,
    /// Age at which a connection is no longer used for new calls, less up to a tenth at random so
    /// that connections do not expire together.
    pub max_age: time::Duration,
    /// Idle time after which a connection is closed instead of reused.
    pub idle_timeout: time::Duration,
    /// Whether to accept bodies that end with the close of the connection, without
    /// `Content-Length` or chunked encoding. A truncated body is then recognised only if the
    /// connection is reset.
    pub allow_undelimited: bool,
    /// Size of the largest response header in bytes, which is also that of the read buffer of a
    /// connection; at least 8 KiB.
    pub max_header: usize,
    /// Bytes that the system keeps of a response that is not read, as its client does not read it
    /// either; the system doubles them for its own needs. Without this limit it keeps up to 32 MB
    /// (`tcp_rmem`). With 64 KB, the window on a loopback interface is a single segment, and a relay at
    /// full speed passes on a fourth of the events.
    pub receive_buffer: u32,
    /// Bytes of the bodies that are being collected at the same time over all connections; a body that
    /// does not fit fails. Collections with a limit of their own above it are left out.
    pub max_collected: usize,
}

/// How often a request may be sent, and on which connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// At most once, on a reused or a new connection. It is for the caller to decide whether to send it
    /// again after [`error::Kind::Stale`].
    Once,
    /// At most once, and only on a new connection. The peer may close a reused connection while the
    /// request is being sent, which leaves it unknown whether the request has run.
    OnceFresh,
}

/// The table of idle connections. Its lock rank comes after those of the tables of a node.
#[derive(Debug, Default)]
pub struct Idle {
    /// Per peer, with the connection used last at the end.
    peers: collections::HashMap<net::SocketAddr, Vec<connection::Connection>>,
    /// When expired connections were last removed; `None` before the first time.
    last_sweep: Option<moment::Moment>,
}

impl Ranked for Idle {
    const RANK: u16 = 110;
    const NAME: &'static str = "idle";
}

/// Connections to peers, pooled by address, so that a peer that stops responding does not delay
/// calls to others.
#[derive(Debug)]
pub struct Pool {
    clock: clock::System,
    config: Config,
    idle: table::Table<Idle>,
    /// Bytes that may still be collected, see [`Config::max_collected`].
    buffers: sync::Arc<Semaphore>,
}

impl Default for Config {
    fn default() -> Self {
        let (connect_timeout, max_age) =
            (keepalive::Kind::Connect.progress_timeout(), keepalive::Connection::MAX_AGE);
        Self {
            connect_timeout,
            max_idle: 32,
            max_age,
            idle_timeout: max_age,
            allow_undelimited: false,
            max_header: 64 * 1024,
            receive_buffer: 128 * 1024,
            max_collected: 64 * 1024 * 1024,
        }
    }
}

impl Pool {
    /// Creates an empty pool; connections are opened on demand.
    pub fn open(config: Config) -> sync::Arc<Self> {
        let buffers = sync::Arc::new(Semaphore::new(config.max_collected));
        let clock = clock::System::open();
        sync::Arc::new(Self { clock, config, idle: table::Table::default(), buffers })
    }

    /// Sends a request and waits at most `timeout` for the header of the response. The `Host`
    /// header is set to the address of the peer.
    ///
    /// A peer that is silent gets the whole time, on a reused connection, too: it may be at work on the
    /// request.
    ///
    /// # Errors
    ///
    /// [`error::Kind::NotSent`] only if no byte of the request was sent.
    pub async fn send(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        mut request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        delivery: Delivery,
        timeout: time::Duration,
    ) -> Result<hyper::Response<body::Body>> {
        let deadline = deadline_after(timeout);
        set_host(&mut request, peer)?;
        let Some(connection) = self.take(peer, delivery) else {
            return self.send_fresh(peer, request, deadline).await;
        };
        match self.send_on(connection, peer, request, deadline).await {
            Ok(response) => Ok(response),
            Err(failed) => {
                self.close_idle(peer);
                match failed.unsent {
                    Some(unsent) => self.send_fresh(peer, unsent, deadline).await,
                    None => Err(failed.error),
                }
            }
        }
    }

    /// Sends a call that may take effect twice, as one that reads the state of the peer. It is sent once
    /// more, on a new connection, if a reused one ends before the response or is silent for half of the
    /// time. The peer may only be slow, so the first one is not given up: the first response counts.
    ///
    /// `admit` is called before the second one, which is sent only with a permit.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`].
    pub async fn send_repeatable<P, F>(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        mut request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        timeout: time::Duration,
        admit: impl FnOnce() -> F,
    ) -> Result<hyper::Response<body::Body>>
    where
        F: Future<Output = Option<P>>,
    {
        let deadline = deadline_after(timeout);
        set_host(&mut request, peer)?;
        let Some(connection) = self.take(peer, Delivery::Once) else {
            return self.send_fresh(peer, request, deadline).await;
        };
        let copy = request.clone();
        let second = async |cause| {
            let Some(_permit) = admit().await else {
                return Err(error::Error::new(error::Kind::NotSent, "no permit for a second call"));
            };
            metrics::counter!(RESENT.name, "cause" => cause).increment(1);
            self.send_fresh(peer, copy, deadline).await
        };
        let mut first = pin!(self.send_on(connection, peer, request, deadline));
        let early = timeout_at(deadline_after(timeout / 2), first.as_mut()).await;
        let failed = match early {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(failed)) => Some(failed),
            Err(_) => None,
        };
        self.close_idle(peer);
        let Some(failed) = failed else {
            return match future::select(first, pin!(second("silent"))).await {
                Either::Left((Ok(response), _)) | Either::Right((Ok(response), _)) => Ok(response),
                Either::Left((Err(_), second)) => second.await.map_err(error::Error::sent_before),
                Either::Right((Err(_), first)) => first.await.map_err(|failed| failed.error),
            };
        };
        match failed.unsent {
            Some(unsent) => self.send_fresh(peer, unsent, deadline).await,
            None if failed.error.kind == error::Kind::Stale => {
                second("ended").await.map_err(error::Error::sent_before)
            }
            None => Err(failed.error),
        }
    }

    /// Sends a request and reads the whole response, at most `max` bytes of body, within `timeout`.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`] and [`body::Body::collect`].
    pub async fn fetch(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        delivery: Delivery,
        timeout: time::Duration,
        max: usize,
    ) -> Result<hyper::Response<bytes::Bytes>> {
        let deadline = deadline_after(timeout);
        let (head, body) = self.send(peer, request, delivery, timeout).await?.into_parts();
        Ok(hyper::Response::from_parts(head, body.collect(max, deadline).await?))
    }

    /// Sends a call as [`Pool::send_repeatable`] does, and reads the whole response, at most `max` bytes
    /// of body, within `timeout`.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`] and [`body::Body::collect`].
    pub async fn fetch_repeatable<P, F>(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        timeout: time::Duration,
        max: usize,
        admit: impl FnOnce() -> F,
    ) -> Result<hyper::Response<bytes::Bytes>>
    where
        F: Future<Output = Option<P>>,
    {
        let deadline = deadline_after(timeout);
        let sent = self.send_repeatable(peer, request, timeout, admit).await;
        let (head, body) = sent?.into_parts();
        Ok(hyper::Response::from_parts(head, body.collect(max, deadline).await?))
    }

    /// Sends a request on a new connection.
    async fn send_fresh(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        deadline: Instant,
    ) -> Result<hyper::Response<body::Body>> {
        let connect = deadline.min(deadline_after(self.config.connect_timeout));
        let (kind, now) = (keepalive::Kind::Connect, self.clock.now());
        let mut history =
            keepalive::Connection::with_max_age(kind, self.config.max_age, now, &mut rand::rng());
        // Connecting has a timeout of its own, so that `history` only has to track the age.
        history.mark_idle();
        let connection = connection::Connection::open(peer, &self.config, connect, history).await?;
        self.send_on(connection, peer, request, deadline).await.map_err(|failed| failed.error)
    }

    async fn send_on(
        self: &sync::Arc<Self>,
        mut connection: connection::Connection,
        peer: net::SocketAddr,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        deadline: Instant,
    ) -> std::result::Result<hyper::Response<body::Body>, connection::SendError> {
        let is_head = request.method() == hyper::Method::HEAD;
        let failed = |kind, cause| connection::SendError {
            error: error::Error::new(kind, cause),
            unsent: None,
        };
        let response = timeout_at(deadline, connection.send(request))
            .await
            .map_err(|_| failed(error::Kind::Broken, "no answer in time"))??;
        if response.status().is_informational() {
            return Err(failed(error::Kind::Malformed, "response switches protocols"));
        }
        // Those below 100 are rejected by the parser.
        if response.status().as_u16() > MAX_STATUS {
            return Err(failed(error::Kind::Malformed, "response has an invalid status"));
        }
        let delimited = is_head || is_delimited(&response);
        let framing = match (delimited, self.config.allow_undelimited) {
            (true, _) => body::Framing::Delimited,
            (false, true) => body::Framing::UntilClose,
            (false, false) => body::Framing::Rejected,
        };
        Ok(response
            .map(|body| body::Body::new(body, connection, sync::Arc::clone(self), peer, framing)))
    }
}

/// Taking and returning idle connections.
impl Pool {
    /// Closes the idle connections to a peer after one of them has failed: they are as old, and may be
    /// broken, too.
    fn close_idle(&self, peer: net::SocketAddr) {
        self.idle.lock().peers.remove(&peer);
    }

    /// Takes the most recently used idle connection to `peer` that is still usable, and closes
    /// those that are not.
    fn take(&self, peer: net::SocketAddr, delivery: Delivery) -> Option<connection::Connection> {
        if delivery == Delivery::OnceFresh {
            return None;
        }
        let now = self.clock.now();
        loop {
            let mut connection = self.idle.lock().peers.get_mut(&peer)?.pop()?;
            if connection.is_usable(now, self.config.idle_timeout) {
                return Some(connection);
            }
        }
    }

    /// Takes `bytes` of a body that is collected up to `max` from [`Config::max_collected`]; `None` if
    /// they do not fit.
    pub(crate) fn hold(&self, bytes: usize, max: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = if max > self.config.max_collected { 0 } else { bytes };
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        sync::Arc::clone(&self.buffers).try_acquire_many_owned(bytes).ok()
    }

    /// Returns a connection to the pool; it is closed if it has expired, still keeps the body of its
    /// request, or the pool is full.
    pub(crate) fn put(&self, peer: net::SocketAddr, mut connection: connection::Connection) {
        let now = self.clock.now();
        connection.mark_idle(now);
        if connection.is_expired(now) || !connection.has_written_body() {
            return;
        }
        let mut idle = self.idle.lock();
        if idle.last_sweep.is_none_or(|at| now >= at + SWEEP_INTERVAL) {
            idle.sweep(self.config.idle_timeout, now);
        }
        let kept = idle.peers.entry(peer).or_default();
        if kept.len() < self.config.max_idle {
            kept.push(connection);
        }
    }
}

impl Idle {
    /// Closes connections to all peers that have expired or were idle for too long. Those to peers
    /// that are no longer called, and those below the ones used last, would otherwise stay open,
    /// since [`Pool::take`] never sees them.
    fn sweep(&mut self, idle_timeout: time::Duration, now: moment::Moment) {
        self.last_sweep = Some(now);
        self.peers.retain(|_, kept| {
            kept.retain(|connection| connection.is_fresh(now, idle_timeout));
            !kept.is_empty()
        });
    }
}

/// Sets the `Host` header to the address of the peer.
fn set_host<B>(request: &mut hyper::Request<B>, peer: net::SocketAddr) -> Result<()> {
    let host = header::HeaderValue::try_from(peer.to_string()).map_err(error::Error::invalid)?;
    request.headers_mut().insert(header::HOST, host);
    Ok(())
}

/// Whether the end of the body is known from a length, the chunked encoding or the status, so that
/// a truncation can be recognised.
fn is_delimited<B>(response: &hyper::Response<B>) -> bool {
    let headers = response.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || matches!(
            response.status(),
            hyper::StatusCode::NO_CONTENT | hyper::StatusCode::NOT_MODIFIED
        )
}
