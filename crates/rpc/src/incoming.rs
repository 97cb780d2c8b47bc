//! Connections of peers, bounded in number and in silence.

use std::{io, pin, sync, task, time};

use corneltrestle_kernel::{linkme, metric};
use futures_util::{Stream, stream};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, Sleep},
};
use tonic::transport::server::Connected;

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static BYTES: metric::Metric =
    metric::Metric::counter("link_bytes_total", "Bytes on links between nodes by direction.");

/// Most connections at a time; 340 nodes with two each while channels are replaced.
const MAX_CONNECTIONS: usize = 1_024;

/// A connection on which nothing arrives for this long is closed. Pings of the server make peers
/// send something more often.
const MAX_SILENCE: time::Duration = time::Duration::from_secs(30);

/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// A connection that counts towards the bound until it is dropped; its bytes are counted, too.
#[derive(Debug)]
pub struct Connection {
    stream: net::TcpStream,
    silence: pin::Pin<Box<Sleep>>,
    received: metrics::Counter,
    sent: metrics::Counter,
    _permit: OwnedSemaphorePermit,
}

/// The connections that `listener` accepts.
pub fn connections(
    listener: net::TcpListener,
) -> impl Stream<Item = io::Result<Connection>> + Send {
    let permits = sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    stream::unfold((listener, permits), |(listener, permits)| async move {
        let permit = permits.clone().acquire_owned().await.ok()?;
        let stream = accept(&listener).await;
        let silence = Box::pin(tokio::time::sleep(MAX_SILENCE));
        let bytes = |direction| metrics::counter!(BYTES.name, "direction" => direction);
        let (received, sent) = (bytes("received"), bytes("sent"));
        let connection = Connection { stream, silence, received, sent, _permit: permit };
        Some((Ok(connection), (listener, permits)))
    })
}

async fn accept(listener: &net::TcpListener) -> net::TcpStream {
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
    fn count(&self, written: task::Poll<io::Result<usize>>) -> task::Poll<io::Result<usize>> {
        if let task::Poll::Ready(Ok(bytes)) = &written {
            self.sent.increment(*bytes as u64);
        }
        written
    }
}

impl Connected for Connection {
    type ConnectInfo = <net::TcpStream as Connected>::ConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        if let task::Poll::Ready(result) = pin::Pin::new(&mut this.stream).poll_read(cx, buf) {
            this.silence.as_mut().reset(Instant::now() + MAX_SILENCE);
            this.received.increment((buf.filled().len() - before) as u64);
            return task::Poll::Ready(result);
        }
        this.silence.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(written)
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

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
