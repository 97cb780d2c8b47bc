//! Duty: exchanges pulses with the other nodes.

use std::{net, sync, time};

use corneltrestle_kernel::{host, lifecycle, linkme, plugin};
use corneltrestle_wire::mesh as wire;

use crate::{
    identity,
    mesh::{self, Mesh},
    tables,
};

/// Least time between two pulses to the nodes of the own zone.
const NEAR_PERIOD: time::Duration = time::Duration::from_millis(80);

/// Time between two digests to other zones, as traffic between zones is dear.
const FAR_PERIOD: time::Duration = time::Duration::from_millis(240);

/// Pulses a second that a node sends; with more peers they are sent less often.
const RATE: f64 = 240.0;

/// Registered as a port, so that the duties that open later find the mesh.
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

/// Answers the calls of other nodes.
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

/// Sends what is urgent at once, and pulses and digests from time to time.
async fn send(host: sync::Arc<host::Host>, mesh: sync::Arc<Mesh>) {
    let (mut near_due, mut far_due) = (host.now(), host.now());
    loop {
        let wait = near_due.since(host.now());
        let _ = tokio::time::timeout(wait, mesh.urgent()).await;
        mesh.flush().await;
        let now = host.now();
        if now >= near_due {
            let near = mesh.near();
            let draining = host.lifecycle.stage() >= lifecycle::Stage::Draining;
            mesh.send(&mesh.pulse(draining, now), &near).await;
            near_due = now + NEAR_PERIOD.max(spread(near.len()));
        }
        if now >= far_due {
            if mesh.speaks(now) {
                mesh.send(&mesh.digest(now), &mesh.relays()).await;
            }
            far_due = now + FAR_PERIOD;
        }
    }
}

/// Time between two pulses to each of so many peers, within the rate.
fn spread(peers: usize) -> time::Duration {
    time::Duration::from_secs_f64(peers as f64 / RATE)
}

/// Takes the datagrams of other nodes, and answers those that ask.
async fn receive(host: sync::Arc<host::Host>, mesh: sync::Arc<Mesh>) {
    let mut buffer = [0; 2 * wire::MAX_BYTES];
    loop {
        let (datagram, length, peer) = mesh.receive(&mut buffer).await;
        let now = host.now();
        mesh.take(&datagram, &buffer[..length], now);
        if datagram.asks {
            let draining = host.lifecycle.stage() >= lifecycle::Stage::Draining;
            mesh.send(&mesh.answer(&datagram, draining, now), &[peer]).await;
        }
    }
}
