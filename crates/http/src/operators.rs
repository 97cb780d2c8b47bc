//! The front end for operators, and metrics.

mod handler;

use std::sync::{Arc, OnceLock};

use corneltrestle_kernel::settings::{Key, Section, Type};
use corneltrestle_kernel::{host, linkme, plugin};
use corneltrestle_node::identity;
use corneltrestle_node::link::Link;
use corneltrestle_node::link::port::NodeLink;
use corneltrestle_platform::store::{self, Store};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tower::ServiceBuilder;

use crate::{request_id, server};

/// Settings of the front end for operators.
pub static SECTION: Section = Section {
    name: "operators",
    help: "The front end for operators; metrics are served without token under `/metrics`.",
    keys: &[
        Key::required("address", Type::Address, "Address on which operators are served."),
        Key::required(
            "token-file",
            Type::Path,
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
    open: open::<store::etcd::NodeStore, NodeLink>,
};

fn open<S: Store, L: Link>(host: &Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let token = identity::read_secret(&host.settings, "operators", "token-file")?;
    let handler = Arc::new(handler::Handler::<S, L>::open(host, token, recorder())?);
    let service =
        ServiceBuilder::new().layer(request_id::RequestIdLayer).service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok(handler.handle(request).await) }
        });
    let address = host.settings.section("operators").address("address");
    server::bind(host, "operators", address, server::Limits::default(), service)
}

/// The process's metrics; several nodes in one process share them.
fn recorder() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Another recorder is in place when the library is embedded; that one then has the metrics.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    RECORDER.get_or_init(install).clone()
}
