//! Baseline of the scenario `relay`: a relay that makes no decisions and forwards body frames
//! unread.

use std::{net, sync};

use hyper::{
    body,
    client::{self, conn::http1},
    server,
    service::service_fn,
};
use hyper_util::rt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Mutex,
};

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Starts the relay to `upstream` on the runtime of the calling task; returns its address.
pub(super) async fn bind(upstream: net::SocketAddr) -> std::io::Result<net::SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                if let Err(e) = serve_connection(stream, upstream).await {
                    log::debug!("measure: plain relay: {e}");
                }
            });
        }
    });
    Ok(address)
}

/// Serves one client connection over one connection to the upstream.
async fn serve_connection(stream: TcpStream, upstream: net::SocketAddr) -> Result<(), Failure> {
    let socket = TcpStream::connect(upstream).await?;
    socket.set_nodelay(true)?;
    let (sender, driver) = client::conn::http1::handshake(rt::TokioIo::new(socket)).await?;
    tokio::spawn(driver);
    let sender = sync::Arc::new(Mutex::new(sender));
    let service = service_fn(move |request| forward(sync::Arc::clone(&sender), request));
    server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .serve_connection(rt::TokioIo::new(stream), service)
        .await?;
    Ok(())
}

async fn forward(
    sender: sync::Arc<Mutex<http1::SendRequest<body::Incoming>>>,
    request: hyper::Request<body::Incoming>,
) -> hyper::Result<hyper::Response<body::Incoming>> {
    let mut sender = sender.lock().await;
    sender.ready().await?;
    sender.send_request(request).await
}
