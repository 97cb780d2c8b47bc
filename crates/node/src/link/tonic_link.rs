//! The client of calls to peers over gRPC.

use std::{net, sync};

use corneltrestle_rpc as rpc;
use corneltrestle_time::clock::Clock;
use corneltrestle_wire::link::{self as wire, self, Digest, generated};
use tonic::transport;

use super::{Error, Link, Result, secret};

type Client = generated::link_client::LinkClient<transport::Channel>;

/// Calls peers over gRPC, with the secret that all nodes share.
#[derive(Debug)]
pub struct TonicLink<C> {
    secret: secret::Outgoing,
    calls: rpc::Client<C>,
}

impl<C: Clock + 'static> TonicLink<C> {
    /// Creates a client; it connects to a peer on the first call.
    ///
    /// # Errors
    ///
    /// When the secret is shorter than [`MIN_SECRET_BYTES`](super::MIN_SECRET_BYTES).
    pub fn new(clock: sync::Arc<C>, secret: &[u8], limits: rpc::Limits) -> Result<Self> {
        let secret = secret::Outgoing::new(secret)?;
        Ok(Self { secret, calls: rpc::Client::new(clock, limits) })
    }

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
        let attempt = |channel| run(client(channel), self.request(message.clone()));
        Ok(self.calls.call(step, peer, attempt).await?)
    }

    /// Adds the secret to a message.
    fn request<Q>(&self, message: Q) -> tonic::Request<Q> {
        let mut request = tonic::Request::new(message);
        self.secret.attach(request.metadata_mut());
        request
    }
}

fn client(channel: transport::Channel) -> Client {
    Client::new(channel)
        .max_decoding_message_size(wire::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(wire::MAX_MESSAGE_BYTES)
}

fn decode<A, B>(step: &'static str, peer: net::SocketAddr, answer: A) -> Result<B>
where
    B: TryFrom<A, Error = wire::Error>,
{
    B::try_from(answer).map_err(|cause| Error::Malformed { step, peer, cause })
}

impl<C: Clock + 'static> Link for TonicLink<C> {
    async fn pull(&self, peer: net::SocketAddr, request: &link::PullRequest) -> Result<Digest> {
        let message = generated::PullRequest::from(request.clone());
        let run = |mut client: Client, request| async move { client.pull(request).await };
        decode("pull", peer, self.call("pull", peer, message, run).await?)
    }

    async fn push(&self, peer: net::SocketAddr, update: &link::Update) -> Result<link::Ack> {
        let message = generated::News::from(update.clone());
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
        decode("fetch", peer, self.call("fetch", peer, message, run).await?)
    }

    async fn counts(
        &self,
        peer: net::SocketAddr,
        request: link::CountsRequest,
    ) -> Result<link::CountsReply> {
        let message = generated::CountsRequest::from(request);
        let run = |mut client: Client, request| async move { client.counts(request).await };
        decode("counts", peer, self.call("counts", peer, message, run).await?)
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
        decode("status", peer, self.call("status", peer, message, run).await?)
    }
}
