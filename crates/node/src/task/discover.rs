//! Task: reads the platform's list of VMs.

use std::{sync, time};

use corneltrestle_etcd::discovery;
use corneltrestle_infra::vms::Vms;
use corneltrestle_kernel::{host, linkme, plugin};

use crate::tables;

/// Time between two reads of the list.
const PERIOD: time::Duration = time::Duration::from_secs(1);

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static DISCOVER: plugin::Plugin = plugin::Plugin {
    name: "discover",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open: open::<discovery::HttpVms>,
};

fn open<V: Vms>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let port = host.port::<V>()?;
    let tables = tables::Tables::new(host)?;
    let handle = plugin::Handle::default();
    let clock = sync::Arc::clone(host);
    host.every(&handle, PERIOD, move |_| {
        let (port, tables, clock) =
            (sync::Arc::clone(&port), tables.clone(), sync::Arc::clone(&clock));
        async move {
            match port.list().await {
                Ok(vms) => {
                    let mut listed = tables.vm_list.lock();
                    listed.vms = sync::Arc::new(vms);
                    listed.read_at = Some(clock.now());
                }
                Err(e) => log::warn!("discover: {e}"),
            }
        }
    });
    Ok(handle)
}
