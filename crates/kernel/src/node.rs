//! A node: a host with all its plug-ins, and its start and graceful shutdown.
//!
//! A daemon runs a [`Node`] on workers of its own. Tests and local deployments run several
//! [`Attached`] nodes in one process, on one runtime.

mod error;

use std::{pin::pin, sync, time};

use crate::{host, lifecycle, plugin, pool, settings, shutdown};

pub use error::Error;

/// The result of opening a node.
pub type Result<T> = std::result::Result<T, Error>;

/// Time for the remaining tasks to end after all plug-ins have shut down.
const POOL_SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A running node that owns its workers.
#[derive(Debug)]
pub struct Node {
    host: sync::Arc<host::Host>,
    opened: host::Opened,
}

/// A running node on the workers of a runtime that it does not own.
#[derive(Debug)]
pub struct Attached {
    host: sync::Arc<host::Host>,
    opened: host::Opened,
}

impl Node {
    /// Opens a node with workers of its own.
    ///
    /// # Errors
    ///
    /// When a plug-in cannot be opened, for example because an address is in use.
    pub fn open(settings: settings::Settings) -> Result<Self> {
        let pool = Self::spawn_pool(&settings)?;
        Self::open_on(pool, settings)
    }

    /// Creates the worker pool, with the number of threads from `[node] workers`.
    ///
    /// # Errors
    ///
    /// When the operating system refuses the threads.
    pub fn spawn_pool(settings: &settings::Settings) -> Result<pool::Pool> {
        let workers = usize::try_from(settings.section("node").count("workers")).unwrap_or(1);
        pool::Pool::new(workers).map_err(Error::Pool)
    }

    /// Opens a node on `pool`, which it owns from then on.
    ///
    /// # Errors
    ///
    /// When a plug-in cannot be opened.
    pub fn open_on(pool: pool::Pool, settings: settings::Settings) -> Result<Self> {
        let host = host::Host::open(settings, pool);
        let opened = host.open_plugins().map_err(Error::Plugin)?;
        Ok(Self { host, opened })
    }

    /// The node's host.
    pub fn host(&self) -> &sync::Arc<host::Host> {
        &self.host
    }

    /// Drains and stops the node, as [`lifecycle::Stage`] describes. Requests in progress finish
    /// within the drain limit.
    ///
    /// Blocks the calling thread, which must not be a worker.
    pub fn shutdown(self) {
        let Self { host, opened } = self;
        host.pool.block_on(stop(&host, opened));
        if let Some(host) = sync::Arc::into_inner(host) {
            host.pool.shutdown(POOL_SHUTDOWN_TIMEOUT);
        }
    }
}

impl Attached {
    /// Opens a node on the runtime of the calling task.
    ///
    /// # Errors
    ///
    /// When a plug-in cannot be opened.
    ///
    /// # Panics
    ///
    /// When called outside a tokio runtime.
    pub fn open(settings: settings::Settings) -> Result<Self> {
        let pool = pool::Pool::attach(tokio::runtime::Handle::current());
        let host = host::Host::open(settings, pool);
        let opened = host.open_plugins().map_err(Error::Plugin)?;
        Ok(Self { host, opened })
    }

    /// The node's host.
    pub fn host(&self) -> &sync::Arc<host::Host> {
        &self.host
    }

    /// Drains and stops the node, as [`Node::shutdown`] does, without blocking.
    pub async fn shutdown(self) {
        stop(&self.host, self.opened).await;
    }
}

async fn stop(host: &host::Host, opened: host::Opened) {
    log::info!("node: draining");
    let times = shutdown::Times::configured(&host.settings);
    host.lifecycle.drain(host.now() + times.end);
    // Connections stay open until the load balancer has seen that the node is not ready; closing
    // one while a request is on its way to the node would lose that request.
    tokio::time::sleep(times.delay).await;
    let mut shutdown = pin!(opened.shutdown());
    // A request that comes later, on a connection that is open for another one, or byte by byte, may
    // have too little time left.
    let in_time = tokio::time::timeout(lifecycle::FIRST_REQUEST_GRACE, shutdown.as_mut()).await;
    if in_time.is_err() {
        log::info!("node: closing, no more requests are taken");
        host.lifecycle.advance(lifecycle::Stage::Closing);
        shutdown.await;
    }
    host.lifecycle.advance(lifecycle::Stage::Stopped);
    log::info!("node: stopped");
}

/// Runs the checks that all plug-ins make on the settings before they open.
///
/// # Errors
///
/// The error of the first plug-in that rejects the settings.
pub fn check(settings: &settings::Settings) -> plugin::Result<()> {
    plugin::ordered().into_iter().try_for_each(|plugin| (plugin.check)(settings))
}
