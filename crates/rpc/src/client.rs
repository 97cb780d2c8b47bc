//! Calls to peers over gRPC.

use std::{net, sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::keepalive;
use corneltrestle_time::clock::Clock;
use tonic::transport;

use crate::{Error, Result, channels};

/// Pings find a connection that is silent during a call before its next use.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Characters of a peer's error message that are kept.
const MAX_MESSAGE: usize = 200;

/// Times of calls and connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time to connect; 1 s unless changed.
    pub connect: time::Duration,
    /// Longest time of one attempt of a call, connecting included; 2 s unless changed.
    pub call: time::Duration,
    /// Age at which a channel is replaced, less up to 10 %; 10 min unless changed.
    pub max_age: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: keepalive::Kind::Connect.progress_timeout(),
            call: keepalive::Kind::Link.progress_timeout(),
            max_age: keepalive::Connection::MAX_AGE,
        }
    }
}

/// Calls to peers over gRPC, with one channel for each peer.
///
/// A channel without an answer in time is replaced. If the channel had been in use before, the
/// call is repeated once at once on the new one, so that a call ends within twice its limit.
#[derive(Debug)]
pub struct Client<C> {
    clock: sync::Arc<C>,
    limits: Limits,
    channels: table::Table<channels::Channels>,
}

impl<C: Clock> Client<C> {
    /// Opens the calls to peers; connections are opened by the first call to a peer.
    pub fn new(clock: sync::Arc<C>, limits: Limits) -> Self {
        Self { clock, limits, channels: table::Table::default() }
    }

    /// Calls a peer; repeats the call once if a channel that was open before failed.
    ///
    /// # Errors
    ///
    /// When no attempt was answered.
    pub async fn call<A, F>(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        run: impl Fn(transport::Channel) -> F + Send + Sync,
    ) -> Result<A>
    where
        F: Future<Output = std::result::Result<tonic::Response<A>, tonic::Status>> + Send,
    {
        let (open, is_reused) = self.channel(step, peer)?;
        let answer = run(open.channel.clone());
        match self.attempt(step, peer, &open, answer).await {
            Err(error) if is_reused && error.is_connection() => {
                log::debug!("link: replaced the channel: {error}");
                let (open, _) = self.channel(step, peer)?;
                let answer = run(open.channel.clone());
                self.attempt(step, peer, &open, answer).await
            }
            result => result,
        }
    }

    /// Waits for the answer of one attempt; drops the channel if the connection failed.
    async fn attempt<A>(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        open: &channels::Open,
        answer: impl Future<Output = std::result::Result<tonic::Response<A>, tonic::Status>> + Send,
    ) -> Result<A> {
        let result = match tokio::time::timeout(self.limits.call, answer).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(failure(step, peer, &status)),
            Err(_) => Err(Error::Timeout { step, peer }),
        };
        if result.as_ref().is_err_and(Error::is_connection) {
            self.channels.lock().remove(peer, open.number);
        }
        result
    }

    /// The channel to a peer and whether it was open before.
    fn channel(&self, step: &'static str, peer: net::SocketAddr) -> Result<(channels::Open, bool)> {
        let now = self.clock.now();
        let mut channels = self.channels.lock();
        if let Some(open) = channels.get(peer, now) {
            return Ok((open, true));
        }
        let endpoint = transport::Endpoint::from_shared(format!("http://{peer}"))
            .map_err(|e| Error::Unreachable { step, peer, cause: e.to_string() })?
            .connect_timeout(self.limits.connect)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT);
        Ok((channels.insert(peer, endpoint.connect_lazy(), now, self.limits.max_age), false))
    }
}

fn failure(step: &'static str, peer: net::SocketAddr, status: &tonic::Status) -> Error {
    let cause = || status.message().chars().take(MAX_MESSAGE).collect();
    match status.code() {
        tonic::Code::Unauthenticated => Error::Refused { step, peer },
        tonic::Code::DeadlineExceeded | tonic::Code::Cancelled => Error::Timeout { step, peer },
        tonic::Code::Unavailable => Error::Unreachable { step, peer, cause: cause() },
        // A connection that ends during a call has this code and a source.
        tonic::Code::Unknown if std::error::Error::source(status).is_some() => {
            Error::Unreachable { step, peer, cause: cause() }
        }
        _ => Error::Failed { step, peer, cause: cause() },
    }
}
