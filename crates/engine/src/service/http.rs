//! Plain services over HTTP.

use std::{net, sync};

use corneltrestle_client::{self as client, headers, pool};
use hyper::header;
use tokio::time;

use super::{Result, Service};
use crate::{
    engine::http::{self, echoed, failed},
    service,
};

const STEP: &str = "call";

/// Limits of the service client.
#[derive(Clone, Debug)]
pub struct Config {
    /// Largest body of an answer, in bytes.
    pub max_body: usize,
    /// Connections.
    pub pool: pool::Config,
}

/// Client of plain services. It never sends a call twice.
#[derive(Debug)]
pub struct HttpService {
    max_body: usize,
    pool: sync::Arc<pool::Pool>,
}

impl Default for Config {
    fn default() -> Self {
        Self { max_body: 8 * 1024 * 1024, pool: pool::Config::default() }
    }
}

impl HttpService {
    /// Opens a client. It connects on first use.
    pub fn open(config: Config) -> Self {
        Self { max_body: config.max_body, pool: pool::Pool::open(config.pool) }
    }
}

impl Service for HttpService {
    async fn call(
        &self,
        peer: net::SocketAddr,
        call: &service::Call<'_>,
    ) -> Result<service::Response> {
        let failed = |e| failed(STEP, peer, e);
        let until = time::Instant::now() + call.remaining;
        // A call that changes something gets a new connection, so that its effect does not become
        // unknown because the peer closes an idle one.
        let delivery =
            if call.method.is_safe() { pool::Delivery::Once } else { pool::Delivery::OnceFresh };
        let request = request(call).map_err(failed)?;
        let answer =
            self.pool.send(peer, request, delivery, call.remaining).await.map_err(failed)?;
        echoed(STEP, peer, &answer, call.id)?;
        let (head, body) = answer.into_parts();
        let body = body.collect(self.max_body, until).await.map_err(failed)?;
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
    let left = u64::try_from(call.remaining.as_millis()).unwrap_or(u64::MAX);
    request.headers_mut().insert("x-deadline-ms", left.into());
    Ok(request)
}

/// The headers to pass on. The length is that of the body, and the body is sent at once.
fn end_to_end(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    let mut kept = headers.clone();
    headers::remove_hop_by_hop(&mut kept);
    kept.remove(header::CONTENT_LENGTH);
    kept.remove(header::EXPECT);
    kept
}
