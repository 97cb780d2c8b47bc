//! The baseline: a relay without decisions, which forwards body frames unread.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, client, server};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Binds the relay to `upstream` on the workers of the calling task; returns its address.
pub(super) async fn bind(upstream: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                if let Err(e) = converse(stream, upstream).await {
                    log::debug!("measure: plain relay: {e}");
                }
            });
        }
    });
    Ok(address)
}

async fn converse(stream: TcpStream, upstream: SocketAddr) -> Result<(), Failure> {
    let socket = TcpStream::connect(upstream).await?;
    socket.set_nodelay(true)?;
    let (sender, driver) = client::conn::http1::handshake(TokioIo::new(socket)).await?;
    tokio::spawn(driver);
    let sender = Arc::new(Mutex::new(sender));
    let service = service_fn(move |request| forward(Arc::clone(&sender), request));
    server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await?;
    Ok(())
}

async fn forward(
    sender: Arc<Mutex<SendRequest<Incoming>>>,
    request: Request<Incoming>,
) -> hyper::Result<Response<Incoming>> {
    let mut sender = sender.lock().await;
    sender.ready().await?;
    sender.send_request(request).await
}
