//! The client for calls to peers over gRPC.

use std::{net, sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::keepalive;
use corneltrestle_time::clock::Clock;
use tonic::transport;

use crate::{Error, Result, channels};

/// Interval of HTTP/2 pings during calls, which detect a dead connection before its next use.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Time without a response to a ping after which the connection is closed.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Limit on the characters of a peer's error message that are kept.
const MAX_CAUSE_CHARS: usize = 200;

/// Time limits of calls and connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Limit on the time to connect; 1 s by default.
    pub connect: time::Duration,
    /// Limit on the time of one attempt of a call, including the time to connect; 2 s by default.
    pub call: time::Duration,
    /// Age at which a channel is replaced, reduced by up to 10 % at random so that channels opened
    /// together are not replaced together; 10 min by default.
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

/// Calls peers over gRPC, on one channel for each peer.
///
/// A channel is replaced when a call on it times out or its connection fails. If the channel was
/// open before the call, the call is retried once on a new channel without delay, because the
/// connection may have been dead already. A call therefore ends within twice [`Limits::call`].
#[derive(Debug)]
pub struct Client<C> {
    clock: sync::Arc<C>,
    limits: Limits,
    channels: table::Table<channels::Channels>,
}

impl<C: Clock> Client<C> {
    /// Creates a client without connections; the first call to a peer connects to it.
    pub fn new(clock: sync::Arc<C>, limits: Limits) -> Self {
        Self { clock, limits, channels: table::Table::default() }
    }

    /// Calls a peer, and retries once if a channel failed that was open before.
    ///
    /// `run` starts the call on a channel; `step` names the call in errors.
    ///
    /// # Errors
    ///
    /// When the last attempt was not answered in time, or was answered with an error.
    pub async fn call<A, F>(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        run: impl Fn(transport::Channel) -> F + Send + Sync,
    ) -> Result<A>
    where
        F: Future<Output = std::result::Result<tonic::Response<A>, tonic::Status>> + Send,
    {
        let (entry, is_reused) = self.channel(step, peer)?;
        let call = run(entry.channel.clone());
        match self.attempt(step, peer, &entry, call).await {
            Err(error) if is_reused && error.is_connection() => {
                log::debug!("link: replacing the channel and retrying: {error}");
                let (entry, _) = self.channel(step, peer)?;
                let call = run(entry.channel.clone());
                self.attempt(step, peer, &entry, call).await
            }
            result => result,
        }
    }

    /// Waits for the response to one attempt; removes the channel if the connection failed.
    async fn attempt<A>(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        entry: &channels::Entry,
        call: impl Future<Output = std::result::Result<tonic::Response<A>, tonic::Status>> + Send,
    ) -> Result<A> {
        let result = match tokio::time::timeout(self.limits.call, call).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(failure(step, peer, &status)),
            Err(_) => Err(Error::Timeout { step, peer }),
        };
        if result.as_ref().is_err_and(Error::is_connection) {
            self.channels.lock().remove(peer, entry.number);
        }
        result
    }

    /// The channel to a peer, opened if needed, and whether it was open before.
    fn channel(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
    ) -> Result<(channels::Entry, bool)> {
        let now = self.clock.now();
        let mut channels = self.channels.lock();
        if let Some(entry) = channels.get(peer, now) {
            return Ok((entry, true));
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
    let cause = || status.message().chars().take(MAX_CAUSE_CHARS).collect();
    match status.code() {
        tonic::Code::Unauthenticated => Error::Refused { step, peer },
        tonic::Code::DeadlineExceeded | tonic::Code::Cancelled => Error::Timeout { step, peer },
        tonic::Code::Unavailable => Error::Unreachable { step, peer, cause: cause() },
        // Tonic reports a connection that ends during a call with this code and a source.
        tonic::Code::Unknown if std::error::Error::source(status).is_some() => {
            Error::Unreachable { step, peer, cause: cause() }
        }
        _ => Error::Failed { step, peer, cause: cause() },
    }
}
