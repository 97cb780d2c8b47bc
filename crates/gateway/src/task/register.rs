//! Task: keeps this node registered in the store, so that other nodes find it.

use std::{sync, time};

use corneltrestle_infra::store::{self, Class, LeaseId, Store};
use corneltrestle_kernel::{host, plugin};
use corneltrestle_policy::census;
use rand::Rng;

use crate::{
    identity,
    source::{self, Node, Source},
    tables,
};

/// Time to live of the registration's lease.
const TTL: time::Duration = time::Duration::from_secs(10);

/// Time between two renewals: two may fail before the registration lapses.
const RENEW_PERIOD: time::Duration = time::Duration::from_secs(3);

/// Delay before a failed registration is tried again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Delay before a failed renewal is tried again.
const RENEW_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Longest random delay before a lapsed registration is renewed, for each node: after an outage, those
/// of all nodes may lapse at once.
const DELAY_PER_NODE: time::Duration = time::Duration::from_millis(5);

// Other nodes count this one until it has found out that its registration has lapsed.
const _: () = assert!(RENEW_PERIOD.as_millis() < census::RENEWAL_GRACE.as_millis());

/// The lease of a registration.
#[derive(Clone, Copy, Debug)]
struct Held {
    id: LeaseId,
    /// Era of the store in which the lease was last known to be that of the registration.
    era: u64,
}

/// State of the task.
#[derive(Debug)]
struct Registrar<S> {
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    store: sync::Arc<S>,
    key: String,
    node: Node,
}

/// Starts the task on the host's worker pool.
///
/// # Errors
///
/// When no plug-in provides the identity or the store.
pub fn open<S: Store + Source>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let identity = host.port::<identity::Identity>()?;
    let node = Node {
        zone: identity.zone.clone(),
        address: identity.mesh,
        boot: identity.boot,
        memory: identity.memory,
    };
    let (store, key) = (host.port()?, S::node_key(&identity.node));
    let tables = tables::Tables::of(host);
    let registrar = sync::Arc::new(Registrar::<S> { identity, tables, store, key, node });
    let handle = plugin::Handle::default();
    host.supervise(&handle, "register", move || sync::Arc::clone(&registrar).run());
    Ok(handle)
}

impl<S: Store> Registrar<S> {
    async fn run(self: sync::Arc<Self>) {
        let mut lease = None;
        loop {
            let wait = match self.step(&mut lease).await {
                Ok(()) => RENEW_PERIOD,
                Err(e) => {
                    log::info!("node: the registration was not renewed: {e}");
                    if lease.is_some() { RENEW_RETRY_DELAY } else { RETRY_DELAY }
                }
            };
            if tokio::time::timeout(wait, self.lapsed()).await.is_ok() {
                log::info!("node: the registration has lapsed, and is renewed");
                // The lease may live on without the registration in a store that has come back from an
                // earlier copy.
                lease = None;
                let delay = rand::rng().random_range(time::Duration::ZERO..=self.max_delay());
                tokio::time::sleep(delay).await;
            }
        }
    }

    /// Renews the lease, or registers the node if it has none or it has lapsed.
    async fn step(&self, lease: &mut Option<Held>) -> store::Result<()> {
        if let Some(held) = *lease {
            *lease = self.renew(held).await?;
        }
        if lease.is_none() {
            *lease = Some(self.register().await?);
        }
        Ok(())
    }

    /// Waits until the facts no longer contain the registration of this process, after they did.
    async fn lapsed(&self) {
        let changed = self.tables.catalog.lock().changed();
        let mut was_registered = false;
        loop {
            let next = changed.notified();
            let registered = self.tables.catalog.lock().registered(&self.identity.node);
            let is_registered = registered == Some(self.identity.boot);
            if was_registered && !is_registered {
                return;
            }
            was_registered |= is_registered;
            next.await;
        }
    }

    /// Longest delay before a lapsed registration is renewed.
    fn max_delay(&self) -> time::Duration {
        let nodes = u32::try_from(self.tables.census.lock().number()).unwrap_or(u32::MAX);
        DELAY_PER_NODE.saturating_mul(nodes)
    }

    /// Renews the lease; `None` if it has lapsed, or its registration was lost with a return of the
    /// store from an earlier copy.
    async fn renew(&self, held: Held) -> store::Result<Option<Held>> {
        if self.store.era() == held.era {
            let renewed = self.store.renew(held.id, Class::Lease).await?;
            if self.store.era() == held.era {
                return Ok(renewed.map(|_| held));
            }
        }
        // In a later era, the lease is that of this node only if the registration is there as well.
        let found = self.store.read(&self.key, Class::Lease).await?;
        let era = self.store.era();
        let value = source::encode("register", &self.node)?;
        if found.is_none_or(|found| found.value != value) {
            return Ok(None);
        }
        let renewed = self.store.renew(held.id, Class::Lease).await?;
        Ok(renewed.map(|_| Held { era, ..held }))
    }

    async fn register(&self) -> store::Result<Held> {
        let value = source::encode("register", &self.node)?;
        loop {
            let id = self.store.grant(TTL, Class::Lease).await?;
            let (era, mut version) = (self.store.era(), 0);
            // A previous process of this node may have left its entry.
            while let store::Swap::Conflict(present) =
                self.store.swap(&self.key, version, &value, Some(id), Class::Lease).await?
            {
                version = present.map_or(0, |present| present.version);
            }
            if self.store.era() == era {
                return Ok(Held { id, era });
            }
        }
    }
}
