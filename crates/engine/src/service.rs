//! Calls to plain services: one request with one complete response. The client sends a call at most
//! once.

pub mod http;

use std::{net, time};

pub use hyper::header::{HeaderName, HeaderValue};
pub use hyper::{HeaderMap, Method, StatusCode};

pub use crate::engine::{Error, Kind};

/// The result of a service call.
pub type Result<T> = std::result::Result<T, Error>;

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Request id, which the response must repeat in `X-Request-Id`.
    pub id: &'a str,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query, without the prefix under which the service is offered.
    pub target: &'a str,
    /// Headers; the client removes hop-by-hop headers before it sends them.
    pub headers: &'a HeaderMap,
    /// The complete body.
    pub body: &'a bytes::Bytes,
    /// Time remaining until the deadline of the call.
    pub remaining: time::Duration,
}

/// A complete response of a plain service, whatever its status.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: bytes::Bytes,
}

/// Client of plain services.
pub trait Service: Send + Sync + 'static {
    /// Sends a call to the service at `peer`, at most once, and reads the complete response.
    fn call(
        &self,
        peer: net::SocketAddr,
        call: &Call<'_>,
    ) -> impl Future<Output = Result<Response>> + Send;
}
