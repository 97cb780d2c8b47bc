//! Duty: polls the reports of the zone's VMs.

use std::sync::Arc;
use std::time::Duration;

use corneltrestle_engine::engine::{self, Engine};
use corneltrestle_kernel::{host, linkme, plugin};
use corneltrestle_policy::{assignment, vm};

use crate::{identity, tables};

/// Time between two polls of a VM.
const PERIOD: Duration = Duration::from_millis(500);

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static OBSERVE: plugin::Plugin = plugin::Plugin {
    name: "observe",
    kind: plugin::Kind::Duty,
    section: None,
    check: plugin::unchecked,
    open: open::<engine::http::HttpEngine>,
};

fn open<E: Engine>(host: &Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let port = host.port::<E>()?;
    let identity = host.port::<identity::Identity>()?;
    let tables = tables::Tables::of(host)?;
    let handle = plugin::Handle::default();
    let node = Arc::clone(host);
    host.every(&handle, PERIOD, move |_| {
        for member in observed(&tables, &identity) {
            let (node, port, tables) = (Arc::clone(&node), Arc::clone(&port), tables.clone());
            // Each VM is polled by a job of its own, so that a silent one delays no other.
            node.clone().pool.run(async move { poll(&node, &*port, &tables, member).await });
        }
        std::future::ready(())
    });
    Ok(handle)
}

/// The VMs of the own zone that are listed or assigned.
fn observed(tables: &tables::Tables, identity: &identity::Identity) -> Vec<assignment::Member> {
    let listed = Arc::clone(&tables.listed.lock().vms);
    let assigned = tables.replicas.lock().zone(identity.zone.as_str()).assignment;
    let mut members: Vec<_> = listed
        .iter()
        .filter(|entry| entry.role == vm::Role::Engine && entry.zone == identity.zone)
        .map(|entry| assignment::Member { id: entry.id.clone(), address: entry.address })
        .chain(assigned.replicas.iter().flat_map(|replica| replica.vms.iter().cloned()))
        .chain(assigned.releasing.iter().map(|releasing| releasing.vm.clone()))
        .collect();
    members.sort_by(|a, b| a.id.cmp(&b.id));
    members.dedup_by(|a, b| a.id == b.id);
    members
}

async fn poll<E: Engine>(
    node: &host::Host,
    port: &E,
    tables: &tables::Tables,
    member: assignment::Member,
) {
    // The report holds at least since the poll was sent.
    let sent = node.now();
    match port.report(member.address).await {
        Ok(report) if report.vm == member.id => tables.reports.lock().record(report, sent),
        Ok(report) => log::warn!("observe: {} answered as {}", member.id, report.vm),
        Err(e) => {
            let missed = tables.reports.lock().miss(&member.id);
            log::debug!("observe: {e}; {missed} polls missed");
        }
    }
}
