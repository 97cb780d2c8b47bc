//! Answers on connections that never carry a complete header.

use std::{
    io::{self, Write},
    pin, task,
};

use corneltrestle_node::pipeline::refusal;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
};

use crate::answer;

/// A connection that is answered when it ends after a part of a first header.
#[derive(Debug)]
pub(super) struct Socket {
    socket: net::TcpStream,
    has_read: bool,
    has_written: bool,
}

impl Socket {
    pub(super) fn new(socket: net::TcpStream) -> Self {
        Self { socket, has_read: false, has_written: false }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.has_read && !self.has_written {
            let message = "the header of the request did not arrive whole in time";
            let refusal =
                refusal::Refusal::not_run(refusal::Code::RequestTimeout, "receive", message);
            // A caller that has left cannot be told.
            let _ = self.socket.try_write(&whole("408 Request Timeout", &refusal));
        }
    }
}

/// Refuses a connection beyond the limit; nothing waits for the caller.
pub(super) fn refuse(socket: net::TcpStream) {
    let message = "the node has too many connections";
    let refusal = refusal::Refusal::not_run(refusal::Code::Overloaded, "accept", message);
    if let Ok(mut socket) = socket.into_std() {
        let _ = socket.write(&whole("503 Service Unavailable", &refusal));
    }
}

/// A complete answer as bytes, for connections on which hyper has no request to answer.
fn whole(status: &str, refusal: &refusal::Refusal) -> Vec<u8> {
    let body = serde_json::to_vec(&answer::error_body(refusal)).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         {}: {}\r\n{}: {:032x}\r\nconnection: close\r\n\r\n",
        body.len(),
        answer::OUTCOME,
        refusal.outcome.as_str(),
        answer::REQUEST_ID,
        rand::random::<u128>(),
    );
    [head.into_bytes(), body].concat()
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = pin::Pin::new(&mut self.socket).poll_read(cx, buf);
        self.has_read |= buf.filled().len() > before;
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.has_written = true;
        pin::Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.has_written = true;
        pin::Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
