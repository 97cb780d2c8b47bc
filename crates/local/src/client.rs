//! A small HTTP client for calls to nodes.

use std::{net, time};

use http_body_util::BodyExt;
use hyper::{body, header};
use hyper_util::rt;

use crate::Result;

/// Longest time for one call.
const CALL_TIME: time::Duration = time::Duration::from_secs(60);
/// Largest answer in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Calls one address with one key or token.
#[derive(Clone, Debug)]
pub struct Client {
    peer: net::SocketAddr,
    key: String,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: hyper::StatusCode,
    /// The headers.
    pub headers: header::HeaderMap,
    /// The complete body.
    pub body: bytes::Bytes,
}

/// An answer whose body arrives in parts.
#[derive(Debug)]
pub struct StreamedResponse {
    response: hyper::Response<body::Incoming>,
    peer: net::SocketAddr,
}

impl Client {
    /// A caller of `peer` that sends `key`.
    pub fn new(peer: net::SocketAddr, key: &str) -> Self {
        Self { peer, key: key.to_owned() }
    }

    /// Sends a request on a connection of its own and reads the complete answer.
    ///
    /// # Errors
    ///
    /// When the answer does not arrive whole.
    pub async fn call(
        &self,
        method: hyper::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Response> {
        let whole = async {
            let response = self.send(method, path, headers, body).await?.response;
            let (parts, incoming) = response.into_parts();
            let body = http_body_util::Limited::new(incoming, ANSWER_MAX_BYTES)
                .collect()
                .await
                .map_err(|e| self.failed("read answer", e))?
                .to_bytes();
            Ok(Response { status: parts.status, headers: parts.headers, body })
        };
        tokio::time::timeout(CALL_TIME, whole)
            .await
            .map_err(|_| self.failed("call", "no complete answer in time"))?
    }

    /// Sends a request on a connection of its own; the body is read by [`StreamedResponse::next`].
    ///
    /// # Errors
    ///
    /// When no answer begins.
    pub async fn send(
        &self,
        method: hyper::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<StreamedResponse> {
        let mut bearer = header::HeaderValue::try_from(format!("Bearer {}", self.key))
            .map_err(|e| self.failed("call", e))?;
        bearer.set_sensitive(true);
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.peer.to_string())
            .header(header::AUTHORIZATION, bearer);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(http_body_util::Full::new(bytes::Bytes::from(body)))
            .map_err(|e| self.failed("call", e))?;
        let socket = tokio::net::TcpStream::connect(self.peer)
            .await
            .map_err(|e| self.failed("connect", e))?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(rt::TokioIo::new(socket))
                .await
                .map_err(|e| self.failed("connect", e))?;
        tokio::spawn(connection);
        let response = sender.send_request(request).await.map_err(|e| self.failed("call", e))?;
        Ok(StreamedResponse { response, peer: self.peer })
    }

    fn failed(&self, step: &'static str, cause: impl ToString) -> crate::Error {
        crate::Error::Call { step, peer: self.peer.to_string(), cause: cause.to_string() }
    }
}

impl StreamedResponse {
    /// The status.
    pub fn status(&self) -> hyper::StatusCode {
        self.response.status()
    }

    /// The headers.
    pub fn headers(&self) -> &header::HeaderMap {
        self.response.headers()
    }

    /// The next part of the body, or `None` after a complete body.
    ///
    /// # Errors
    ///
    /// When the body is cut off.
    pub async fn next(&mut self) -> Result<Option<bytes::Bytes>> {
        while let Some(frame) = self.response.body_mut().frame().await {
            let frame = frame.map_err(|e| crate::Error::Call {
                step: "read answer",
                peer: self.peer.to_string(),
                cause: e.to_string(),
            })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}
