//! Connections that never carry a complete header.

use std::{
    io::{self, Write},
    pin, task,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
};

use crate::refuse::{Cause, Refuse};

/// A connection that is answered when it ends after a part of a first header.
#[derive(Debug)]
pub(crate) struct Socket<R: Refuse> {
    socket: net::TcpStream,
    refuse: R,
    has_read: bool,
    has_written: bool,
}

impl<R: Refuse> Socket<R> {
    pub(crate) fn new(socket: net::TcpStream, refuse: R) -> Self {
        Self { socket, refuse, has_read: false, has_written: false }
    }
}

impl<R: Refuse> Drop for Socket<R> {
    fn drop(&mut self) {
        if self.has_read && !self.has_written {
            // A caller that has left cannot be told.
            let _ = self.socket.try_write(&self.refuse.raw_response(Cause::HeaderTimeout));
        }
    }
}

/// Refuses a connection beyond the limit; nothing waits for the caller.
pub(crate) fn refuse<R: Refuse>(socket: net::TcpStream, refuse: &R) {
    if let Ok(mut socket) = socket.into_std() {
        let _ = socket.write(&refuse.raw_response(Cause::TooManyConnections));
    }
}

impl<R: Refuse> AsyncRead for Socket<R> {
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

impl<R: Refuse> AsyncWrite for Socket<R> {
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
