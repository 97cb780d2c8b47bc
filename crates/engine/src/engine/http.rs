//! HTTP client of engines.
//!
//! Reads and cancellations may be sent twice; orders, generations and cache imports are sent at
//! most once.

mod request;
mod stream;

use std::{net, sync, time};

use corneltrestle_client::{self as client, body, pool};
use corneltrestle_policy::{keepalive, prefix, report};
use serde::{Deserialize, de::DeserializeOwned};

use super::{Engine, Result};
use crate::engine;

pub use stream::HttpStream;

/// Header with the request id, which the response must repeat.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Limit on the response to a call that neither generates nor exports a KV cache.
const MAX_CONTROL_BYTES: usize = 1_000_000;

/// Limits of an [`HttpEngine`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Time limit of reading cache events and of a cancellation.
    pub timeout: time::Duration,
    /// Time limit of an order and of an export or import of KV cache.
    pub order_timeout: time::Duration,
    /// Time without a new token after which a stream fails; also the limit until its header.
    pub progress_timeout: time::Duration,
    /// Limit on an event of a stream, in bytes.
    pub max_event: usize,
    /// Limit on the body of a response that is not streamed, in bytes.
    pub max_body: usize,
    /// Limit on an exported KV cache, in bytes.
    pub max_cache: usize,
    /// Limits on pooled connections.
    pub pool: pool::Config,
    /// The memory of the node for responses to clients; `None` to hold them without a budget.
    pub memory: Option<body::Memory>,
}

/// HTTP client of engines.
#[derive(Debug)]
pub struct HttpEngine {
    config: Config,
    pool: sync::Arc<pool::Pool>,
}

/// Body of the response to an order.
#[derive(Deserialize)]
struct OrderResponse {
    answer: engine::Answer,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            timeout: time::Duration::from_secs(1),
            order_timeout: time::Duration::from_secs(10),
            progress_timeout: keepalive::Kind::Stream.progress_timeout(),
            max_event: 256 * 1024,
            max_body: 8 * 1024 * 1024,
            max_cache: 256 * 1024 * 1024,
            pool: pool::Config::default(),
            memory: None,
        }
    }
}

impl HttpEngine {
    /// Creates a client, which connects when it is first used.
    pub fn open(config: Config) -> Self {
        let pool = pool::Pool::open(config.pool.clone());
        Self { config, pool }
    }

    /// Makes a call and returns the body of the response, if its status is a success.
    async fn fetch(&self, call: Call) -> Result<bytes::Bytes> {
        let Call { step, peer, request, repeatable, timeout, max_body } = call;
        let fetched = if repeatable {
            let admit = async || Some(());
            self.pool.fetch_repeatable(peer, request, timeout, max_body, admit).await
        } else {
            self.pool.fetch(peer, request, pool::Delivery::Once, timeout, max_body).await
        };
        let response = fetched.map_err(|e| failed(step, peer, e))?;
        check_status(step, peer, response.status())?;
        Ok(response.into_body())
    }

    /// Makes a call that changes nothing and decodes the response.
    async fn read<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        request: client::Result<hyper::Request<http_body_util::Full<bytes::Bytes>>>,
        timeout: time::Duration,
    ) -> Result<T> {
        let request = request.map_err(|e| failed(step, peer, e))?;
        let repeatable = true;
        let call = Call { step, peer, request, repeatable, timeout, max_body: MAX_CONTROL_BYTES };
        decode(step, peer, &self.fetch(call).await?)
    }

    /// Sends a generation and waits at most `timeout` for a response with a status of success. Its
    /// head may repeat the request id, also that of a refusal, and is checked if it does.
    async fn generate(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        generation: &engine::Generate<'_>,
        timeout: time::Duration,
    ) -> Result<hyper::Response<body::Body>> {
        let request = request::generate(generation).map_err(|e| failed(step, peer, e))?;
        let sent = self.pool.send(peer, request, pool::Delivery::Once, timeout).await;
        let response = sent.map_err(|e| failed(step, peer, e))?;
        if response.headers().contains_key(REQUEST_ID) {
            check_request_id(step, peer, &response, generation.id)?;
        }
        check_status(step, peer, response.status())?;
        Ok(response)
    }
}

impl Engine for HttpEngine {
    type Stream = HttpStream;

