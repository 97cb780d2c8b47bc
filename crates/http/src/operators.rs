//! The front end for operators, and metrics.

mod handler;

use std::sync;

use corneltrestle_etcd::gateway;
use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{host, linkme, plugin, settings};
use corneltrestle_node::{
    identity,
    link::{Link, port},
};

use corneltrestle_server as server;

use crate::{refuse, request_id};

/// Settings of the front end for operators.
pub static SECTION: settings::Section = settings::Section {
    name: "operators",
    help: "The front end for operators; metrics are served without token under `/metrics`.",
    keys: &[
        settings::Key::required(
            "address",
            settings::Type::Address,
            "Address on which operators are served.",
        ),
        settings::Key::required(
            "token-file",
            settings::Type::Path,
            "File with the token that operators send, 16 bytes or more.",
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
    open: open::<gateway::NodeStore, port::NodeLink>,
};

fn open<S: Store, L: Link>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let token = identity::read_secret(&host.settings, "operators", "token-file")?;
    let handler = sync::Arc::new(handler::Handler::<S, L>::open(host, token, recorder())?);
    let service =
        tower::ServiceBuilder::new().layer(request_id::RequestIdLayer).service_fn(move |request| {
            let handler = sync::Arc::clone(&handler);
            async move { Ok(handler.handle(request).await) }
        });
    let address = host.settings.section("operators").address("address");
    server::bind(host, "operators", address, server::Limits::default, service, refuse::Json)
}

/// The process's metrics; several nodes in one process share them.
fn recorder() -> metrics_exporter_prometheus::PrometheusHandle {
    static RECORDER: sync::OnceLock<metrics_exporter_prometheus::PrometheusHandle> =
        sync::OnceLock::new();
    let install = || {
        let recorder = metrics_exporter_prometheus::PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Another recorder is in place when the library is embedded; that one then has the metrics.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    RECORDER.get_or_init(install).clone()
}
