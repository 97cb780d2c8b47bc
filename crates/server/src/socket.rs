//! Refusals on connections that never carry a complete request header.
//!
//! The service is not called for such a connection, and hyper closes it without a response when a
//! header timeout ends it. The refusal is therefore written to the TCP stream directly.

use std::{
    io::{self, Write},
    pin, sync, task, time,
};

use corneltrestle_kernel::{host, linkme, metric};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf, Take},
    net,
};

use crate::{
    connection::Connection,
    refuse::{Cause, Refuse},
    unread,
};

/// Most bytes that hyper gets by one read. Its buffer has 8 KB, and is doubled, up to the limit on
/// headers, when a read fills it; the budget does not count that.
const MAX_READ_BYTES: u64 = 8 * 1024 - 1;

/// Time for a client to read its refusal and to close the connection.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Most bytes that are read and dropped of a refused request: a body of the largest size in the
/// deployments, whose client may read the response only after it has sent all of it.
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Size of the buffer for bytes that are dropped.
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

/// Beginning of an HTTP/2 connection (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static TIMED_OUT: metric::Metric = metric::Metric::counter(
    "connections_timed_out_total",
    "Connections that ended inside their first header, and were refused with status 408.",
);

/// A TCP stream that sends a refusal when it is dropped inside its first header: bytes were read, no
/// request was handed to the service, and hyper has not answered by itself. It also sends one when the
/// memory budget ends it inside a header, or before the first one.
///
/// That nothing was written would not be enough: a request may be handled, and have run, when its
/// connection ends without an answer.
#[derive(Debug)]
pub(crate) struct Socket<R: Refuse> {
    /// Name of the front end.
    name: &'static str,
    /// Present until the socket is dropped.
    stream: Option<Take<net::TcpStream>>,
    refuse: R,
    host: sync::Arc<host::Host>,
    connection: sync::Arc<Connection>,
    unread: unread::Guard,
    /// Bytes that were read and counted, and are to be read again.
    put_back: bytes::Bytes,
    has_read: bool,
    has_written: bool,
}

impl<R: Refuse> Socket<R> {
    pub(crate) fn new(
        name: &'static str,
        stream: net::TcpStream,
        refuse: R,
        host: sync::Arc<host::Host>,
        connection: sync::Arc<Connection>,
        read_timeout: time::Duration,
    ) -> Self {
        let (owner, state) = (sync::Arc::clone(&host), sync::Arc::clone(&connection));
        let unread = unread::Guard::new(name, owner, state, read_timeout, &stream);
        let stream = Some(stream.take(MAX_READ_BYTES));
        let (put_back, has_read, has_written) = (bytes::Bytes::new(), false, false);
        Self { name, stream, refuse, host, connection, unread, put_back, has_read, has_written }
    }

    /// Name of the front end.
    pub(crate) fn name(&self) -> &'static str {
        self.name
    }

    /// The host whose memory budget counts the connection.
    pub(crate) fn host(&self) -> &sync::Arc<host::Host> {
        &self.host
    }

    /// Reads the beginning of the connection until its protocol is known, and returns whether it is
    /// HTTP/2. The bytes can be read again.
    ///
    /// # Errors
    ///
    /// When the socket fails, or there is no memory for an HTTP/2 connection.
    pub(crate) async fn detect_http2(&mut self) -> io::Result<bool> {
        let mut begin = [0; HTTP2_PREFACE.len()];
        let mut read = 0;
        while read < begin.len() && HTTP2_PREFACE.starts_with(&begin[..read]) {
            match self.read(&mut begin[read..]).await? {
                0 => break,
                more => read += more,
            }
        }
        self.put_back(bytes::Bytes::copy_from_slice(&begin[..read]));
        let is_http2 = begin == *HTTP2_PREFACE;
        if is_http2 && !self.connection.start_http2(self.host.now()) {
            return Err(io::Error::other("no memory for an HTTP/2 connection"));
        }
        Ok(is_http2)
    }

    /// Has the next reads return these bytes.
    pub(crate) fn put_back(&mut self, bytes: bytes::Bytes) {
        self.put_back = bytes;
    }

    /// Waits until bytes can be read, or the client has closed the connection.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        match &self.stream {
            Some(stream) => stream.get_ref().readable().await,
            None => Ok(()),
        }
    }

    fn reader(&mut self) -> &mut Take<net::TcpStream> {
        self.stream.as_mut().unwrap_or_else(|| unreachable!("present until it is dropped"))
    }

    fn stream(&mut self) -> pin::Pin<&mut net::TcpStream> {
        pin::Pin::new(self.reader().get_mut())
    }
}

