//! The accept loop and the connection driver shared by all front ends.
//!
//! [`bind`] runs one task that accepts connections and one task per connection. At the limit of
//! connections, one that has not carried a request is closed in favour of a new one, or the new one
//! gets a refusal and is closed at once.

use std::{
    convert, error, future, net,
    pin::pin,
    sync::{self, atomic},
    time,
};

use corneltrestle_kernel::{disconnect, host, lifecycle, linkme, memory, metric, plugin};
use hyper::body::{Body, Incoming};
use socket2::SockRef;
use tokio_util::sync::CancellationToken;
use tower::Service;

use crate::{
    connection::{self, Connection},
    header,
    limits::Limits,
    refuse::{Cause, Refuse},
    session, socket,
};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static REFUSED: metric::Metric = metric::Metric::counter(
    "connections_refused_total",
    "Connections refused because a front end had reached its limit of connections, or the node had no memory for them.",
);

/// Delay after a failed accept, for example when no file descriptors are free, so that the loop
/// does not spin on an error that persists.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// Time for an evicted connection to close; after it the new connection is refused.
const EVICTION_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Trait alias for the bodies of the responses of such services.
pub trait ResponseBody:
    Body<Data = bytes::Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static
{
}

impl<B> ResponseBody for B where
    B: Body<Data = bytes::Bytes, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static
{
}

/// Trait alias for the services that [`bind`] accepts: cloned for each connection and infallible,
/// so that errors reach the caller as responses.
///
/// The future of a service has to drop the body of the request before it completes: once the response
/// is written, an idle connection takes what arrives for the next request.
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

/// The configuration of a server, cloned for each connection.
#[derive(Clone, Debug)]
struct Server<L, S, R> {
    /// Name of the front end: prefix of log lines and label of metrics.
    name: &'static str,
    limits: L,
    service: S,
    refuse: R,
    /// Identifies the listener in the memory budget.
    listener: u64,
}

/// Binds `address` and serves each connection with a clone of `service`.
///
/// `name` identifies the front end in log lines, metrics and errors. `limits` is called for each
/// connection, so that changed limits apply to new connections.
///
/// At shutdown the listener closes once the connections that wait for it are accepted; connections
/// get [`Limits::drain_timeout`] to finish, and those without a request some time for their first
/// one.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn bind<L, S, R, B>(
    host: &sync::Arc<host::Host>,
    name: &'static str,
    address: net::SocketAddr,
    limits: L,
    service: S,
    refuse: R,
) -> plugin::Result<plugin::Handle>
where
    L: Fn() -> Limits + Clone + Send + Sync + 'static,
    S: Serve<B>,
    R: Refuse<Body = B>,
    B: ResponseBody,
{
    let bind_error =
        |source| plugin::Error::Bind { plugin: name, address: address.to_string(), source };
    let listener = net::TcpListener::bind(address).map_err(bind_error)?;
    listener.set_nonblocking(true).map_err(bind_error)?;
    // Accepted sockets inherit the sizes. They are set here, as the size of the receive buffer decides on
    // the scale of the window when a connection is made.
    let buffer = usize::try_from(limits().socket_buffer).unwrap_or(usize::MAX);
    let sizes = SockRef::from(&listener);
    sizes.set_recv_buffer_size(buffer).map_err(bind_error)?;
    sizes.set_send_buffer_size(buffer).map_err(bind_error)?;
    let handle = plugin::Handle::default();
    let tasks = handle.clone();
    let host = sync::Arc::clone(host);
    log::info!("{name}: listening on {address}");
    let listener_id = host.memory.new_listener();
    let server = Server { name, limits, service, refuse, listener: listener_id };
    handle.spawn(&host.clone().pool, async move {
        server.accept(host, listener, tasks).await;
    });
    Ok(handle)
}

/// The open connections of a listener.
#[derive(Debug, Default)]
struct Open {
    number: atomic::AtomicUsize,
    /// Signalled when a connection has closed.
    closed: tokio::sync::Notify,
}

impl Open {
    fn number(&self) -> usize {
        self.number.load(atomic::Ordering::Acquire)
    }

