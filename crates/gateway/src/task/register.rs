//! Task: keeps this node registered in the store, so that other nodes find it.

use std::{sync, time};

use corneltrestle_infra::store::{self, Class, LeaseId, Store};
use corneltrestle_kernel::{host, plugin};

use crate::{
    identity,
    source::{self, Node, Source},
};

/// Time to live of the registration's lease.
const TTL: time::Duration = time::Duration::from_secs(10);

/// Time between two renewals: two may fail before the registration lapses.
const RENEW_PERIOD: time::Duration = time::Duration::from_secs(3);

/// Delay before a failed registration is tried again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// State of the task.
#[derive(Debug)]
struct Registrar<S> {
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
    let registrar = sync::Arc::new(Registrar::<S> { store, key, node });
    let handle = plugin::Handle::default();
    host.supervise(&handle, "register", move || sync::Arc::clone(&registrar).run());
    Ok(handle)
}

impl<S: Store> Registrar<S> {
    async fn run(self: sync::Arc<Self>) {
        let mut lease = None;
        loop {
            let result = match lease {
                Some(held) => self.renew(held).await,
                None => self.register().await.map(Some),
            };
            lease = match result {
                Ok(held) => held,
                Err(e) => {
                    log::info!("node: the registration was not renewed: {e}");
                    lease
                }
            };
            tokio::time::sleep(if lease.is_some() { RENEW_PERIOD } else { RETRY_DELAY }).await;
        }
    }

    /// Renews the lease; `None` if it has lapsed.
    async fn renew(&self, lease: LeaseId) -> store::Result<Option<LeaseId>> {
        Ok(self.store.renew(lease, Class::Lease).await?.map(|_| lease))
    }

    async fn register(&self) -> store::Result<LeaseId> {
        let value = source::encode("register", &self.node)?;
        let lease = self.store.grant(TTL, Class::Lease).await?;
        let mut version = 0;
        // A previous process of this node may have left its entry.
        while let store::Swap::Conflict(present) =
            self.store.swap(&self.key, version, &value, Some(lease), Class::Lease).await?
        {
            version = present.map_or(0, |present| present.version);
        }
        Ok(lease)
    }
}
