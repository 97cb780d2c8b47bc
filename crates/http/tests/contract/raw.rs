//! Sends requests as raw bytes and reads the responses to them.

use std::net::SocketAddr;
use std::time::Duration;

use corneltrestle_wire::openai;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limit of receiving a response or the end of a connection.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A response of the front end.
#[derive(Debug)]
pub(crate) struct Response {
    pub status: u16,
    head: String,
    body: String,
}

/// A request with `Connection: close`. `Content-Length` is added unless a header states the length.
pub(crate) fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let has_header =
        |wanted: &str| headers.iter().any(|(name, _)| name.eq_ignore_ascii_case(wanted));
    if !has_header("content-length") && !has_header("transfer-encoding") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Sends bytes and reads until the front end closes the connection.
pub(crate) async fn exchange(peer: SocketAddr, bytes: &[u8]) -> Option<Response> {
    let mut socket = TcpStream::connect(peer).await.unwrap();
    // The front end may respond and close the connection before it has read everything.
    let _ = socket.write_all(bytes).await;
    response(&mut socket).await
}

/// Reads the response on a connection; `None` if the connection is closed without one.
pub(crate) async fn response(socket: &mut TcpStream) -> Option<Response> {
    let mut bytes = Vec::new();
    // A reset after the response counts as a close.
    let read = tokio::time::timeout(TIMEOUT, socket.read_to_end(&mut bytes)).await;
    let _ = read.expect("the connection got no response and was not closed");
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, head: head.to_lowercase(), body: body.to_owned() })
}

impl Response {
    /// Asserts that this is a complete refusal: status, code, outcome, request id, message and
    /// step.
    pub(crate) fn expect_refusal(&self, status: u16, code: &str) {
        assert_eq!(self.status, status, "{self:?}");
        assert!(self.head.contains("corneltrestle-outcome: not-run"), "{self:?}");
        assert!(self.head.contains("x-request-id: "), "{self:?}");
        let body: openai::ErrorBody<'_> = serde_json::from_str(&self.body).expect(&self.body);
        assert_eq!(body.error.code, code, "{self:?}");
        assert!(!body.error.message.is_empty() && !body.error.step.is_empty(), "{self:?}");
    }
}
