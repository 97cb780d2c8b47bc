//! The accept loop shared by all front ends.

mod early;
mod header;

use std::{
    convert, net,
    sync::{self, atomic},
    time,
};

use corneltrestle_kernel::{host, plugin};
use hyper::body::Incoming;
use hyper_util::{rt, server::conn::auto, service};
use tokio_util::sync::CancellationToken;
use tower::Service;

use crate::body;

/// Limits of a front end's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time for the header of a request.
    pub header_time: time::Duration,
    /// Largest header in bytes.
    pub header_bytes: usize,
    /// Most header fields.
    pub header_fields: usize,
    /// Most connections at a time; more are refused at once.
    pub connections: usize,
    /// Longest time that connections get to finish at shutdown.
    pub drain: time::Duration,
}

/// Multiple of the header limits at which hyper itself gives up. Up to it, the front end answers in
/// its own error form.
const HARD: usize = 4;

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_time: time::Duration::from_secs(5),
            header_bytes: 32 * 1024,
            header_fields: 64,
            connections: 4_096,
            drain: time::Duration::from_secs(30),
        }
    }
}

/// Binds `address` and serves each connection with a clone of `service`.
///
/// At shutdown the address is closed at once; connections get [`Limits::drain`] to finish.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn bind<S, F>(
    host: &sync::Arc<host::Host>,
    step: &'static str,
    address: net::SocketAddr,
    limits: Limits,
    service: S,
) -> plugin::Result<plugin::Handle>
where
    S: Service<
            hyper::Request<Incoming>,
            Response = hyper::Response<body::Body>,
            Error = convert::Infallible,
            Future = F,
        >,
    S: Clone + Send + Sync + 'static,
    F: Future<Output = Result<hyper::Response<body::Body>, convert::Infallible>> + Send + 'static,
{
    let refused = |source| plugin::Error::Bind { step, peer: address.to_string(), source };
    let listener = net::TcpListener::bind(address).map_err(refused)?;
    listener.set_nonblocking(true).map_err(refused)?;
    let handle = plugin::Handle::default();
    let jobs = handle.clone();
    let host = sync::Arc::clone(host);
    log::info!("{step}: listening on {address}");
    handle.run(&host.clone().pool, async move {
        accept(host, step, listener, limits, service, jobs).await;
    });
    Ok(handle)
}

async fn accept<S, F>(
    host: sync::Arc<host::Host>,
    step: &'static str,
    listener: net::TcpListener,
    limits: Limits,
    service: S,
    jobs: plugin::Handle,
) where
    S: Service<
            hyper::Request<Incoming>,
            Response = hyper::Response<body::Body>,
            Error = convert::Infallible,
            Future = F,
        >,
    S: Clone + Send + Sync + 'static,
    F: Future<Output = Result<hyper::Response<body::Body>, convert::Infallible>> + Send + 'static,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("{step}: cannot use the listener: {e}"),
    };
    let slots = sync::Arc::new(tokio::sync::Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            () = jobs.stop().cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, peer)) = accepted else {
            // Out of file descriptors or an aborted handshake; waiting lets others finish.
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            continue;
        };
        let Ok(slot) = sync::Arc::clone(&slots).try_acquire_owned() else {
            metrics::counter!("connections_refused_total", "part" => step).increment(1);
            early::refuse(socket);
            continue;
        };
        let _ = socket.set_nodelay(true);
        let service = service.clone();
        let stop = jobs.stop().clone();
        jobs.run(&host.pool, async move {
            if let Err(e) = converse(socket, limits, service, stop).await {
                log::debug!("{step}: connection of {peer} ended: {e}");
            }
            drop(slot);
        });
    }
}

async fn converse<S, F>(
    socket: tokio::net::TcpStream,
    limits: Limits,
    service: S,
    stop: CancellationToken,
) -> Result<(), String>
where
    S: Service<
            hyper::Request<Incoming>,
            Response = hyper::Response<body::Body>,
            Error = convert::Infallible,
            Future = F,
        >,
    S: Clone + Send + Sync + 'static,
    F: Future<Output = Result<hyper::Response<body::Body>, convert::Infallible>> + Send + 'static,
{
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size((HARD * limits.header_bytes).max(8 * 1024))
        .max_headers(HARD * limits.header_fields);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_header_list_size(u32::try_from(HARD * limits.header_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(256)
        .keep_alive_interval(time::Duration::from_secs(10))
        .keep_alive_timeout(time::Duration::from_secs(5));
    let asked = sync::Arc::new(atomic::AtomicBool::new(false));
    let service = header::Checked::new(service, limits, sync::Arc::clone(&asked));
    let service = service::TowerToHyperService::new(service);
    let connection =
        builder.serve_connection(rt::TokioIo::new(early::Socket::new(socket)), service);
    tokio::pin!(connection);
    // hyper's own limit does not run before the version is known, and not for HTTP/2.
    let idle = async {
        tokio::time::sleep(limits.header_time).await;
        if asked.load(atomic::Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        // Each frame polls this, so that the choice of a random order would be paid per frame.
        biased;
        ended = connection.as_mut() => return ended.map_err(|e| e.to_string()),
        () = idle => return Err("no request within the header time".to_owned()),
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let ended = tokio::time::timeout(limits.drain, connection).await.unwrap_or(Ok(()));
    ended.map_err(|e| e.to_string())
}
