//! The server that answers the calls of peers.

use std::{net, sync, time};

use corneltrestle_rpc::incoming;
use corneltrestle_wire::link::{self as wire, self, generated};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::{async_trait, service::interceptor, transport};

use super::{Error, Handler, Result, secret};

/// Pings make a peer that is gone noticeable on an idle connection.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Longest time of a call; callers have given up before.
const MAX_CALL: time::Duration = time::Duration::from_secs(5);

/// Calls in progress on one connection.
const MAX_CALLS: u32 = 32;

/// Largest headers of a call in bytes.
const MAX_HEADERS: u32 = 8 * 1024;

/// Longest wait for calls in progress after the stop.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Answers the calls of peers until `stop` is cancelled; then calls in progress finish.
///
/// Calls without the secret are refused before their message is read.
///
/// # Errors
///
/// When the secret is shorter than [`MIN_SECRET_BYTES`](super::MIN_SECRET_BYTES), or the server
/// ends without being stopped.
pub fn serve<H: Handler>(
    listener: TcpListener,
    handler: sync::Arc<H>,
    secret: &[u8],
    stop: CancellationToken,
) -> impl Future<Output = Result<()>> + Send + use<H> {
    let secret = secret::Expected::new(secret);
    async move { run(listener, handler, secret?, stop).await }
}

async fn run<H: Handler>(
    listener: TcpListener,
    handler: sync::Arc<H>,
    secret: secret::Expected,
    stop: CancellationToken,
) -> Result<()> {
    let address =
        listener.local_addr().unwrap_or(net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0)));
    let service = generated::link_server::LinkServer::new(Service { handler })
        .max_decoding_message_size(wire::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(wire::MAX_MESSAGE_BYTES);
    let server = transport::Server::builder()
        .timeout(MAX_CALL)
        .max_concurrent_streams(MAX_CALLS)
        .http2_max_header_list_size(MAX_HEADERS)
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .add_service(interceptor::InterceptedService::new(service, secret))
        .serve_with_incoming_shutdown(
            incoming::connections(listener),
            stop.clone().cancelled_owned(),
        );
    let limit = async {
        stop.cancelled().await;
        tokio::time::sleep(STOP_LIMIT).await;
    };
    tokio::select! {
        ended = server => ended.map_err(|e| Error::Server { address, cause: e.to_string() }),
        () = limit => Ok(()),
    }
}

/// Turns generated messages into calls of a handler.
struct Service<H> {
    handler: sync::Arc<H>,
}

type Answer<T> = std::result::Result<tonic::Response<T>, tonic::Status>;

fn checked<A, B>(request: tonic::Request<A>) -> std::result::Result<B, tonic::Status>
where
    B: TryFrom<A, Error = wire::Error>,
{
    B::try_from(request.into_inner()).map_err(|e| tonic::Status::invalid_argument(e.to_string()))
}

#[async_trait]
impl<H: Handler> generated::link_server::Link for Service<H> {
    async fn pull(
        &self,
        request: tonic::Request<generated::PullRequest>,
    ) -> Answer<generated::Digest> {
        let request: link::PullRequest = checked(request)?;
        Ok(tonic::Response::new(self.handler.pull(&request).await.into()))
    }

    async fn push(&self, request: tonic::Request<generated::News>) -> Answer<generated::Ack> {
        let news: link::Update = checked(request)?;
        Ok(tonic::Response::new(self.handler.push(&news).await.into()))
    }

    async fn fetch(
        &self,
        request: tonic::Request<generated::FetchRequest>,
    ) -> Answer<generated::Value> {
        let request: link::FetchRequest = checked(request)?;
        Ok(tonic::Response::new(self.handler.fetch(&request).await.into()))
    }

    async fn counts(
        &self,
        request: tonic::Request<generated::CountsRequest>,
    ) -> Answer<generated::CountsReply> {
        let request = request.into_inner().into();
        Ok(tonic::Response::new(self.handler.counts(request).await.into()))
    }

    async fn acquire(
        &self,
        request: tonic::Request<generated::SlotRequest>,
    ) -> Answer<generated::SlotReply> {
        let request: link::SlotRequest = checked(request)?;
        let loan = self.handler.acquire(&request).await.unwrap_or_default();
        Ok(tonic::Response::new(generated::SlotReply { loan }))
    }

    async fn release(
        &self,
        request: tonic::Request<generated::SlotRelease>,
    ) -> Answer<generated::SlotReleased> {
        self.handler.release(request.into_inner().loan).await;
        Ok(tonic::Response::new(generated::SlotReleased {}))
    }

    async fn status(
        &self,
        request: tonic::Request<generated::StatusRequest>,
    ) -> Answer<generated::StatusReply> {
        let request = request.into_inner().into();
        Ok(tonic::Response::new(self.handler.status(request).await.into()))
    }
}
