//! Task: exchanges heartbeats with the other nodes, and answers their calls.

use std::{net, sync, time};

use corneltrestle_kernel::{host, lifecycle, linkme, plugin};
use corneltrestle_wire::mesh as wire;

use crate::{
    identity,
    mesh::{self, Mesh},
    tables,
};

/// Minimum time between two heartbeats to the nodes of the own zone.
const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_millis(80);

/// Time between two digests to other zones; longer, as traffic between zones is expensive.
const DIGEST_PERIOD: time::Duration = time::Duration::from_millis(240);

/// Heartbeat datagrams a second that a node sends; with more peers, each gets fewer.
const MAX_HEARTBEATS_PER_S: f64 = 240.0;

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
    handle.spawn_until_stop(&host.pool, send(sync::Arc::clone(host), sync::Arc::clone(&mesh)));
    handle.spawn_until_stop(&host.pool, receive(sync::Arc::clone(host), mesh));
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

/// Sends queued datagrams at once, and heartbeats and digests periodically.
async fn send(host: sync::Arc<host::Host>, mesh: sync::Arc<Mesh>) {
    let (mut heartbeat_due, mut digest_due) = (host.now(), host.now());
    loop {
        let wait = heartbeat_due.since(host.now());
        let _ = tokio::time::timeout(wait, mesh.queued()).await;
        mesh.flush().await;
        let now = host.now();
        if now >= heartbeat_due {
            let peers = mesh.zone_peers();
            let draining = host.lifecycle.stage() >= lifecycle::Stage::Draining;
            mesh.send(&mesh.heartbeat(draining, now), &peers).await;
            heartbeat_due = now + HEARTBEAT_PERIOD.max(min_period(peers.len()));
        }
        if now >= digest_due {
            if mesh.represents_zone(now) {
                mesh.send(&mesh.digest(now), &mesh.relays()).await;
            }
            digest_due = now + DIGEST_PERIOD;
        }
    }
}

/// Minimum time between two heartbeats to each of `peers` nodes at [`MAX_HEARTBEATS_PER_S`].
fn min_period(peers: usize) -> time::Duration {
    time::Duration::from_secs_f64(peers as f64 / MAX_HEARTBEATS_PER_S)
}

/// Handles the datagrams of other nodes, and replies to requests for heartbeats.
async fn receive(host: sync::Arc<host::Host>, mesh: sync::Arc<Mesh>) {
    let mut buffer = [0; 2 * wire::MAX_BYTES];
    let mut unpublished = 0;
    loop {
        let (datagram, length, peer) = mesh.receive(&mut buffer, &mut unpublished).await;
        let now = host.now();
        mesh.handle(&datagram, &buffer[..length], now);
        if datagram.wants_reply {
            let draining = host.lifecycle.stage() >= lifecycle::Stage::Draining;
            mesh.send(&mesh.reply(&datagram, draining, now), &[peer]).await;
        }
    }
}
