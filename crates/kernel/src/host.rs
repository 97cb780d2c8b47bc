//! What a plug-in finds when it opens: tables, ports, pool, clock and settings.

use std::{
    any::{self, Any, type_name},
    collections, sync, time,
};

use corneltrestle_time::{
    clock::{self, Clock},
    moment,
};
use rand::Rng;

use crate::{lifecycle, plugin, pool, settings, table};

type Shared = collections::HashMap<any::TypeId, sync::Arc<dyn Any + Send + Sync>>;

/// The host of the plug-ins of one node.
///
/// Tables and ports are looked up by type while plug-ins open, never on the request path.
#[derive(Debug)]
pub struct Host {
    /// The node's clock.
    pub clock: clock::System,
    /// The node's workers.
    pub pool: pool::Pool,
    /// The node's run state.
    pub lifecycle: lifecycle::State,
    /// The checked settings.
    pub settings: settings::Settings,
    shared: parking_lot::Mutex<Shared>,
}

/// The plug-ins of a node that have been opened, in order.
#[derive(Debug, Default)]
pub struct Opened {
    handles: Vec<(&'static str, plugin::Handle)>,
}

impl Host {
    /// Opens a host without plug-ins.
    pub fn open(settings: settings::Settings, pool: pool::Pool) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            clock: clock::System::open(),
            pool,
            lifecycle: lifecycle::State::open(),
            settings,
            shared: parking_lot::Mutex::default(),
        })
    }

    /// Opens every registered plug-in in order.
    ///
    /// # Errors
    ///
    /// The first plug-in that cannot be checked or opened.
    pub fn open_plugins(self: &sync::Arc<Self>) -> plugin::Result<Opened> {
        let mut opened = Opened::default();
        for plugin in plugin::ordered() {
            (plugin.check)(&self.settings)?;
            opened.handles.push((plugin.name, (plugin.open)(self)?));
        }
        Ok(opened)
    }

    /// The present moment of the node's clock.
    pub fn now(&self) -> moment::Moment {
        self.clock.now()
    }
}

/// Shared values by type.
impl Host {
    /// The table that stores `T`, created empty on first use.
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

    /// Offers a port to plug-ins that open later.
    pub fn provide<P: Send + Sync + 'static>(&self, port: sync::Arc<P>) {
        self.shared.lock().insert(any::TypeId::of::<P>(), port);
    }

    /// A port that an earlier plug-in offered.
    ///
    /// # Errors
    ///
    /// When no plug-in has offered it.
    pub fn port<P: Send + Sync + 'static>(&self) -> plugin::Result<sync::Arc<P>> {
        let found = self.shared.lock().get(&any::TypeId::of::<P>()).cloned();
        found
            .and_then(|port| port.downcast().ok())
            .ok_or(plugin::Error::Port { port: type_name::<P>() })
    }
}

/// Periodic duties.
impl Host {
    /// Runs `duty` once per `period`, with up to a tenth of it as jitter, until the handle stops.
    ///
    /// The duty receives the present moment. A run that takes longer than the period delays the
    /// next one; runs never overlap.
    pub fn every<F, Fut>(
        self: &sync::Arc<Self>,
        handle: &plugin::Handle,
        period: time::Duration,
        mut duty: F,
    ) where
        F: FnMut(moment::Moment) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let host = sync::Arc::clone(self);
        handle.spawn_until_stop(&self.pool, async move {
            loop {
                duty(host.now()).await;
                let jitter = rand::rng().random_range(0.0..0.1);
                tokio::time::sleep(period.mul_f64(0.95 + jitter)).await;
            }
        });
    }
}

impl Opened {
    /// Shuts the plug-ins down in the reverse order of opening.
    pub async fn shutdown(self) {
        for (name, handle) in self.handles.into_iter().rev() {
            log::debug!("kernel: stopping {name}");
            handle.shutdown().await;
        }
    }
}
