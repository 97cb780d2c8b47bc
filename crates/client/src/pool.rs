//! Idle connections by peer, and calls over them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use corneltrestle_kernel::clock::{self, Clock};
use corneltrestle_kernel::table::{Ranked, Table};
use corneltrestle_policy::silence;
use corneltrestle_time::Moment;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::body::Body;
use crate::connection::{Connection, Unanswered};
use crate::error::{Error, Kind, Result};

/// How often connections past their age limit are removed, whatever their peer.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// Limits of a pool.
#[derive(Clone, Debug)]
pub struct Config {
    /// Longest time for connecting.
    pub connect: Duration,
    /// Idle connections that are kept per peer.
    pub idle: usize,
    /// Age at which a connection is closed; up to a tenth less, at random.
    pub age: Duration,
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
    peers: HashMap<SocketAddr, Vec<Connection>>,
    swept: Option<Moment>,
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
    idle: Table<Idle>,
}

impl Default for Config {
    fn default() -> Self {
        let (connect, age) = (silence::Kind::Connect.limit(), silence::Connection::AGE);
        Self { connect, idle: 32, age }
    }
}

impl Pool {
    /// Opens a pool without connections.
    pub fn open(config: Config) -> Arc<Self> {
        Arc::new(Self { clock: clock::System::open(), config, idle: Table::default() })
    }

    /// Sends a request and waits at most `limit` for the head of the answer. `Host` is set.
    ///
    /// # Errors
    ///
    /// [`Kind::NotSent`] only if no byte of the request has left the process.
    pub async fn send(
        self: &Arc<Self>,
        peer: SocketAddr,
        mut request: Request<Full<Bytes>>,
        delivery: Delivery,
        limit: Duration,
    ) -> Result<Response<Body>> {
        let until = Instant::now() + limit;
        let host = HeaderValue::try_from(peer.to_string()).map_err(Error::invalid)?;
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
                match failed.unsent.or(spare.filter(|_| failed.error.kind == Kind::Broken)) {
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
    /// As [`Pool::send`] and [`Body::collect`].
    pub async fn fetch(
        self: &Arc<Self>,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        delivery: Delivery,
        limit: Duration,
        max: usize,
    ) -> Result<Response<Bytes>> {
        let until = Instant::now() + limit;
        let (head, body) = self.send(peer, request, delivery, limit).await?.into_parts();
        Ok(Response::from_parts(head, body.collect(max, until).await?))
    }

    async fn send_fresh(
        self: &Arc<Self>,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Response<Body>> {
        let connect = until.min(Instant::now() + self.config.connect);
        let (kind, now) = (silence::Kind::Connect, self.clock.now());
        let mut history =
            silence::Connection::open_for(kind, self.config.age, now, &mut rand::rng());
        // The time for connecting has its own limit; after that only the age counts.
        history.rested();
        let connection = Connection::open(peer, connect, history).await?;
        self.send_on(connection, peer, request, until).await.map_err(|failed| failed.error)
    }

    async fn send_on(
        self: &Arc<Self>,
        mut connection: Connection,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> std::result::Result<Response<Body>, Unanswered> {
        let bodyless = request.method() == Method::HEAD;
        let broken = |kind, cause| Unanswered { error: Error::new(kind, cause), unsent: None };
        let answer = timeout_at(until, connection.send(request))
            .await
            .map_err(|_| broken(Kind::Broken, "no answer in time"))??;
        if answer.status().is_informational() {
            return Err(broken(Kind::Malformed, "answer switches protocols"));
        }
        let delimited = bodyless || is_delimited(&answer);
        Ok(answer.map(|body| Body::new(body, connection, Arc::clone(self), peer, delimited)))
    }
}

/// Idle connections.
impl Pool {
    /// The idle connection of `peer` that was used last, if one is still usable.
    fn take(&self, peer: SocketAddr, delivery: Delivery) -> Option<Connection> {
        if delivery == Delivery::OnceFresh {
            return None;
        }
        let now = self.clock.now();
        loop {
            let mut connection = self.idle.lock().peers.get_mut(&peer)?.pop()?;
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next call.
    pub(crate) fn put(&self, peer: SocketAddr, connection: Connection) {
        let now = self.clock.now();
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
    fn sweep(&mut self, now: Moment) {
        self.swept = Some(now);
        self.peers.retain(|_, kept| {
            kept.retain(|connection| !connection.is_expired(now));
            !kept.is_empty()
        });
    }
}

/// Whether the end of a body is marked by a length or by the last chunk.
fn is_delimited<B>(answer: &Response<B>) -> bool {
    let headers = answer.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || matches!(answer.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
