//! Plain services: one call, one answer, sent at most once by the client.

pub mod http;

use std::{net, time};

pub use hyper::header::{HeaderName, HeaderValue};
pub use hyper::{HeaderMap, Method, StatusCode};

pub use crate::engine::{Error, Kind};

/// The result of a service call.
pub type Result<T> = std::result::Result<T, Error>;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Identifier that the answer echoes in `X-Request-Id`.
    pub id: &'a str,
    /// The method.
    pub method: &'a Method,
    /// Path and query, as the service sees them.
    pub target: &'a str,
    /// End-to-end headers.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: &'a bytes::Bytes,
    /// Time left until the caller's deadline.
    pub remaining: time::Duration,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: bytes::Bytes,
}

/// Client of plain services.
pub trait Service: Send + Sync + 'static {
    /// Sends a call once and reads the complete answer.
    fn call(
        &self,
        peer: net::SocketAddr,
        call: &Call<'_>,
    ) -> impl Future<Output = Result<Response>> + Send;
}
