//! The connection pool, and calls over its connections.

use std::{collections, net, sync, time};

use corneltrestle_kernel::{
    clock::{self, Clock},
    linkme, metric,
    table::{self, Ranked},
};
use corneltrestle_policy::keepalive;
use corneltrestle_time::moment;
use hyper::header;
use tokio::time::{Instant, timeout_at};

use crate::{
    body, connection,
    error::{self, Result},
};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static RESENT: metric::Metric = metric::Metric::counter(
    "connection_resends_total",
    "Requests sent once more on a new connection after a reused one had failed, by cause.",
);

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
}

/// How often a request may be sent, and on which connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The request is idempotent: it is sent once more, on a new connection, if a reused connection
    /// breaks before the response header.
    Repeatable,
    /// At most once, on a reused or a new connection.
    Once,
    /// At most once, and only on a new connection. The peer may close a reused connection while the
    /// request is being sent, which leaves it unknown whether the request has run.
    OnceFresh,
}

/// Extension of a response to a request that was sent before, on a connection that broke. The request
/// may have run then, whatever the response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resent;

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
        }
    }
}

impl Pool {
    /// Creates an empty pool; connections are opened on demand.
    pub fn open(config: Config) -> sync::Arc<Self> {
        sync::Arc::new(Self { clock: clock::System::open(), config, idle: table::Table::default() })
    }

    /// Sends a request and waits at most `timeout` for the header of the response. The `Host`
    /// header is set to the address of the peer. The response to a request that was sent twice has
    /// the extension [`Resent`].
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
        let host =
            header::HeaderValue::try_from(peer.to_string()).map_err(error::Error::invalid)?;
        request.headers_mut().insert(header::HOST, host);
        let Some(connection) = self.take(peer, delivery) else {
            return self.send_fresh(peer, request, deadline).await;
        };
        let retry = (delivery == Delivery::Repeatable).then(|| request.clone());
        // The peer may never answer on a reused connection, for example when its path is lost;
        // half of the time is kept for a retry on a new one.
        let first_deadline = if retry.is_some() { deadline_after(timeout / 2) } else { deadline };
        match self.send_on(connection, peer, request, first_deadline).await {
            Ok(response) => Ok(response),
            Err(failed) => {
                // The other idle connections to this peer are as old and may be broken, too.
                self.idle.lock().peers.remove(&peer);
                let was_sent = failed.unsent.is_none();
                match failed.unsent.or(retry.filter(|_| failed.error.kind == error::Kind::Broken)) {
                    Some(request) if Instant::now() < deadline => {
                        let is_timeout = Instant::now() >= first_deadline;
                        let cause = if is_timeout { "timeout" } else { "broken" };
                        metrics::counter!(RESENT.name, "cause" => cause).increment(1);
                        log::info!(peer:% = peer, sent = was_sent, timeout = is_timeout; "client: sent once more");
                        let mut sent = self.send_fresh(peer, request, deadline).await;
                        if was_sent {
                            sent = sent.map(mark_resent).map_err(error::Error::sent_before);
                        }
                        sent
                    }
                    _ => Err(failed.error),
                }
            }
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
        let connection = connection::Connection::open(peer, connect, history).await?;
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

    /// Returns a connection to the pool; it is closed if it has expired or the pool is full.
    pub(crate) fn put(&self, peer: net::SocketAddr, mut connection: connection::Connection) {
        let now = self.clock.now();
        connection.mark_idle(now);
        if connection.is_expired(now) {
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

fn mark_resent(mut response: hyper::Response<body::Body>) -> hyper::Response<body::Body> {
    response.extensions_mut().insert(Resent);
    response
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
