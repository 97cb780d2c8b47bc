//! Duty: follows the head of the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use corneltrestle_kernel::{host, linkme, plugin, run};
use corneltrestle_platform::store::{self, Class, Store, Watch};
use corneltrestle_policy::release;
use corneltrestle_wire::{key, stored};

use crate::tables;

/// Wait before a new watch after one has ended.
const RETRY: Duration = Duration::from_millis(500);

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static WATCH: plugin::Plugin = plugin::Plugin {
    name: "watch",
    kind: plugin::Kind::Duty,
    section: None,
    check: plugin::unchecked,
    open: open::<store::etcd::EtcdStore>,
};

fn open<S: Store>(host: &Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let port = host.port::<S>()?;
    let tables = tables::Tables::of(host)?;
    let handle = plugin::Handle::default();
    let node = Arc::clone(host);
    host.every(&handle, RETRY, move |_| {
        let (node, port, tables) = (Arc::clone(&node), Arc::clone(&port), tables.clone());
        async move {
            if let Err(e) = follow(&node, &*port, &tables).await {
                log::warn!("store: {e}");
            }
        }
    });
    Ok(handle)
}

/// Reads the head, then follows its changes until the watch ends.
async fn follow<S: Store>(
    node: &host::Host,
    port: &S,
    tables: &tables::Tables,
) -> store::Result<()> {
    let head = port.read(key::head(), Class::Config).await?;
    let version = head.as_ref().map_or(0, |head| head.version);
    adopt(node, tables, head);
    let mut watch = port.watch(key::head(), version).await?;
    loop {
        if let store::Event::Changed(changed) = watch.next().await? {
            adopt(node, tables, changed);
        }
    }
}

fn adopt(node: &host::Host, tables: &tables::Tables, head: Option<store::Versioned>) {
    if let Some(head) = head {
        match stored::decode::<release::Release>(key::head(), &head.value) {
            Ok(release) => {
                let revision = release.revision;
                let mut config = tables.config.lock();
                if config.adopt(release) {
                    config.version = head.version;
                    log::info!("store: revision {revision} is in force");
                }
            }
            Err(e) => log::error!("store: {e}"),
        }
    }
    node.run.advance(run::Stage::Ready);
}
