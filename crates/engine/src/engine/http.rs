//! Engines over HTTP.

mod request;
mod stream;

use std::{net, sync, time};

use corneltrestle_client::{self as client, body, pool};
use corneltrestle_policy::{keepalive, prefix, report};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::Instant;

use super::{Engine, Result};
use crate::engine;

pub use stream::HttpStream;

/// The header that a request and its answer carry.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Largest answer of a call that does not generate.
const MAX_CONTROL_BYTES: usize = 1_000_000;

/// Limits of the engine client.
#[derive(Clone, Debug)]
pub struct Config {
    /// Longest time for a report, a batch of cache events or a cancellation.
    pub timeout: time::Duration,
    /// Longest time for an order or for moving KV cache.
    pub order_timeout: time::Duration,
    /// Longest time until the next event of a stream.
    pub progress_timeout: time::Duration,
    /// Largest event of a stream, in bytes.
    pub max_event: usize,
    /// Largest body of an answer that is not streamed, in bytes.
    pub max_body: usize,
    /// Largest exported KV cache, in bytes.
    pub max_cache: usize,
    /// Connections.
    pub pool: pool::Config,
}

/// Client of engines.
#[derive(Debug)]
pub struct HttpEngine {
    config: Config,
    pool: sync::Arc<pool::Pool>,
}

/// How an engine answers an order.
#[derive(Deserialize)]
struct OrderAnswer {
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
        }
    }
}

impl HttpEngine {
    /// Opens a client. It connects on first use.
    pub fn open(config: Config) -> Self {
        let pool = pool::Pool::open(config.pool.clone());
        Self { config, pool }
    }

    async fn fetch(&self, call: Call) -> Result<bytes::Bytes> {
        let Call { step, peer, request, delivery, limit, max } = call;
        let fetched = self.pool.fetch(peer, request, delivery, limit, max).await;
        let answer = fetched.map_err(|e| failed(step, peer, e))?;
        accepted(step, peer, answer.status())?;
        Ok(answer.into_body())
    }

    async fn read<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        request: client::Result<hyper::Request<http_body_util::Full<bytes::Bytes>>>,
    ) -> Result<T> {
        let request = request.map_err(|e| failed(step, peer, e))?;
        let (delivery, limit) = (pool::Delivery::Repeatable, self.config.timeout);
        let call = Call { step, peer, request, delivery, limit, max: MAX_CONTROL_BYTES };
        decode(step, peer, &self.fetch(call).await?)
    }

    /// Sends a generation and checks the status of the answer.
    async fn generate(
        &self,
        step: &'static str,
        peer: net::SocketAddr,
        wanted: &engine::Generate<'_>,
        limit: time::Duration,
    ) -> Result<hyper::Response<body::Body>> {
        let request = request::generate(wanted).map_err(|e| failed(step, peer, e))?;
        let sent = self.pool.send(peer, request, pool::Delivery::Once, limit).await;
        let answer = sent.map_err(|e| failed(step, peer, e))?;
        accepted(step, peer, answer.status())?;
        Ok(answer)
    }
}

impl Engine for HttpEngine {
    type Stream = HttpStream;

    async fn report(&self, peer: net::SocketAddr) -> Result<report::Report> {
        self.read("report", peer, request::get("/v1/report")).await
    }

    async fn order(
        &self,
        peer: net::SocketAddr,
        order: &engine::Order<'_>,
    ) -> Result<engine::Answer> {
        let step = "order";
        let request = request::order(order).map_err(|e| failed(step, peer, e))?;
        let (delivery, limit) = (pool::Delivery::Once, self.config.order_timeout);
        let call = Call { step, peer, request, delivery, limit, max: MAX_CONTROL_BYTES };
        let body = self.fetch(call).await?;
        decode(step, peer, &body).map(|OrderAnswer { answer }| answer)
    }

