//! Refusals on connections that never carry a complete request header.
//!
//! The service is not called for such a connection, and hyper closes it without a response when a
//! header timeout ends it. The refusal is therefore written to the TCP stream directly.

use std::{
    io::{self, Write},
    pin, task,
};

use corneltrestle_kernel::{linkme, metric};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
};
use tokio_util::sync::CancellationToken;

use crate::refuse::{Cause, Refuse};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static TIMED_OUT: metric::Metric = metric::Metric::counter(
    "connections_timed_out_total",
    "Connections that ended inside their first header, and were refused with status 408.",
);

/// A TCP stream that sends a refusal when it is dropped inside its first header: bytes were read, no
/// request was handed to the service, and hyper has not answered by itself.
///
/// That nothing was written would not be enough: a request may be handled, and have run, when its
/// connection ends without an answer.
#[derive(Debug)]
pub(crate) struct Socket<R: Refuse> {
    /// Name of the front end.
    name: &'static str,
    stream: net::TcpStream,
    refuse: R,
    /// Cancelled by the first request of the connection.
    begun: CancellationToken,
    has_read: bool,
    has_written: bool,
}

impl<R: Refuse> Socket<R> {
    pub(crate) fn new(
        name: &'static str,
        stream: net::TcpStream,
        refuse: R,
        begun: CancellationToken,
    ) -> Self {
        Self { name, stream, refuse, begun, has_read: false, has_written: false }
    }
}

impl<R: Refuse> Drop for Socket<R> {
    fn drop(&mut self) {
        if self.has_read && !self.has_written && !self.begun.is_cancelled() {
            metrics::counter!(TIMED_OUT.name, "part" => self.name).increment(1);
            log::info!("{}: connection closed inside its first header", self.name);
            // Best effort: the caller may have closed the connection already.
            let _ = self.stream.try_write(&self.refuse.raw_response(Cause::HeaderTimeout));
        }
    }
}

/// Refuses a connection beyond [`Limits::max_connections`](crate::Limits::max_connections) and
/// closes it. The write does not block, so that a slow caller cannot hold up the accept loop.
pub(crate) fn refuse<R: Refuse>(stream: net::TcpStream, refuse: &R) {
    if let Ok(mut stream) = stream.into_std() {
        let _ = stream.write(&refuse.raw_response(Cause::TooManyConnections));
    }
}

impl<R: Refuse> AsyncRead for Socket<R> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        self.has_read |= buf.filled().len() > before;
        read
    }
}

impl<R: Refuse> AsyncWrite for Socket<R> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.has_written = true;
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.has_written = true;
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
