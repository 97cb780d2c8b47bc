//! Connections of peers, bounded in number and in silence.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::{Stream, stream};
use metrics::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};
use tonic::transport::server::Connected;

/// Most connections at a time; 340 nodes with two each while channels are replaced.
const MAX_CONNECTIONS: usize = 1_024;

/// A connection on which nothing arrives for this long is closed. Pings of the server make peers
/// send something more often.
const MAX_SILENCE: Duration = Duration::from_secs(30);

/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A connection that counts towards the bound until it is dropped; its bytes are counted, too.
pub(super) struct Connection {
    stream: TcpStream,
    silence: Pin<Box<Sleep>>,
    received: Counter,
    sent: Counter,
    _permit: OwnedSemaphorePermit,
}

/// The connections that `listener` accepts.
pub(super) fn connections(
    listener: TcpListener,
) -> impl Stream<Item = io::Result<Connection>> + Send {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    stream::unfold((listener, permits), |(listener, permits)| async move {
        let permit = permits.clone().acquire_owned().await.ok()?;
        let stream = accept(&listener).await;
        let silence = Box::pin(tokio::time::sleep(MAX_SILENCE));
        let bytes = |direction| metrics::counter!("link_bytes_total", "direction" => direction);
        let (received, sent) = (bytes("received"), bytes("sent"));
        let connection = Connection { stream, silence, received, sent, _permit: permit };
        Some((Ok(connection), (listener, permits)))
    })
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without this option answers are late but right.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!("link: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Connection {
    /// Counts bytes that were written.
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.sent.increment(*bytes as u64);
        }
        written
    }
}

impl Connected for Connection {
    type ConnectInfo = <TcpStream as Connected>::ConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        if let Poll::Ready(result) = Pin::new(&mut this.stream).poll_read(cx, buf) {
            this.silence.as_mut().reset(Instant::now() + MAX_SILENCE);
            this.received.increment((buf.filled().len() - before) as u64);
            return Poll::Ready(result);
        }
        this.silence.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
