//! Duty: exchanges pulses with the other nodes.

use std::{net, sync, time};

use corneltrestle_kernel::{host, linkme, plugin, run};

use crate::{
    identity,
    mesh::{self, Mesh},
    tables,
};

/// Least time between two pulses to the nodes of the own zone.
const NEAR_PERIOD: time::Duration = time::Duration::from_millis(80);

/// Least time between two pulses to the nodes of other zones, as traffic between zones is dear.
const FAR_PERIOD: time::Duration = time::Duration::from_millis(240);

/// Pulses a second that a node sends; with more peers they are sent less often.
const RATE: f64 = 60.0;

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
        step: "mesh",
        peer,
        source,
    })?;
    drop(entered);
    host.provide(sync::Arc::clone(&mesh));
    let handle = plugin::Handle::default();
    handle.run_until_stop(&host.pool, send(sync::Arc::clone(host), sync::Arc::clone(&mesh)));
    handle.run_until_stop(&host.pool, receive(sync::Arc::clone(host), mesh));
    open_link(host, &handle)?;
    Ok(handle)
}

/// Answers the calls of other nodes.
fn open_link(host: &sync::Arc<host::Host>, handle: &plugin::Handle) -> plugin::Result<()> {
    let identity = host.port::<identity::Identity>()?;
    let refused =
        |source| plugin::Error::Bind { step: "mesh", peer: identity.link.to_string(), source };
    let listener = net::TcpListener::bind(identity.link).map_err(refused)?;
    listener.set_nonblocking(true).map_err(refused)?;
    let (server, stop) = (sync::Arc::clone(host), handle.stop().clone());
    handle.run(&host.pool, async move {
        if let Err(e) = mesh::serve(listener, server, stop).await {
            log::error!("mesh: {e}");
        }
    });
    Ok(())
}

/// Sends pulses, those that are urgent at once.
async fn send(host: sync::Arc<host::Host>, mesh: sync::Arc<Mesh>) {
    let mut far_due = host.now();
    loop {
        let is_urgent = tokio::time::timeout(near_period(&mesh), mesh.urgent()).await.is_ok();
        let now = host.now();
        let (near, far) = mesh.peers();
        let draining = host.run.stage() >= run::Stage::Draining;
        let pulse = mesh.pulse(mesh.takes_ask(), draining, now);
        mesh.send(&pulse, &near).await;
        if is_urgent || now >= far_due {
            mesh.send(&pulse, &far).await;
            far_due = now + FAR_PERIOD.max(spread(far.len()));
        }
    }
}

fn near_period(mesh: &Mesh) -> time::Duration {
    NEAR_PERIOD.max(spread(mesh.peers().0.len()))
}

/// Time between two pulses to each of so many peers, within the rate.
fn spread(peers: usize) -> time::Duration {
    time::Duration::from_secs_f64(peers as f64 / RATE)
}

/// Takes the pulses of peers, and answers those that ask.
async fn receive(host: sync::Arc<host::Host>, mesh: sync::Arc<Mesh>) {
    loop {
        let (pulse, peer) = mesh.receive().await;
        let now = host.now();
        mesh.take(&pulse, peer, now);
        if pulse.asks {
            let draining = host.run.stage() >= run::Stage::Draining;
            mesh.send(&mesh.pulse(false, draining, now), &[peer]).await;
        }
    }
}
