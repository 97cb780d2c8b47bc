//! HTTP client of plain services.

use std::{net, sync};

use corneltrestle_client::{self as client, body, headers, pool};
use hyper::header;

use super::{Result, Service};
use crate::{
    engine::http::{self, check_request_id, failed},
    service,
};

const STEP: &str = "call";

/// Limits of an [`HttpService`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Limit on the body of a response, in bytes.
    pub max_body: usize,
    /// Limits on pooled connections.
    pub pool: pool::Config,
    /// The memory of the node for responses to clients; `None` to hold them without a budget.
    pub memory: Option<body::Memory>,
}

/// HTTP client of plain services. It never sends a call twice.
#[derive(Debug)]
pub struct HttpService {
    max_body: usize,
    pool: sync::Arc<pool::Pool>,
    memory: Option<body::Memory>,
}

impl Default for Config {
    fn default() -> Self {
        Self { max_body: 8 * 1024 * 1024, pool: pool::Config::default(), memory: None }
    }
}

impl HttpService {
    /// Creates a client, which connects when it is first used.
    pub fn open(config: Config) -> Self {
        let Config { max_body, pool, memory } = config;
        Self { max_body, pool: pool::Pool::open(pool), memory }
    }
}

impl Service for HttpService {
    async fn call(
        &self,
        peer: net::SocketAddr,
        call: &service::Call<'_>,
    ) -> Result<service::Response> {
        let failed = |e| failed(STEP, peer, e);
        let deadline = pool::deadline_after(call.remaining);
        // A call that is not safe gets a new connection. The peer may close an idle one while the
        // call is being sent, which would leave its effect unknown.
        let delivery =
            if call.method.is_safe() { pool::Delivery::Once } else { pool::Delivery::OnceFresh };
        let request = request(call).map_err(failed)?;
        let response =
            self.pool.send(peer, request, delivery, call.remaining).await.map_err(failed)?;
        check_request_id(STEP, peer, &response, call.id)?;
        let (head, body) = response.into_parts();
        let memory = self.memory.as_ref();
        let body =
            body.collect_for_client(memory, self.max_body, deadline).await.map_err(failed)?;
        let mut headers = head.headers;
        headers::remove_hop_by_hop(&mut headers);
        Ok(service::Response { status: head.status, headers, body })
    }
}

fn request(
    call: &service::Call<'_>,
) -> client::Result<hyper::Request<http_body_util::Full<bytes::Bytes>>> {
    let body = http_body_util::Full::new(call.body.clone());
    let mut request = hyper::Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.parse().map_err(client::Error::invalid)?;
    *request.headers_mut() = end_to_end(call.headers);
    let id = header::HeaderValue::from_str(call.id).map_err(client::Error::invalid)?;
    request.headers_mut().insert(http::REQUEST_ID, id);
    let deadline_ms = u64::try_from(call.remaining.as_millis()).unwrap_or(u64::MAX);
    request.headers_mut().insert("x-deadline-ms", deadline_ms.into());
    Ok(request)
}

/// The headers to forward. The HTTP client sets `Content-Length` from the body, and `Expect` has no
/// use because the body is sent without waiting.
fn end_to_end(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    let mut forwarded = headers.clone();
    headers::remove_hop_by_hop(&mut forwarded);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded.remove(header::EXPECT);
    forwarded
}
