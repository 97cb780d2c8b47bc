//! Responses that a server sends itself, without calling its service.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};

/// Why the server closes a connection that has carried no complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection ended inside its first header, usually by the header timeout.
    HeaderTimeout,
    /// The server has reached its limit of connections.
    TooManyConnections,
    /// The node has no memory for the connection or for the header of its request.
    NoMemory,
}

/// Builds refusals in the error format of a front end.
pub trait Refuse: Clone + Send + Sync + Unpin + 'static {
    /// Body type of the responses, the same as that of the front end's service.
    type Body;

    /// The response to a request whose header exceeds a limit; `message` states the limit.
    fn header_too_large(&self, message: &str) -> hyper::Response<Self::Body>;

    /// A complete HTTP/1.1 response as bytes, for a connection that has carried no request.
    fn raw_response(&self, cause: Cause) -> Vec<u8>;
}

/// Refusals that consist of a status and an empty body.
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
            Cause::TooManyConnections | Cause::NoMemory => "503 Service Unavailable",
        };
        let retry_after = match cause {
            Cause::HeaderTimeout => "",
            Cause::TooManyConnections | Cause::NoMemory => "retry-after: 1\r\n",
        };
        format!("HTTP/1.1 {status}\r\n{retry_after}content-length: 0\r\nconnection: close\r\n\r\n")
            .into_bytes()
    }
}