    async fn report(
        &self,
        peer: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<report::Report> {
        self.read("report", peer, request::get("/v1/report"), timeout).await
    }

    async fn order(
        &self,
        peer: net::SocketAddr,
        order: &engine::Order<'_>,
    ) -> Result<engine::Answer> {
        let step = "order";
        let request = request::order(order).map_err(|e| failed(step, peer, e))?;
        let (repeatable, timeout) = (false, self.config.order_timeout);
        let call = Call { step, peer, request, repeatable, timeout, max_body: MAX_CONTROL_BYTES };
        let body = self.fetch(call).await?;
        decode(step, peer, &body).map(|OrderResponse { answer }| answer)
    }

    async fn cache_events(&self, peer: net::SocketAddr, after: u64) -> Result<Vec<prefix::Event>> {
        let request = request::get(&format!("/v1/cache-events?after={after}"));
        self.read("cache events", peer, request, self.config.timeout).await
    }

    /// Waits at most the progress timeout for the header of the response. Each event repeats the
    /// request id.
    async fn stream(
        &self,
        peer: net::SocketAddr,
        request: &engine::Generate<'_>,
    ) -> Result<HttpStream> {
        let timeout = self.config.progress_timeout;
        let response = self.generate("stream", peer, request, timeout).await?;
        Ok(HttpStream::new(response.into_body(), peer, request, timeout, self.config.max_event))
    }

    /// Waits at most for the remaining time of the request.
    async fn complete(
        &self,
        peer: net::SocketAddr,
        request: &engine::Generate<'_>,
    ) -> Result<bytes::Bytes> {
        let deadline = pool::deadline_after(request.remaining);
        let response = self.generate("complete", peer, request, request.remaining).await?;
        check_request_id("complete", peer, &response, request.id)?;
        let (body, max_body) = (response.into_body(), self.config.max_body);
        let collected = body.collect_for_client(self.config.memory.as_ref(), max_body, deadline);
        collected.await.map_err(|e| failed("complete", peer, e))
    }

    /// A request that the engine no longer knows counts as cancelled.
    async fn cancel(&self, peer: net::SocketAddr, id: &str) -> Result<()> {
        let step = "cancel";
        let request = request::cancel(id).map_err(|e| failed(step, peer, e))?;
        let (repeatable, timeout) = (true, self.config.timeout);
        let call = Call { step, peer, request, repeatable, timeout, max_body: MAX_CONTROL_BYTES };
        match self.fetch(call).await {
            Err(engine::Error { kind: engine::Kind::Refused(404), .. }) => Ok(()),
            result => result.map(drop),
        }
    }

    async fn export(&self, peer: net::SocketAddr, id: &str) -> Result<bytes::Bytes> {
        let step = "export";
        let request = request::export(id).map_err(|e| failed(step, peer, e))?;
        let (repeatable, timeout) = (true, self.config.order_timeout);
        self.fetch(Call {
            step,
            peer,
            request,
            repeatable,
            timeout,
            max_body: self.config.max_cache,
        })
        .await
    }

    async fn import(&self, peer: net::SocketAddr, id: &str, cache: bytes::Bytes) -> Result<()> {
        let step = "import";
        let request = request::import(id, cache).map_err(|e| failed(step, peer, e))?;
        let (repeatable, timeout) = (false, self.config.order_timeout);
        let call = Call { step, peer, request, repeatable, timeout, max_body: MAX_CONTROL_BYTES };
        self.fetch(call).await.map(drop)
    }
}

/// A call whose response is read completely. `step` is the name of the call in errors.
struct Call {
    step: &'static str,
    peer: net::SocketAddr,
    request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
    /// Whether it may take effect twice, see [`pool::Pool::send_repeatable`].
    repeatable: bool,
    /// Time limit of the call, connecting included.
    timeout: time::Duration,
    /// Limit on the body of the response, in bytes.
    max_body: usize,
}

/// Converts an error of the HTTP client, adding the name of the call and the peer.
pub(crate) fn failed(
    step: &'static str,
    peer: net::SocketAddr,
    error: client::Error,
) -> engine::Error {
    let kind = match error.kind {
        client::Kind::NotSent => engine::Kind::NotSent,
        client::Kind::Malformed => engine::Kind::Malformed,
        _ => engine::Kind::Broken,
    };
    engine::Error { kind, step, peer, cause: error.cause }
}

/// Checks that the response repeats the id of the request.
pub(crate) fn check_request_id<B>(
    step: &'static str,
    peer: net::SocketAddr,
    response: &hyper::Response<B>,
    id: &str,
) -> Result<()> {
    if response.headers().get(REQUEST_ID).is_some_and(|found| found.as_bytes() == id.as_bytes()) {
        return Ok(());
    }
    let cause = "the response does not repeat the request id".to_owned();
    Err(engine::Error { kind: engine::Kind::Mismatch, step, peer, cause })
}

/// Checks the status of a response. Engines return client errors and 503 before a call runs; other
/// statuses, 408 among them, leave open whether it has run.
fn check_status(
    step: &'static str,
    peer: net::SocketAddr,
    status: hyper::StatusCode,
) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    let rejected = status.is_client_error() && status != hyper::StatusCode::REQUEST_TIMEOUT;
    let kind = if rejected || status == hyper::StatusCode::SERVICE_UNAVAILABLE {
        engine::Kind::Refused(status.as_u16())
    } else {
        engine::Kind::Broken
    };
    Err(engine::Error { kind, step, peer, cause: format!("status {status}") })
}

fn decode<T: DeserializeOwned>(
    step: &'static str,
    peer: net::SocketAddr,
    body: &[u8],
) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| engine::Error {
        kind: engine::Kind::Malformed,
        step,
        peer,
        cause: e.to_string(),
    })
}
