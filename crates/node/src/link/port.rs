//! Plug-ins: the client of the links as a port, and their server.

use std::net::TcpListener;
use std::sync::Arc;

use corneltrestle_kernel::{clock, host, linkme, plugin};

use super::answer::Answers;
use super::{Limits, Link, TonicLink, serve};
use crate::identity;

/// The client of the links that nodes use.
pub type NodeLink = TonicLink<clock::System>;

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

fn open_client(host: &Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    // Ports open in the order of their names; "identity" is before "link-client".
    let identity = host.port::<identity::Identity>()?;
    let clock = Arc::new(host.clock);
    let link = TonicLink::open(clock, identity.secret.bytes(), Limits::default())
        .map_err(|e| plugin::Error::Settings { step: "link-client", hint: e.to_string() })?;
    host.provide(Arc::new(link));
    Ok(plugin::Handle::idle())
}

fn open_server<L: Link>(host: &Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let identity = host.port::<identity::Identity>()?;
    let refused = |source| plugin::Error::Bind {
        step: "link-server",
        peer: identity.bind.to_string(),
        source,
    };
    let listener = TcpListener::bind(identity.bind).map_err(refused)?;
    listener.set_nonblocking(true).map_err(refused)?;
    let answers = Arc::new(Answers::<L>::open(host)?);
    let handle = plugin::Handle::default();
    let stop = handle.stop().clone();
    handle.run(&host.pool, async move {
        let served = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => serve(listener, answers, identity.secret.bytes(), stop).await,
            Err(e) => return log::error!("link: cannot use the listener: {e}"),
        };
        if let Err(e) = served {
            log::error!("link: {e}");
        }
    });
    Ok(handle)
}
