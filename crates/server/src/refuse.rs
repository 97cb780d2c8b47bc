//! Answers that a server gives without asking its service.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

/// Why a connection ends without a complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The header did not arrive whole in time.
    HeaderTimeout,
    /// The server has too many connections.
    TooManyConnections,
}

/// Refusals in the form of a front end.
pub trait Refuse: Clone + Send + Sync + Unpin + 'static {
    /// Bodies of answers.
    type Body;

    /// The answer to a request whose header exceeds a limit; `message` names the limit.
    fn header_too_large(&self, message: &str) -> hyper::Response<Self::Body>;

    /// A complete HTTP/1.1 answer as bytes, for a connection on which there is no request.
    fn raw_response(&self, cause: Cause) -> Vec<u8>;
}

/// Refusals without a body.
#[derive(Clone, Copy, Debug)]
pub struct Empty;

impl Refuse for Empty {
    type Body = Full<Bytes>;

    fn header_too_large(&self, _: &str) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        response
    }

    fn raw_response(&self, cause: Cause) -> Vec<u8> {
        let status = match cause {
            Cause::HeaderTimeout => "408 Request Timeout",
            Cause::TooManyConnections => "503 Service Unavailable",
        };
        format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").into_bytes()
    }
}
