//! Duty: reads the cache events of the replicas that this node dispatches to.

use std::{sync, time};

use corneltrestle_engine::engine::{self, Engine};
use corneltrestle_kernel::{host, linkme, plugin};
use corneltrestle_policy::{id, prefix};

use crate::tables;

/// Time between two rounds.
const PERIOD: time::Duration = time::Duration::from_secs(1);
/// Replicas whose events are read in one round. Events only sharpen what own dispatches tell, so
/// that a few at a time suffice and the cost stays the same in a large fleet.
const REPLICAS: usize = 4;

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static CACHE: plugin::Plugin = plugin::Plugin {
    name: "cache",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open: open::<engine::http::HttpEngine>,
};

/// Whose events to read next.
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

/// The replicas with own dispatches whose events were read longest ago; replicas that are no longer
/// assigned are forgotten.
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
            let after = dispatched.history.sequence(&replica.id, report.start)?;
            let (replica, start) = (replica.id.clone(), report.start);
            let next = Next { replica, start, head: head.address, after };
            (report.sequence > after).then_some(next)
        })
        .collect();
    found.sort_by_key(|next| dispatched.events_read(&next.replica));
    found.truncate(REPLICAS);
    found.iter().for_each(|next| dispatched.reading_events(&next.replica));
    found
}

fn merge(node: &host::Host, tables: &tables::Tables, next: &Next, events: &[prefix::Event]) {
    let now = node.now();
    tables.dispatched.lock().history.merge(&next.replica, next.start, events, now);
}
