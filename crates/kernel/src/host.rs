//! The host of plug-ins: the tables, ports, workers, clock and settings that a node's plug-ins
//! share.

use std::{
    any::{self, Any, type_name},
    collections, panic, sync, time,
};

use corneltrestle_time::{
    clock::{self, Clock},
    moment,
};
use futures_util::{FutureExt, future};
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::{lifecycle, memory, plugin, pool, settings, supervise, table};

type Shared = collections::HashMap<any::TypeId, sync::Arc<dyn Any + Send + Sync>>;

/// The services that the plug-ins of one node share.
///
/// Plug-ins look up tables and ports by type once, when they open, and keep the references; the
/// lookup locks a map and is never done on the request path.
#[derive(Debug)]
pub struct Host {
    /// The node's clock; its origin is the opening of the host.
    pub clock: clock::System,
    /// The worker threads on which all tasks of the node run.
    pub pool: pool::Pool,
    /// The node's lifecycle stage.
    pub lifecycle: lifecycle::State,
    /// The bytes that the node holds on behalf of its clients.
    pub memory: memory::Budget,
    /// The settings as read at start; they do not change while the node runs.
    pub settings: settings::Settings,
    /// Tables and ports by their type.
    shared: parking_lot::Mutex<Shared>,
    /// Cancelled once a background task has failed for good.
    failure: CancellationToken,
}

/// The running plug-ins of a node.
#[derive(Debug, Default)]
pub struct Opened {
    /// Each plug-in with its handle, in the order of opening.
    handles: Vec<(&'static plugin::Plugin, plugin::Handle)>,
}

impl Host {
    /// Creates a host in [`lifecycle::Stage::Starting`], without plug-ins.
    pub fn open(settings: settings::Settings, pool: pool::Pool) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            clock: clock::System::open(),
            pool,
            lifecycle: lifecycle::State::open(),
            memory: memory::Budget::open(memory::Limits::of(memory::configured(&settings))),
            settings,
            shared: parking_lot::Mutex::default(),
            failure: CancellationToken::new(),
        })
    }

    /// Checks and opens every registered plug-in, in the order of [`plugin::Kind`] and name.
    ///
    /// # Errors
    ///
    /// The error of the first plug-in that rejects the settings or cannot be opened.
    pub fn open_plugins(self: &sync::Arc<Self>) -> plugin::Result<Opened> {
        let mut opened = Opened::default();
        for plugin in plugin::ordered() {
            (plugin.check)(&self.settings)?;
            opened.handles.push((plugin, (plugin.open)(self)?));
        }
        Ok(opened)
    }

    /// The current time of the node's clock.
    pub fn now(&self) -> moment::Moment {
        self.clock.now()
    }

    /// Completes once a background task has failed for good, so that the node has to stop.
    pub async fn failed(&self) {
        self.failure.cancelled().await;
    }

    pub(crate) fn fail(&self) {
        self.failure.cancel();
    }
}

/// Tables and ports.
impl Host {
    /// The table that stores `T`, shared by all plug-ins of the node. The first call creates it
    /// with the default value.
    pub fn table<T>(&self) -> sync::Arc<table::Table<T>>
    where
        T: table::Ranked + Default + Send + 'static,
    {
        let mut shared = self.shared.lock();
        let entry = shared
            .entry(any::TypeId::of::<table::Table<T>>())
            .or_insert_with(|| sync::Arc::new(table::Table::new(T::default())));
        sync::Arc::clone(entry).downcast().unwrap_or_else(|_| unreachable!("keyed by type"))
    }

    /// Provides a port to plug-ins that open later, replacing an earlier one of the same type.
    pub fn provide<P: Send + Sync + 'static>(&self, port: sync::Arc<P>) {
        self.shared.lock().insert(any::TypeId::of::<P>(), port);
    }

    /// The port of type `P` that an earlier plug-in has provided.
    ///
    /// # Errors
    ///
    /// [`plugin::Error::Port`] when no plug-in has provided one.
    pub fn port<P: Send + Sync + 'static>(&self) -> plugin::Result<sync::Arc<P>> {
        let found = self.shared.lock().get(&any::TypeId::of::<P>()).cloned();
        found
            .and_then(|port| port.downcast().ok())
            .ok_or(plugin::Error::Port { port: type_name::<P>() })
    }
}

/// Periodic tasks.
impl Host {
    /// Calls `task` repeatedly until the handle stops, with a pause of `period` between two runs.
    ///
    /// Each pause is up to 5 % shorter or longer at random, so that the nodes of a deployment do
    /// not run in step. Runs never overlap. `task` receives the current time. A run that panics is
    /// handled as in [`Host::supervise`].
    pub fn every<F, Fut>(
        self: &sync::Arc<Self>,
        handle: &plugin::Handle,
        period: time::Duration,
        mut task: F,
    ) where
        F: FnMut(moment::Moment) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let host = sync::Arc::clone(self);
        handle.spawn_until_stop(&self.pool, async move {
            let mut failures = supervise::Failures::default();
            loop {
                let run = panic::AssertUnwindSafe(task(host.now())).catch_unwind();
                if let Err(panicked) = run.await
                    && !host.record_failure(
                        any::type_name::<F>(),
                        &supervise::cause(Err(panicked)),
                        &mut failures,
                    )
                {
                    return;
                }
                let jitter = rand::rng().random_range(0.0..0.1);
                tokio::time::sleep(period.mul_f64(0.95 + jitter)).await;
            }
        });
    }
}

impl Opened {
    /// Shuts the front ends down at the same time, as each of them waits for its connections, and then
    /// the other plug-ins one after the other, in the reverse order of opening.
    pub async fn shutdown(self) {
        let is_front_end =
            |(plugin, _): &(&plugin::Plugin, _)| plugin.kind == plugin::Kind::FrontEnd;
        let (front_ends, others): (Vec<_>, Vec<_>) =
            self.handles.into_iter().partition(is_front_end);
        future::join_all(front_ends.iter().map(|(plugin, handle)| stop(plugin, handle))).await;
        for (plugin, handle) in others.iter().rev() {
            stop(plugin, handle).await;
        }
    }
}

async fn stop(plugin: &plugin::Plugin, handle: &plugin::Handle) {
    log::debug!("kernel: stopping plug-in {}", plugin.name);
    handle.shutdown().await;
}
