//! Minimal HTTP client for calls to nodes and stand-ins; each call opens a connection.

use std::{net, time};

use http_body_util::BodyExt;
use hyper::{body, header};
use hyper_util::rt;

use crate::Result;

/// Limit on the time of one [`Client::call`].
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Limit on the size of the body that [`Client::call`] reads.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Client of one address that authenticates with one key or token.
#[derive(Clone, Debug)]
pub struct Client {
    address: net::SocketAddr,
    key: String,
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: hyper::StatusCode,
    /// HTTP headers.
    pub headers: header::HeaderMap,
    /// The complete body.
    pub body: bytes::Bytes,
}

/// A response whose body is read in parts, as they arrive.
#[derive(Debug)]
pub struct StreamedResponse {
    response: hyper::Response<body::Incoming>,
    address: net::SocketAddr,
}

impl Client {
    /// A client of `address` that sends `key`, an organisation's key or the operators' token, as bearer
    /// token.
    pub fn new(address: net::SocketAddr, key: &str) -> Self {
        Self { address, key: key.to_owned() }
    }

    /// Sends a request and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// When the complete response does not arrive within 60 s, or is larger than 16 MiB.
    pub async fn call(
        &self,
        method: hyper::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Response> {
        let response = async {
            let response = self.send(method, path, headers, body).await?.response;
            let (parts, incoming) = response.into_parts();
            let body = http_body_util::Limited::new(incoming, MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| self.failed("read response", e))?
                .to_bytes();
            Ok(Response { status: parts.status, headers: parts.headers, body })
        };
        tokio::time::timeout(CALL_TIMEOUT, response)
            .await
            .map_err(|_| self.failed("call", "no complete response in time"))?
    }

    /// Sends a request and returns when the headers of the response have arrived; the body is read by
    /// [`StreamedResponse::next`]. There is no time limit.
    ///
    /// # Errors
    ///
    /// When the connection fails before the headers arrive.
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
            .header(header::HOST, self.address.to_string())
            .header(header::AUTHORIZATION, bearer);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(http_body_util::Full::new(bytes::Bytes::from(body)))
            .map_err(|e| self.failed("call", e))?;
        let socket = tokio::net::TcpStream::connect(self.address)
            .await
            .map_err(|e| self.failed("connect", e))?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(rt::TokioIo::new(socket))
                .await
                .map_err(|e| self.failed("connect", e))?;
        tokio::spawn(connection);
        let response = sender.send_request(request).await.map_err(|e| self.failed("call", e))?;
        Ok(StreamedResponse { response, address: self.address })
    }

    fn failed(&self, step: &'static str, cause: impl ToString) -> crate::Error {
        crate::Error::Call { step, address: self.address.to_string(), cause: cause.to_string() }
    }
}

impl StreamedResponse {
    /// HTTP status.
    pub fn status(&self) -> hyper::StatusCode {
        self.response.status()
    }

    /// HTTP headers.
    pub fn headers(&self) -> &header::HeaderMap {
        self.response.headers()
    }

    /// The next part of the body; `None` after the end of a complete body.
    ///
    /// # Errors
    ///
    /// When the connection ends before the body is complete.
    pub async fn next(&mut self) -> Result<Option<bytes::Bytes>> {
        while let Some(frame) = self.response.body_mut().frame().await {
            let frame = frame.map_err(|e| crate::Error::Call {
                step: "read response",
                address: self.address.to_string(),
                cause: e.to_string(),
            })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}