impl<R: Refuse> Drop for Socket<R> {
    fn drop(&mut self) {
        let Some(stream) = self.stream.take().map(Take::into_inner) else { return };
        self.unread.closing(&stream);
        if self.connection.can_refuse() {
            let _ = stream.try_write(&self.refuse.raw_response(Cause::NoMemory));
        } else if self.has_read && !self.has_written && !self.connection.has_begun() {
            metrics::counter!(TIMED_OUT.name, "part" => self.name).increment(1);
            log::info!("{}: connection closed inside its first header", self.name);
            // Best effort: the caller may have closed the connection already.
            let _ = stream.try_write(&self.refuse.raw_response(Cause::HeaderTimeout));
        }
        // A connection that is closed in favour of a new one does not linger: it would add to the limit.
        if self.connection.has_unread() {
            self.connection.linger(stream);
        }
    }
}

/// Reads and drops what the client still sends, until it has closed its side.
///
/// Closing a socket with unread bytes resets the connection, and the client may lose the response
/// that tells it that its request has not run.
pub(crate) async fn linger(mut stream: net::TcpStream) {
    let drain = async {
        stream.shutdown().await?;
        let mut unread = vec![0; LINGER_BUFFER_BYTES];
        let mut total = 0;
        while total < MAX_LINGER_BYTES {
            match stream.read(&mut unread).await? {
                0 => break,
                read => total += read,
            }
        }
        Ok::<_, io::Error>(())
    };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}

/// Refuses a connection that is not served, and closes it. The write does not block, so that a slow
/// caller cannot hold up the accept loop.
pub(crate) fn refuse<R: Refuse>(stream: net::TcpStream, refuse: &R, cause: Cause) {
    if let Ok(mut stream) = stream.into_std() {
        let _ = stream.write(&refuse.raw_response(cause));
    }
}

impl<R: Refuse> AsyncRead for Socket<R> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if !self.put_back.is_empty() {
            let again = self.put_back.len().min(buf.remaining()).min(MAX_READ_BYTES as usize);
            buf.put_slice(&self.put_back.split_to(again));
            return task::Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let reader = self.reader();
        reader.set_limit(MAX_READ_BYTES);
        task::ready!(pin::Pin::new(reader).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if read == 0 {
            return task::Poll::Ready(Ok(()));
        }
        let is_counted = self.connection.has_read(read, || self.host.now());
        self.has_read = true;
        if is_counted {
            task::Poll::Ready(Ok(()))
        } else {
            task::Poll::Ready(Err(io::Error::other("no memory for the header of the request")))
        }
    }
}

impl<R: Refuse> AsyncWrite for Socket<R> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.has_written = true;
        let written = self.stream().poll_write(cx, buf);
        let Self { stream: Some(stream), unread, .. } = &mut *self else { return written };
        unread.after_write(stream.get_ref(), cx, &[io::IoSlice::new(buf)], written)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.has_written = true;
        let written = self.stream().poll_write_vectored(cx, bufs);
        let Self { stream: Some(stream), unread, .. } = &mut *self else { return written };
        unread.after_write(stream.get_ref(), cx, bufs, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| stream.get_ref().is_write_vectored())
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::ready!(self.stream().poll_flush(cx))?;
        // hyper flushes the stream once it has written all bytes that it has.
        self.unread.flushed(cx);
        self.connection.has_flushed();
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