    async fn cache_events(&self, peer: net::SocketAddr, after: u64) -> Result<Vec<prefix::Event>> {
        let request = request::get(&format!("/v1/cache-events?after={after}"));
        self.read("cache events", peer, request).await
    }

    /// Waits at most the progress limit for the head of the answer. The events echo the request id;
    /// the head may do so, too.
    async fn stream(
        &self,
        peer: net::SocketAddr,
        request: &engine::Generate<'_>,
    ) -> Result<HttpStream> {
        let limit = self.config.progress_timeout;
        let answer = self.generate("stream", peer, request, limit).await?;
        if answer.headers().contains_key(REQUEST_ID) {
            echoed("stream", peer, &answer, request.id)?;
        }
        Ok(HttpStream::new(answer.into_body(), peer, request, limit, self.config.max_event))
    }

    /// Waits at most until the deadline of the request.
    async fn complete(
        &self,
        peer: net::SocketAddr,
        request: &engine::Generate<'_>,
    ) -> Result<bytes::Bytes> {
        let until = Instant::now() + request.remaining;
        let answer = self.generate("complete", peer, request, request.remaining).await?;
        echoed("complete", peer, &answer, request.id)?;
        let collected = answer.into_body().collect(self.config.max_body, until).await;
        collected.map_err(|e| failed("complete", peer, e))
    }

    /// A request that the engine does not know any more counts as cancelled.
    async fn cancel(&self, peer: net::SocketAddr, id: &str) -> Result<()> {
        let step = "cancel";
        let request = request::cancel(id).map_err(|e| failed(step, peer, e))?;
        let (delivery, limit) = (pool::Delivery::Repeatable, self.config.timeout);
        let call = Call { step, peer, request, delivery, limit, max: MAX_CONTROL_BYTES };
        match self.fetch(call).await {
            Err(engine::Error { kind: engine::Kind::Refused(404), .. }) => Ok(()),
            answer => answer.map(drop),
        }
    }

    async fn export(&self, peer: net::SocketAddr, id: &str) -> Result<bytes::Bytes> {
        let step = "export";
        let request = request::export(id).map_err(|e| failed(step, peer, e))?;
        let (delivery, limit) = (pool::Delivery::Repeatable, self.config.order_timeout);
        self.fetch(Call { step, peer, request, delivery, limit, max: self.config.max_cache }).await
    }

    async fn import(&self, peer: net::SocketAddr, id: &str, cache: bytes::Bytes) -> Result<()> {
        let step = "import";
        let request = request::import(id, cache).map_err(|e| failed(step, peer, e))?;
        let (delivery, limit) = (pool::Delivery::Once, self.config.order_timeout);
        let call = Call { step, peer, request, delivery, limit, max: MAX_CONTROL_BYTES };
        self.fetch(call).await.map(drop)
    }
}

/// A call whose answer is read whole.
struct Call {
    step: &'static str,
    peer: net::SocketAddr,
    request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
    delivery: pool::Delivery,
    limit: time::Duration,
    max: usize,
}

/// Adds the step and the peer to an error of the connection.
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

/// Checks that the answer echoes the request's id.
pub(crate) fn echoed<B>(
    step: &'static str,
    peer: net::SocketAddr,
    answer: &hyper::Response<B>,
    id: &str,
) -> Result<()> {
    if answer.headers().get(REQUEST_ID).is_some_and(|echo| echo.as_bytes() == id.as_bytes()) {
        return Ok(());
    }
    let cause = "the answer does not echo the request id".to_owned();
    Err(engine::Error { kind: engine::Kind::Mismatch, step, peer, cause })
}

/// Client errors and 503 are answered before a call runs; other statuses say nothing about that.
fn accepted(step: &'static str, peer: net::SocketAddr, status: hyper::StatusCode) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    let refused = status.is_client_error() && status != hyper::StatusCode::REQUEST_TIMEOUT;
    let kind = if refused || status == hyper::StatusCode::SERVICE_UNAVAILABLE {
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
