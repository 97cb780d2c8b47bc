//! The plug-ins of links: their client, provided as a port, and their server.

use std::{net, sync};

use corneltrestle_kernel::{clock, host, linkme, plugin};

use super::{Link, handler, serve};
use crate::{identity, link};

/// The link client that nodes use.
pub type NodeLink = link::TonicLink<clock::System>;

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static CLIENT: plugin::Plugin = plugin::Plugin {
    name: "link-client",
    kind: plugin::Kind::Port,
    section: None,
    check: plugin::unchecked,
    open: open_client,
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static SERVER: plugin::Plugin = plugin::Plugin {
    name: "link-server",
    kind: plugin::Kind::Link,
    section: None,
    check: plugin::unchecked,
    open: open_server::<NodeLink>,
};

fn open_client(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    // Ports open in the order of their names, so "identity" is open before "link-client".
    let identity = host.port::<identity::Identity>()?;
    let clock = sync::Arc::new(host.clock);
    let link = link::TonicLink::new(clock, identity.secret.bytes(), link::Limits::default())
        .map_err(|e| plugin::Error::Settings { plugin: "link-client", message: e.to_string() })?;
    host.provide(sync::Arc::new(link));
    Ok(plugin::Handle::idle())
}

fn open_server<L: Link>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let identity = host.port::<identity::Identity>()?;
    let refused = |source| plugin::Error::Bind {
        plugin: "link-server",
        address: identity.bind.to_string(),
        source,
    };
    let listener = net::TcpListener::bind(identity.bind).map_err(refused)?;
    listener.set_nonblocking(true).map_err(refused)?;
    let handler = sync::Arc::new(handler::NodeHandler::<L>::new(host)?);
    let handle = plugin::Handle::default();
    let stop = handle.stop_token().clone();
    handle.spawn(&host.pool, async move {
        let served = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => serve(listener, handler, identity.secret.bytes(), stop).await,
            Err(e) => return log::error!("link: cannot use the listener: {e}"),
        };
        if let Err(e) = served {
            log::error!("link: {e}");
        }
    });
    Ok(handle)
}
