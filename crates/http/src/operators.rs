//! The front end for operators: release notes, status and metrics.

mod handler;

use std::sync;

use corneltrestle_etcd::gateway;
use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{host, linkme, plugin, settings};
use corneltrestle_node::{
    identity,
    link::{Link, plugins},
};

use corneltrestle_server as server;
use corneltrestle_telemetry::recorder;

use crate::{refuse, request_id};

/// The settings section `[operators]`.
pub static SECTION: settings::Section = settings::Section {
    name: "operators",
    help: "The front end for operators; metrics are served under `/metrics` without a token.",
    keys: &[
        settings::Key::required(
            "address",
            settings::Type::Address,
            "Address on which operators are served.",
        ),
        settings::Key::required(
            "token-file",
            settings::Type::Path,
            "File with the token that operators send, at least 16 bytes.",
        ),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static OPERATORS: plugin::Plugin = plugin::Plugin {
    name: "operators",
    kind: plugin::Kind::FrontEnd,
    section: Some(&SECTION),
    check: plugin::unchecked,
    open: open::<gateway::NodeStore, plugins::NodeLink>,
};

fn open<S: Store, L: Link>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let token = identity::read_secret(&host.settings, "operators", "token-file")?;
    let handler =
        sync::Arc::new(handler::Handler::<S, L>::open(host, token, recorder::Metrics::open(host))?);
    let service =
        tower::ServiceBuilder::new().layer(request_id::RequestIdLayer).service_fn(move |request| {
            let handler = sync::Arc::clone(&handler);
            async move { Ok(handler.handle(request).await) }
        });
    let address = host.settings.section("operators").address("address");
    let limits = server::Limits { is_operator: true, ..server::Limits::of_node(host) };
    server::bind(host, "operators", address, move || limits, service, refuse::Json)
}
