//! Connections that peers open, limited in number and in idle time.

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

/// Limit on open connections: enough for 340 nodes with two each while channels are replaced.
const MAX_CONNECTIONS: usize = 1_024;

/// A connection is closed if nothing arrives on it for this long. A live peer sends something more
/// often, because it responds to the pings of the server.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Delay after a failed accept, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// A connection that counts towards the limit until it is dropped. Its bytes are counted in
/// `link_bytes_total`.
#[derive(Debug)]
pub struct Connection {
    stream: net::TcpStream,
    idle: pin::Pin<Box<Sleep>>,
    received: metrics::Counter,
    sent: metrics::Counter,
    _permit: OwnedSemaphorePermit,
}

/// The connections that `listener` accepts; pauses while the limit is reached.
pub fn connections(
    listener: net::TcpListener,
) -> impl Stream<Item = io::Result<Connection>> + Send {
    let permits = sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    stream::unfold((listener, permits), |(listener, permits)| async move {
        let permit = permits.clone().acquire_owned().await.ok()?;
        let stream = accept(&listener).await;
        let idle = Box::pin(tokio::time::sleep(IDLE_TIMEOUT));
        let bytes = |direction| metrics::counter!(BYTES.name, "direction" => direction);
        let (received, sent) = (bytes("received"), bytes("sent"));
        let connection = Connection { stream, idle, received, sent, _permit: permit };
        Some((Ok(connection), (listener, permits)))
    })
}

async fn accept(listener: &net::TcpListener) -> net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without this option responses are delayed but correct, so an error is ignored.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!("link: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

impl Connection {
    /// Counts the bytes of a write that succeeded.
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
            this.idle.as_mut().reset(Instant::now() + IDLE_TIMEOUT);
            this.received.increment((buf.filled().len() - before) as u64);
            return task::Poll::Ready(result);
        }
        this.idle.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
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
