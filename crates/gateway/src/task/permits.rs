//! Task: lends this node's part of the limits of upstreams, and asks for the permits that its requests
//! wait for.

use std::{sync, time};

use corneltrestle_kernel::{host, linkme, plugin};
use corneltrestle_policy::quota::{lender, permits};

use crate::{
    mesh,
    tables::{self, quotas},
};

/// Time between two looks at the registrations while no upstream names a limit.
const IDLE_PERIOD: time::Duration = time::Duration::from_millis(250);

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static PERMITS: plugin::Plugin = plugin::Plugin {
    name: "permits",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open,
};

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let mesh = host.port::<mesh::Mesh>()?;
    let tables = tables::Tables::of(host);
    let handle = plugin::Handle::default();
    let own = sync::Arc::clone(host);
    host.supervise(&handle, "permits", move || {
        run(sync::Arc::clone(&own), sync::Arc::clone(&mesh), tables.clone())
    });
    Ok(handle)
}

async fn run(host: sync::Arc<host::Host>, mesh: sync::Arc<mesh::Mesh>, tables: tables::Tables) {
    let quotas::Signals { wanted, .. } = tables.quotas.lock().signals();
    let mut loan_due = host.now();
    loop {
        let now = host.now();
        let is_due = now >= loan_due;
        if is_due {
            tables.quotas.lock().prune(now);
            loan_due = now + lender::period(tables.current.load().nodes.len());
        }
        let wait = if tables.quotas.lock().is_idle() {
            loan_due = now;
            IDLE_PERIOD
        } else {
            mesh.ask_for_permits(is_due, now);
            loan_due.since(now).min(permits::ASK_PERIOD)
        };
        let _ = tokio::time::timeout(wait, wanted.notified()).await;
    }
}