    /// Waits until there are fewer than `max` connections, after one of them has been evicted. Without
    /// the wait, a burst of new connections would exceed the limit, as they are accepted before the
    /// evicted ones have closed.
    async fn has_room(&self, max: usize) -> bool {
        let closed = async {
            while self.number() >= max {
                self.closed.notified().await;
            }
        };
        tokio::time::timeout(EVICTION_TIMEOUT, closed).await.is_ok()
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct Held(sync::Arc<Open>);

impl Held {
    fn new(open: &sync::Arc<Open>) -> Self {
        open.number.fetch_add(1, atomic::Ordering::AcqRel);
        Self(sync::Arc::clone(open))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.number.fetch_sub(1, atomic::Ordering::AcqRel);
        self.0.closed.notify_one();
    }
}

impl<L, S, R> Server<L, S, R>
where
    L: Fn() -> Limits + Clone + Send + Sync + 'static,
{
    async fn accept<B>(
        self,
        host: sync::Arc<host::Host>,
        listener: net::TcpListener,
        tasks: plugin::Handle,
    ) where
        S: Serve<B>,
        R: Refuse<Body = B>,
        B: ResponseBody,
    {
        let name = self.name;
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => return log::error!("{name}: cannot register the listener: {e}"),
        };
        let open = sync::Arc::new(Open::default());
        loop {
            // Closing the listener resets the connections that wait for it, so that those are
            // accepted first.
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = tasks.stop_token().cancelled() => return,
            };
            let (socket, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("{name}: cannot accept a connection: {e}");
                    if tasks.stop_token().is_cancelled() {
                        return;
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let limits = (self.limits)();
            if open.number() >= limits.max_connections {
                let is_evicted = host.memory.evict_idle_connection(self.listener, host.now());
                if !is_evicted || !open.has_room(limits.max_connections).await {
                    self.refuse(socket, Cause::TooManyConnections);
                    continue;
                }
            }
            let held = Held::new(&open);
            // Without TCP_NODELAY responses are slower but still correct.
            let _ = socket.set_nodelay(true);
            let (server, owner) = (self.clone(), sync::Arc::clone(&host));
            let stop = tasks.stop_token().clone();
            let caller = memory::Caller::at(peer.ip().to_canonical());
            let caller = if limits.is_operator { caller.as_operator() } else { caller };
            let holding = host.memory.hold_connection(caller, self.listener, host.now());
            tasks.spawn(&host.pool, async move {
                let grow = holding.grow(connection::CONNECTION_BYTES, owner.now());
                match tokio::time::timeout(limits.header_timeout, grow).await {
                    Ok(Ok(())) => {
                        if let Err(e) = server.serve(owner, socket, holding, stop).await {
                            log::debug!("{name}: connection from {peer} ended: {e}");
                        }
                    }
                    Ok(Err(_)) | Err(_) => server.refuse(socket, Cause::NoMemory),
                }
                drop(held);
            });
        }
    }

    /// Refuses a connection and closes it.
    fn refuse(&self, socket: tokio::net::TcpStream, cause: Cause)
    where
        R: Refuse,
    {
        metrics::counter!(REFUSED.name, "part" => self.name).increment(1);
        socket::refuse(socket, &self.refuse, cause);
    }

    /// Serves one connection until it is closed.
    async fn serve<B>(
        self,
        host: sync::Arc<host::Host>,
        socket: tokio::net::TcpStream,
        holding: memory::Holding,
        stop: CancellationToken,
    ) -> Result<(), String>
    where
        S: Serve<B>,
        R: Refuse<Body = B>,
        B: ResponseBody,
    {
        let state = sync::Arc::new(Connection::new(holding));
        let ended = self.drive(host, socket, sync::Arc::clone(&state), stop).await;
        let unread = sync::Arc::into_inner(state).and_then(Connection::into_lingering);
        if let Some((socket, _holding)) = unread {
            socket::linger(socket).await;
        }
        ended
    }

    /// Drives one connection until it ends or has been shut down gracefully.
    async fn drive<B>(
        self,
        host: sync::Arc<host::Host>,
        socket: tokio::net::TcpStream,
        state: sync::Arc<Connection>,
        stop: CancellationToken,
    ) -> Result<(), String>
    where
        S: Serve<B>,
        R: Refuse<Body = B>,
        B: ResponseBody,
    {
        let limits = (self.limits)();
        let owner = sync::Arc::clone(&host);
        let (name, refuse, timeout) = (self.name, self.refuse.clone(), limits.read_timeout);
        let socket = socket::Socket::new(name, socket, refuse, owner, state.clone(), timeout);
        let context = header::Context {
            host: sync::Arc::clone(&host),
            connection: state.clone(),
            stop: stop.clone(),
        };
        let service = header::Limited::new(self.service, self.refuse, limits, context);
        let mut connection = pin!(session::run(socket, service, &limits, &state));
        // hyper's header timeout starts only once the protocol version is known, and does not
        // exist for HTTP/2, so that the first request of a connection needs a timeout of its own.
        let header_timeout = async {
            tokio::time::sleep(limits.header_timeout).await;
            if state.has_begun() {
                future::pending::<()>().await;
            }
        };
        tokio::select! {
            // The select is polled for each frame; `biased` saves drawing a random order each time.
            biased;
            ended = connection.as_mut() => return ended,
            () = state.evicted() => return Err("closed in favour of a new one".to_owned()),
            () = header_timeout => return Err("no request within the header timeout".to_owned()),
            () = stop.cancelled() => {}
        }
        // The first request of a connection that was accepted just now may be on its way; hyper
        // would close the connection without reading it.
        let first_request = tokio::time::timeout(lifecycle::FIRST_REQUEST_GRACE, state.begun());
        tokio::select! {
            biased;
            ended = connection.as_mut() => return ended,
            _ = first_request => state.close(),
        }
        // All connections end when the node does, also one whose first request came late.
        let left = match host.lifecycle.end() {
            Some(end) => end.since(host.now()),
            None => limits.drain_timeout,
        };
        tokio::time::timeout(left, connection).await.unwrap_or_else(|_| {
            state.disconnect.record(disconnect::Cause::DrainLimit);
            Ok(())
        })
    }
}
