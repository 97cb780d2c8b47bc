//! Requests written byte by byte, and the answers to them.

use std::net::SocketAddr;
use std::time::Duration;

use corneltrestle_wire::openai;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time for an answer or the end of a connection.
const LIMIT: Duration = Duration::from_secs(30);

/// An answer of the front end.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: u16,
    head: String,
    body: String,
}

/// A request that closes its connection; the length is that of the body unless a header gives it.
pub(crate) fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let named = |wanted: &str| headers.iter().any(|(name, _)| name.eq_ignore_ascii_case(wanted));
    if !named("content-length") && !named("transfer-encoding") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Sends bytes and reads until the front end closes the connection.
pub(crate) async fn exchange(peer: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    let mut socket = TcpStream::connect(peer).await.unwrap();
    // The front end may answer and close before it has read everything.
    let _ = socket.write_all(bytes).await;
    answer(&mut socket).await
}

/// The answer on a connection; `None` if it is closed without one.
pub(crate) async fn answer(socket: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    // A reset after the answer is as good as a close.
    let read = tokio::time::timeout(LIMIT, socket.read_to_end(&mut bytes)).await;
    let _ = read.expect("the connection is neither answered nor closed");
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head: head.to_lowercase(), body: body.to_owned() })
}

impl Answer {
    /// Guards the form of a refusal: status, code, outcome and request id.
    pub(crate) fn expect(&self, status: u16, code: &str) {
        assert_eq!(self.status, status, "{self:?}");
        assert!(self.head.contains("corneltrestle-outcome: not-run"), "{self:?}");
        assert!(self.head.contains("x-request-id: "), "{self:?}");
        let body: openai::ErrorBody<'_> = serde_json::from_str(&self.body).expect(&self.body);
        assert_eq!(body.error.code, code, "{self:?}");
        assert!(!body.error.message.is_empty() && !body.error.step.is_empty(), "{self:?}");
    }
}
