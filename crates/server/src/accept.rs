//! The accept loop shared by all front ends.

use std::{
    convert, error, future, net,
    pin::pin,
    sync::{self, atomic},
    time,
};

use corneltrestle_kernel::{host, linkme, metric, plugin};
use hyper::body::{Body, Incoming};
use hyper_util::{rt, server::conn::auto, service};
use tokio_util::sync::CancellationToken;
use tower::Service;

use crate::{early, header, limits::Limits, refuse::Refuse};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static REFUSED: metric::Metric = metric::Metric::counter(
    "connections_refused_total",
    "Connections that were refused because a front end had too many.",
);

/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(10);

/// HTTP/2 streams at a time on one connection.
const MAX_STREAMS: u32 = 256;

/// Time between two pings of an HTTP/2 connection, and for the answer to one.
const PING_PERIOD: time::Duration = time::Duration::from_secs(10);
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A service that a server can offer to each of its connections.
pub trait Serve<B>:
    Service<
        hyper::Request<Incoming>,
        Response = hyper::Response<B>,
        Error = convert::Infallible,
        Future: Send + 'static,
    > + Clone
    + Send
    + Sync
    + 'static
{
}

impl<S, B> Serve<B> for S where
    S: Service<
            hyper::Request<Incoming>,
            Response = hyper::Response<B>,
            Error = convert::Infallible,
            Future: Send + 'static,
        > + Clone
        + Send
        + Sync
        + 'static
{
}

/// What all connections of a server share.
#[derive(Clone, Debug)]
struct Server<L, S, R> {
    step: &'static str,
    limits: L,
    service: S,
    refuse: R,
}

/// Binds `address` and serves each connection with a clone of `service`, within the limits that
/// `limits` returns when the connection begins.
///
/// At shutdown the address is closed at once; connections get [`Limits::drain`] to finish.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn bind<L, S, R, B>(
    host: &sync::Arc<host::Host>,
    step: &'static str,
    address: net::SocketAddr,
    limits: L,
    service: S,
    refuse: R,
) -> plugin::Result<plugin::Handle>
where
    L: Fn() -> Limits + Clone + Send + Sync + 'static,
    S: Serve<B>,
    R: Refuse<Body = B>,
    B: Body<Data = bytes::Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static,
{
    let refused =
        |source| plugin::Error::Bind { plugin: step, address: address.to_string(), source };
    let listener = net::TcpListener::bind(address).map_err(refused)?;
    listener.set_nonblocking(true).map_err(refused)?;
    let handle = plugin::Handle::default();
    let jobs = handle.clone();
    let host = sync::Arc::clone(host);
    log::info!("{step}: listening on {address}");
    let server = Server { step, limits, service, refuse };
    handle.spawn(&host.clone().pool, async move {
        server.accept(host, listener, jobs).await;
    });
    Ok(handle)
}

impl<L, S, R> Server<L, S, R>
where
    L: Fn() -> Limits + Clone + Send + Sync + 'static,
{
    async fn accept<B>(
        self,
        host: sync::Arc<host::Host>,
        listener: net::TcpListener,
        jobs: plugin::Handle,
    ) where
        S: Serve<B>,
        R: Refuse<Body = B>,
        B: Body<Data = bytes::Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>>
            + Send
            + 'static,
    {
        let step = self.step;
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => return log::error!("{step}: cannot use the listener: {e}"),
        };
        let slots = sync::Arc::new(tokio::sync::Semaphore::new((self.limits)().max_connections));
        loop {
            let accepted = tokio::select! {
                () = jobs.stop_token().cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (socket, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("{step}: cannot accept a connection: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(slot) = sync::Arc::clone(&slots).try_acquire_owned() else {
                metrics::counter!(REFUSED.name, "part" => step).increment(1);
                early::refuse(socket, &self.refuse);
                continue;
            };
            // Without this option answers are late but right.
            let _ = socket.set_nodelay(true);
            let server = self.clone();
            let stop = jobs.stop_token().clone();
            jobs.spawn(&host.pool, async move {
                if let Err(e) = server.converse(socket, stop).await {
                    log::debug!("{step}: connection of {peer} ended: {e}");
                }
                drop(slot);
            });
        }
    }

    async fn converse<B>(
        self,
        socket: tokio::net::TcpStream,
        stop: CancellationToken,
    ) -> Result<(), String>
    where
        S: Serve<B>,
        R: Refuse<Body = B>,
        B: Body<Data = bytes::Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>>
            + Send
            + 'static,
    {
        let limits = (self.limits)();
        let asked = sync::Arc::new(atomic::AtomicBool::new(false));
        let socket = early::Socket::new(socket, self.refuse.clone());
        let service =
            header::Checked::new(self.service, self.refuse, limits, sync::Arc::clone(&asked));
        let service = service::TowerToHyperService::new(service);
        let builder = builder(&limits);
        let mut connection = pin!(builder.serve_connection(rt::TokioIo::new(socket), service));
        // hyper's own limit does not run before the version is known, and not for HTTP/2.
        let unasked = async {
            tokio::time::sleep(limits.header_timeout).await;
            if asked.load(atomic::Ordering::Relaxed) {
                future::pending::<()>().await;
            }
        };
        tokio::select! {
            // Each frame polls this, so that the choice of a random order would be paid per frame.
            biased;
            ended = connection.as_mut() => return ended.map_err(|e| e.to_string()),
            () = unasked => return Err("no request within the header time".to_owned()),
            () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        let ended = tokio::time::timeout(limits.drain_timeout, connection).await.unwrap_or(Ok(()));
        ended.map_err(|e| e.to_string())
    }
}

fn builder(limits: &Limits) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        // hyper counts the time without a request as time for the header.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.hard_bytes())
        .max_headers(limits.hard_fields());
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.hard_bytes()).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}
