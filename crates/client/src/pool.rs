//! Idle connections by peer, and calls over them.

use std::{collections, net, sync, time};

use corneltrestle_kernel::{
    clock::{self, Clock},
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

/// How often connections past their age limit are removed, whatever their peer.
const SWEEP_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Limits of a pool.
#[derive(Clone, Debug)]
pub struct Config {
    /// Longest time for connecting.
    pub connect: time::Duration,
    /// Idle connections that are kept per peer.
    pub idle: usize,
    /// Age at which a connection is closed; up to a tenth less, at random.
    pub age: time::Duration,
    /// Longest time for which a connection is kept idle.
    pub rest: time::Duration,
    /// Whether a body may end with its connection. A truncation is then recognised only if the
    /// connection is reset.
    pub unmarked: bool,
}

/// How often a call may reach its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It may be sent again: once, when a reused connection closes before the answer begins.
    Repeatable,
    /// At most once, on any connection.
    Once,
    /// At most once, on a new connection: a reused one may be closed by the peer while the request
    /// is sent, and it is then unknown whether the request has run.
    OnceFresh,
}

/// Idle connections; the first rank after the tables of a node.
#[derive(Debug, Default)]
pub struct Idle {
    peers: collections::HashMap<net::SocketAddr, Vec<connection::Connection>>,
    swept: Option<moment::Moment>,
}

impl Ranked for Idle {
    const RANK: u16 = 110;
    const NAME: &'static str = "idle";
}

/// Connections to peers, pooled by address, so that one silent path does not stall another.
#[derive(Debug)]
pub struct Pool {
    clock: clock::System,
    config: Config,
    idle: table::Table<Idle>,
}

impl Default for Config {
    fn default() -> Self {
        let (connect, age) =
            (keepalive::Kind::Connect.progress_timeout(), keepalive::Connection::MAX_AGE);
        Self { connect, idle: 32, age, rest: age, unmarked: false }
    }
}

impl Pool {
    /// Opens a pool without connections.
    pub fn open(config: Config) -> sync::Arc<Self> {
        sync::Arc::new(Self { clock: clock::System::open(), config, idle: table::Table::default() })
    }

    /// Sends a request and waits at most `limit` for the head of the answer. `Host` is set.
    ///
    /// # Errors
    ///
    /// [`error::Kind::NotSent`] only if no byte of the request has left the process.
    pub async fn send(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        mut request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        delivery: Delivery,
        limit: time::Duration,
    ) -> Result<hyper::Response<body::Body>> {
        let until = Instant::now() + limit;
        let host =
            header::HeaderValue::try_from(peer.to_string()).map_err(error::Error::invalid)?;
        request.headers_mut().insert(header::HOST, host);
        let Some(connection) = self.take(peer, delivery) else {
            return self.send_fresh(peer, request, until).await;
        };
        let spare = (delivery == Delivery::Repeatable).then(|| request.clone());
        // A reused connection may be silent for good; half of the time is left for a new one.
        let first = if spare.is_some() { Instant::now() + limit / 2 } else { until };
        match self.send_on(connection, peer, request, first).await {
            Ok(answer) => Ok(answer),
            Err(failed) => {
                // The other idle connections are as old as this one and may be silent, too.
                self.idle.lock().peers.remove(&peer);
                match failed.unsent.or(spare.filter(|_| failed.error.kind == error::Kind::Broken)) {
                    Some(request) if Instant::now() < until => {
                        self.send_fresh(peer, request, until).await
                    }
                    _ => Err(failed.error),
                }
            }
        }
    }

    /// Sends a request and reads the whole answer, at most `max` bytes, within `limit`.
    ///
    /// # Errors
    ///
    /// As [`Pool::send`] and [`body::Body::collect`].
    pub async fn fetch(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        delivery: Delivery,
        limit: time::Duration,
        max: usize,
    ) -> Result<hyper::Response<bytes::Bytes>> {
        let until = Instant::now() + limit;
        let (head, body) = self.send(peer, request, delivery, limit).await?.into_parts();
        Ok(hyper::Response::from_parts(head, body.collect(max, until).await?))
    }

    async fn send_fresh(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        until: Instant,
    ) -> Result<hyper::Response<body::Body>> {
        let connect = until.min(Instant::now() + self.config.connect);
        let (kind, now) = (keepalive::Kind::Connect, self.clock.now());
        let mut history =
            keepalive::Connection::with_max_age(kind, self.config.age, now, &mut rand::rng());
        // The time for connecting has its own limit; after that only the age counts.
        history.mark_idle();
        let connection = connection::Connection::open(peer, connect, history).await?;
        self.send_on(connection, peer, request, until).await.map_err(|failed| failed.error)
    }

    async fn send_on(
        self: &sync::Arc<Self>,
        mut connection: connection::Connection,
        peer: net::SocketAddr,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        until: Instant,
    ) -> std::result::Result<hyper::Response<body::Body>, connection::Unanswered> {
        let bodyless = request.method() == hyper::Method::HEAD;
        let broken = |kind, cause| connection::Unanswered {
            error: error::Error::new(kind, cause),
            unsent: None,
        };
        let answer = timeout_at(until, connection.send(request))
            .await
            .map_err(|_| broken(error::Kind::Broken, "no answer in time"))??;
        if answer.status().is_informational() {
            return Err(broken(error::Kind::Malformed, "answer switches protocols"));
        }
        let delimited = bodyless || is_delimited(&answer);
        let end = match (delimited, self.config.unmarked) {
            (true, _) => body::End::Marked,
            (false, true) => body::End::Close,
            (false, false) => body::End::Unknown,
        };
        Ok(answer.map(|body| body::Body::new(body, connection, sync::Arc::clone(self), peer, end)))
    }
}

/// Idle connections.
impl Pool {
    /// The idle connection of `peer` that was used last, if one is still usable.
    fn take(&self, peer: net::SocketAddr, delivery: Delivery) -> Option<connection::Connection> {
        if delivery == Delivery::OnceFresh {
            return None;
        }
        let now = self.clock.now();
        loop {
            let mut connection = self.idle.lock().peers.get_mut(&peer)?.pop()?;
            if connection.is_usable(now, self.config.rest) {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next call.
    pub(crate) fn put(&self, peer: net::SocketAddr, mut connection: connection::Connection) {
        let now = self.clock.now();
        connection.rest_from(now);
        if connection.is_expired(now) {
            return;
        }
        let mut idle = self.idle.lock();
        if idle.swept.is_none_or(|at| now >= at + SWEEP_PERIOD) {
            idle.sweep(now);
        }
        let kept = idle.peers.entry(peer).or_default();
        if kept.len() < self.config.idle {
            kept.push(connection);
        }
    }
}

impl Idle {
    /// Removes connections past their age limit; those to peers that are gone are never taken.
    fn sweep(&mut self, now: moment::Moment) {
        self.swept = Some(now);
        self.peers.retain(|_, kept| {
            kept.retain(|connection| !connection.is_expired(now));
            !kept.is_empty()
        });
    }
}

/// Whether the end of a body is marked by a length or by the last chunk.
fn is_delimited<B>(answer: &hyper::Response<B>) -> bool {
    let headers = answer.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || matches!(
            answer.status(),
            hyper::StatusCode::NO_CONTENT | hyper::StatusCode::NOT_MODIFIED
        )
}
