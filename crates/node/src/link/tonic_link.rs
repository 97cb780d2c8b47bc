//! Calls to peers over gRPC.

use std::{net, sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::silence;
use corneltrestle_time::clock::Clock;
use corneltrestle_wire::link::{self as wire, self, Digest, generated};
use tonic::transport;

use super::{Error, Link, Result, channels, secret};

type Client = generated::link_client::LinkClient<transport::Channel>;

/// Pings find a connection that is silent during a call before its next use.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Times of calls and connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time to connect; 1 s unless changed.
    pub connect: time::Duration,
    /// Longest time of one attempt of a call, connecting included; 2 s unless changed.
    pub call: time::Duration,
    /// Age at which a channel is replaced, less up to 10 %; 10 min unless changed.
    pub age: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: silence::Kind::Connect.limit(),
            call: silence::Kind::Link.limit(),
            age: silence::Connection::AGE,
        }
    }
}

/// Calls to peers over gRPC, with one channel for each peer.
///
/// A channel without an answer in time is replaced. If the channel had been in use before, the
/// call is repeated once at once on the new one, so that a call ends within twice its limit.
#[derive(Debug)]
pub struct TonicLink<C> {
    clock: sync::Arc<C>,
    secret: secret::Outgoing,
    limits: Limits,
    channels: table::Table<channels::Channels>,
}

impl<C: Clock + 'static> TonicLink<C> {
    /// Opens the calls to peers; connections are opened by the first call to a peer.
    ///
    /// # Errors
    ///
    /// When the secret is shorter than [`MIN_SECRET_BYTES`](super::MIN_SECRET_BYTES).
    pub fn open(clock: sync::Arc<C>, secret: &[u8], limits: Limits) -> Result<Self> {
        let secret = secret::Outgoing::new(secret)?;
        Ok(Self { clock, secret, limits, channels: table::Table::default() })
    }

    /// Calls a peer; repeats the call once if a channel that was open before failed.
    async fn call<Q, A, F>(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        message: Q,
        run: impl Fn(Client, tonic::Request<Q>) -> F + Send + Sync,
    ) -> Result<A>
    where
        Q: Clone + Send + Sync,
        F: Future<Output = std::result::Result<tonic::Response<A>, tonic::Status>> + Send,
    {
        let (open, is_reused) = self.channel(step, peer)?;
        let answer = run(client(&open), self.request(message.clone()));
        match self.attempt(step, peer, &open, answer).await {
            Err(error) if is_reused && error.is_connection() => {
                log::debug!("link: replaced the channel: {error}");
                let (open, _) = self.channel(step, peer)?;
                let answer = run(client(&open), self.request(message));
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
            Err(_) => Err(Error::Silent { step, peer }),
        };
        if result.as_ref().is_err_and(Error::is_connection) {
            self.channels.lock().remove(peer, open.number);
        }
        result
    }

    /// A request with the secret.
    fn request<Q>(&self, message: Q) -> tonic::Request<Q> {
        let mut request = tonic::Request::new(message);
        self.secret.attach(request.metadata_mut());
        request
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
        Ok((channels.insert(peer, endpoint.connect_lazy(), now, self.limits.age), false))
    }
}

fn client(open: &channels::Open) -> Client {
    Client::new(open.channel.clone())
        .max_decoding_message_size(wire::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(wire::MAX_MESSAGE_BYTES)
}

fn failure(step: &'static str, peer: net::SocketAddr, status: &tonic::Status) -> Error {
    let cause = || status.message().chars().take(200).collect();
    match status.code() {
        tonic::Code::Unauthenticated => Error::Refused { step, peer },
        tonic::Code::DeadlineExceeded | tonic::Code::Cancelled => Error::Silent { step, peer },
        tonic::Code::Unavailable => Error::Unreachable { step, peer, cause: cause() },
        // A connection that ends during a call has this code and a source.
        tonic::Code::Unknown if std::error::Error::source(status).is_some() => {
            Error::Unreachable { step, peer, cause: cause() }
        }
        _ => Error::Failed { step, peer, cause: cause() },
    }
}

fn checked<A, B>(step: &'static str, peer: net::SocketAddr, answer: A) -> Result<B>
where
    B: TryFrom<A, Error = wire::Error>,
{
    B::try_from(answer).map_err(|cause| Error::Malformed { step, peer, cause })
}

impl<C: Clock + 'static> Link for TonicLink<C> {
    async fn pull(&self, peer: net::SocketAddr, request: &link::PullRequest) -> Result<Digest> {
        let message = generated::PullRequest::from(request.clone());
        let run = |mut client: Client, request| async move { client.pull(request).await };
        checked("pull", peer, self.call("pull", peer, message, run).await?)
    }

    async fn push(&self, peer: net::SocketAddr, news: &link::News) -> Result<link::Ack> {
        let message = generated::News::from(news.clone());
        let run = |mut client: Client, request| async move { client.push(request).await };
        Ok(self.call("push", peer, message, run).await?.into())
    }

    async fn fetch(
        &self,
        peer: net::SocketAddr,
        request: &link::FetchRequest,
    ) -> Result<link::Value> {
        let message = generated::FetchRequest::from(request.clone());
        let run = |mut client: Client, request| async move { client.fetch(request).await };
        checked("fetch", peer, self.call("fetch", peer, message, run).await?)
    }

    async fn counts(
        &self,
        peer: net::SocketAddr,
        request: link::CountsRequest,
    ) -> Result<link::CountsReply> {
        let message = generated::CountsRequest::from(request);
        let run = |mut client: Client, request| async move { client.counts(request).await };
        checked("counts", peer, self.call("counts", peer, message, run).await?)
    }

    async fn acquire(
        &self,
        peer: net::SocketAddr,
        request: &link::SlotRequest,
    ) -> Result<link::Loan> {
        let message = generated::SlotRequest::from(request.clone());
        let run = |mut client: Client, request| async move { client.acquire(request).await };
        let reply = self.call("acquire", peer, message, run).await?;
        Ok(Some(reply.loan).filter(|loan| *loan != 0))
    }

    async fn release(&self, peer: net::SocketAddr, loan: u64) -> Result<()> {
        let message = generated::SlotRelease { version: wire::VERSION, loan };
        let run = |mut client: Client, request| async move { client.release(request).await };
        self.call("release", peer, message, run).await.map(|generated::SlotReleased {}| ())
    }

    async fn status(
        &self,
        peer: net::SocketAddr,
        request: link::StatusRequest,
    ) -> Result<link::StatusReply> {
        let message = generated::StatusRequest::from(request);
        let run = |mut client: Client, request| async move { client.status(request).await };
        checked("status", peer, self.call("status", peer, message, run).await?)
    }
}
