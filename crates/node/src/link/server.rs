//! The gRPC server that answers the calls of peers.

use std::{net, sync, time};

use corneltrestle_rpc::incoming;
use corneltrestle_wire::link::{self as wire, self, generated};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::{async_trait, service::interceptor, transport};

use super::{Error, Handler, Result, secret};

/// Interval of HTTP/2 pings, which detect a lost peer on an idle connection.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Time limit of the response to a ping, after which the connection is closed.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time limit of a call; callers give up earlier.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Limit of calls in progress on one connection.
const MAX_CONCURRENT_CALLS: u32 = 32;

/// Limit of the size of a call's headers.
const MAX_HEADER_BYTES: u32 = 8 * 1024;

/// Time that calls in progress get to finish after the stop.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Answers the calls of peers until `stop` is cancelled; then calls in progress finish.
///
/// Calls with a missing or wrong secret are refused before their message is read.
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
        .timeout(CALL_TIMEOUT)
        .max_concurrent_streams(MAX_CONCURRENT_CALLS)
        .http2_max_header_list_size(MAX_HEADER_BYTES)
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .add_service(interceptor::InterceptedService::new(service, secret))
        .serve_with_incoming_shutdown(
            incoming::connections(listener),
            stop.clone().cancelled_owned(),
        );
    let limit = async {
        stop.cancelled().await;
        tokio::time::sleep(DRAIN_TIMEOUT).await;
    };
    tokio::select! {
        ended = server => ended.map_err(|e| Error::Server { address, cause: e.to_string() }),
        () = limit => Ok(()),
    }
}

/// Translates between the generated messages and the types of a handler.
struct Service<H> {
    handler: sync::Arc<H>,
}

type Reply<T> = std::result::Result<tonic::Response<T>, tonic::Status>;

fn decode<A, B>(request: tonic::Request<A>) -> std::result::Result<B, tonic::Status>
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
    ) -> Reply<generated::Digest> {
        let request: link::PullRequest = decode(request)?;
        Ok(tonic::Response::new(self.handler.pull(&request).await.into()))
    }

    async fn push(&self, request: tonic::Request<generated::News>) -> Reply<generated::Ack> {
        let update: link::Update = decode(request)?;
        Ok(tonic::Response::new(self.handler.push(&update).await.into()))
    }

    async fn fetch(
        &self,
        request: tonic::Request<generated::FetchRequest>,
    ) -> Reply<generated::Value> {
        let request: link::FetchRequest = decode(request)?;
        Ok(tonic::Response::new(self.handler.fetch(&request).await.into()))
    }

    async fn counts(
        &self,
        request: tonic::Request<generated::CountsRequest>,
    ) -> Reply<generated::CountsReply> {
        let request = request.into_inner().into();
        Ok(tonic::Response::new(self.handler.counts(request).await.into()))
    }

    async fn acquire(
        &self,
        request: tonic::Request<generated::SlotRequest>,
    ) -> Reply<generated::SlotReply> {
        let request: link::SlotRequest = decode(request)?;
        let loan = self.handler.acquire(&request).await.unwrap_or_default();
        Ok(tonic::Response::new(generated::SlotReply { loan }))
    }

    async fn release(
        &self,
        request: tonic::Request<generated::SlotRelease>,
    ) -> Reply<generated::SlotReleased> {
        self.handler.release(request.into_inner().loan).await;
        Ok(tonic::Response::new(generated::SlotReleased {}))
    }

    async fn status(
        &self,
        request: tonic::Request<generated::StatusRequest>,
    ) -> Reply<generated::StatusReply> {
        let request = request.into_inner().into();
        Ok(tonic::Response::new(self.handler.status(request).await.into()))
    }
}
