//! A TCP stream that fails once it has received more bytes than are allowed.

use std::{
    io, pin,
    sync::{self, atomic},
    task,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
};

/// Bytes that may still be received; shared with the owner of the connection.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(sync::Arc<atomic::AtomicUsize>);

impl Allowance {
    /// Allows `bytes` bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        Self(sync::Arc::new(atomic::AtomicUsize::new(bytes)))
    }

    /// Allows `bytes` more bytes from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, atomic::Ordering::Relaxed);
    }

    /// Bytes that may still be received.
    pub(crate) fn left(&self) -> usize {
        self.0.load(atomic::Ordering::Relaxed)
    }

    /// Takes `bytes` from the allowance; returns whether it was large enough.
    fn take(&self, bytes: usize) -> bool {
        let left = self.left();
        self.set(left.saturating_sub(bytes));
        bytes <= left
    }
}

/// A TCP stream with an allowance for what it receives.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) stream: net::TcpStream,
    pub(crate) allowance: Allowance,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        task::ready!(pin::Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let is_allowed = self.allowance.take(buf.filled().len() - before);
        let too_long = || io::Error::new(io::ErrorKind::InvalidData, "the response has no end");
        task::Poll::Ready(if is_allowed { Ok(()) } else { Err(too_long()) })
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
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
