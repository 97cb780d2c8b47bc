//! Task: reads the prefix cache events of the replicas that this node dispatches to.

use std::{sync, time};

use corneltrestle_engine::engine::{self, Engine};
use corneltrestle_kernel::{host, linkme, plugin};
use corneltrestle_policy::{id, prefix};

use crate::tables;

/// Time between two rounds.
const PERIOD: time::Duration = time::Duration::from_secs(1);
/// Replicas whose events are read in one round. The events only refine the estimate that own
/// dispatches give, so a few at a time suffice and the cost does not grow with the fleet.
const MAX_REPLICAS: usize = 4;

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static CACHE: plugin::Plugin = plugin::Plugin {
    name: "cache",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open: open::<engine::http::HttpEngine>,
};

/// A replica whose events are read next: those after the sequence number `after`.
struct Next {
    replica: id::Replica,
    start: u64,
    head: std::net::SocketAddr,
    after: u64,
}

fn open<E: Engine>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let port = host.port::<E>()?;
    let tables = tables::Tables::new(host)?;
    let handle = plugin::Handle::default();
    let node = sync::Arc::clone(host);
    host.every(&handle, PERIOD, move |_| {
        for next in choose(&tables) {
            let (node, port, tables) =
                (sync::Arc::clone(&node), sync::Arc::clone(&port), tables.clone());
            node.clone().pool.spawn(async move {
                match port.cache_events(next.head, next.after).await {
                    Ok(events) => merge(&node, &tables, &next, &events),
                    Err(e) => log::debug!("route: {e}"),
                }
            });
        }
        std::future::ready(())
    });
    Ok(handle)
}

/// Chooses the replicas with own dispatches whose events were read longest ago. Also forgets the
/// replicas that are no longer assigned.
fn choose(tables: &tables::Tables) -> Vec<Next> {
    let replicas = tables.replicas.lock();
    let reports = tables.reports.lock();
    let mut warmup = tables.warmup.lock();
    let mut dispatched = tables.dispatched.lock();
    let assigned = || replicas.zones().flat_map(|(_, stored)| &stored.assignment.replicas);
    let is_assigned = |id: &id::Replica| assigned().any(|replica| replica.id == *id);
    warmup.retain(is_assigned);
    dispatched.retain(is_assigned);
    let mut found: Vec<_> = assigned()
        .filter_map(|replica| {
            let head = replica.head()?;
            let report = &reports.get(head.id.as_str())?.report;
            let after = dispatched.prefixes.sequence(&replica.id, report.start)?;
            let (replica, start) = (replica.id.clone(), report.start);
            let next = Next { replica, start, head: head.address, after };
            (report.sequence > after).then_some(next)
        })
        .collect();
    found.sort_by_key(|next| dispatched.last_events_read(&next.replica));
    found.truncate(MAX_REPLICAS);
    found.iter().for_each(|next| dispatched.record_events_read(&next.replica));
    found
}

fn merge(node: &host::Host, tables: &tables::Tables, next: &Next, events: &[prefix::Event]) {
    let now = node.now();
    tables.dispatched.lock().prefixes.merge(&next.replica, next.start, events, now);
}
