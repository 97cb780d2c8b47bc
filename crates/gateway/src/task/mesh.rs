//! Task: exchanges heartbeats with the other nodes, and answers their calls.

use std::{net, sync, time};

use corneltrestle_kernel::{host, lifecycle, linkme, plugin};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh as wire;

use crate::{
    identity,
    mesh::{self, Mesh},
    tables,
};

/// Time between two heartbeats.
const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_millis(80);

/// Time between two heartbeats to the hubs while the load of the node does not change.
const UNCHANGED_PERIOD: time::Duration = time::Duration::from_millis(240);

/// Time between two sums of a hub. Each zone has two hubs, so that its nodes get one in half of it.
const SUM_PERIOD: time::Duration = time::Duration::from_millis(160);

/// Time between two digests to other zones; longer, as traffic between zones is expensive.
const DIGEST_PERIOD: time::Duration = time::Duration::from_millis(240);

/// Opened before the tasks, which use it through its port.
#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static MESH: plugin::Plugin = plugin::Plugin {
    name: "mesh",
    kind: plugin::Kind::Link,
    section: None,
    check: plugin::unchecked,
    open,
};

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let identity = host.port::<identity::Identity>()?;
    let tables = tables::Tables::of(host);
    let peer = identity.mesh.to_string();
    let entered = host.pool.handle().enter();
    let mesh = Mesh::bind(identity, tables).map_err(|source| plugin::Error::Bind {
        plugin: "mesh",
        address: peer,
        source,
    })?;
    drop(entered);
    host.provide(sync::Arc::clone(&mesh));
    let handle = plugin::Handle::default();
    let (sender, own) = (sync::Arc::clone(&mesh), sync::Arc::clone(host));
    host.supervise(&handle, "send", move || {
        send(sync::Arc::clone(&own), sync::Arc::clone(&sender))
    });
    let own = sync::Arc::clone(host);
    host.supervise(&handle, "receive", move || {
        receive(sync::Arc::clone(&own), sync::Arc::clone(&mesh))
    });
    open_link(host, &handle)?;
    Ok(handle)
}

/// Starts the server that answers the calls of other nodes.
fn open_link(host: &sync::Arc<host::Host>, handle: &plugin::Handle) -> plugin::Result<()> {
    let identity = host.port::<identity::Identity>()?;
    let refused =
        |source| plugin::Error::Bind { plugin: "mesh", address: identity.link.to_string(), source };
    let listener = net::TcpListener::bind(identity.link).map_err(refused)?;
    listener.set_nonblocking(true).map_err(refused)?;
    let (server, stop) = (sync::Arc::clone(host), handle.stop_token().clone());
    handle.spawn(&host.pool, async move {
        if let Err(e) = mesh::serve(listener, server, stop).await {
            log::error!("mesh: {e}");
        }
    });
    Ok(())
}

/// Sends queued datagrams at once, and heartbeats, sums and digests periodically.
async fn send(host: sync::Arc<host::Host>, mesh: sync::Arc<Mesh>) {
    let now = host.now();
    let (mut heartbeat_due, mut sum_due, mut digest_due) = (now, now, now);
    let mut reported = Reported::default();
    loop {
        let wait = heartbeat_due.since(host.now());
        let _ = tokio::time::timeout(wait, mesh.queued()).await;
        mesh.flush().await;
        let now = host.now();
        if now < heartbeat_due {
            continue;
        }
        heartbeat_due = now + HEARTBEAT_PERIOD;
        mesh.observe_nodes(now);
        mesh.broadcast_evidence(now);
        let draining = host.lifecycle.stage() >= lifecycle::Stage::Draining;
        mesh.choose_hubs(draining, now);
        let load = mesh.own_load(now);
        if !mesh.uses_hubs() {
            mesh.send(&mesh.heartbeat(load, draining, now), &mesh.zone_peers()).await;
        } else {
            if reported.is_due(&load, now) {
                mesh.send(&mesh.heartbeat(load, draining, now), &mesh.listeners()).await;
            }
            // Hubs alone would have to answer all nodes that miss a change of facts.
            if let Some(peer) = mesh.random_peer() {
                mesh.send(&mesh.sign_of_life(draining, now), &[peer]).await;
            }
            if mesh.place_among_hubs().is_some() && now >= sum_due {
                for (peer, sum) in mesh.sums(now) {
                    mesh.send(&sum, &[peer]).await;
                }
                sum_due = now + SUM_PERIOD;
            }
        }
        if now >= digest_due {
            if mesh.place_among_hubs() == Some(0) {
                mesh.send(&mesh.digest(now), &mesh.relays()).await;
            }
            digest_due = now + DIGEST_PERIOD;
        }
    }
}

/// The load that was reported to the hubs last.
#[derive(Default)]
struct Reported {
    load: wire::Load,
    at: Option<moment::Moment>,
}

impl Reported {
    /// Whether to report this load now: it has changed, or the last report is old. The times of
    /// events and the count of requests always change; they need not be known as early.
    fn is_due(&mut self, load: &wire::Load, now: moment::Moment) -> bool {
        let mut load = load.clone();
        load.rows.iter_mut().for_each(|row| row.event_age = 0);
        load.usage.iter_mut().for_each(|usage| usage.requests = 0);
        let is_old = self.at.is_none_or(|at| now.since(at) >= UNCHANGED_PERIOD);
        if !is_old && load == self.load {
            return false;
        }
        *self = Self { load, at: Some(now) };
        true
    }
}

/// Handles the datagrams of other nodes, and replies to requests for loads.
async fn receive(host: sync::Arc<host::Host>, mesh: sync::Arc<Mesh>) {
    let mut buffer = [0; 2 * wire::MAX_BYTES];
    let mut unpublished = 0;
    loop {
        let (datagram, peer) = mesh.receive(&mut buffer, &mut unpublished).await;
        let now = host.now();
        if mesh.handle(&datagram, now)
            && let Some(origin) = &datagram.origin
        {
            // A forwarded request came from another address than that of its origin.
            let peer = mesh.address_of(&origin.node).unwrap_or(peer);
            let draining = host.lifecycle.stage() >= lifecycle::Stage::Draining;
            mesh.send(&mesh.reply(origin, draining, now), &[peer]).await;
        }
    }
}
