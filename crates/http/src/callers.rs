//! The front end for callers: the OpenAI-compatible API, plain services and health checks.

mod auth;
mod generate;
mod models;
mod plain;
mod router;

use std::sync;

use corneltrestle_engine::{
    engine::{self, Engine},
    service::{self, Service},
};
use corneltrestle_etcd::gateway;
use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{host, linkme, memory, plugin, settings};
use corneltrestle_node::{
    link::{Link, plugins},
    pipeline,
};

use corneltrestle_server as server;

use crate::{refuse, request_body, request_id};

/// The settings section `[callers]`.
pub static SECTION: settings::Section = settings::Section {
    name: "callers",
    help: "The front end for callers.",
    keys: &[
        settings::Key::required(
            "address",
            settings::Type::Address,
            "Address on which callers are served.",
        ),
        settings::Key::new(
            "body-limit",
            settings::Type::Bytes { min: 1_024, max: 67_108_864 },
            "4194304",
            "Limit on the body of a request.",
        ),
        settings::Key::new(
            "body-time",
            settings::Type::millis(100, 300_000),
            "15s",
            "Time limit of receiving the body of a request.",
        ),
        settings::Key::new(
            "header-time",
            settings::Type::millis(100, 60_000),
            "5s",
            "Time limit of receiving the header of a request.",
        ),
        settings::Key::new(
            "read-time",
            settings::Type::millis(100, 300_000),
            "30s",
            "Time without reading after which the connection of a caller is closed, or its HTTP/2 stream aborted.",
        ),
        settings::Key::new(
            "connections",
            settings::Type::Count { min: 1, max: 65_536 },
            "4096",
            "Limit on open connections. At the limit, the one that has waited longest for its first request is closed in favour of a new one, or the new one is refused.",
        ),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static CALLERS: plugin::Plugin = plugin::Plugin {
    name: "callers",
    kind: plugin::Kind::FrontEnd,
    section: Some(&SECTION),
    check,
    open: open::<
        engine::http::HttpEngine,
        service::http::HttpService,
        gateway::NodeStore,
        plugins::NodeLink,
    >,
};

/// Checks that the memory budget can hold a body of the largest size, if its size is configured.
fn check(settings: &settings::Settings) -> plugin::Result<()> {
    let body = settings.section(SECTION.name).count("body-limit");
    let limits = memory::Limits::of(memory::configured(settings));
    let most = limits.most(&memory::Caller::NODE, memory::Kind::Request) as u64;
    if settings.section("node").optional_count(memory::SETTING.name) == Some(0) || body <= most {
        return Ok(());
    }
    let message = format!(
        "[callers] body-limit: {body} is larger than the {most} bytes that [node] memory-limit leaves \
         for bodies, three quarters of it"
    );
    Err(plugin::Error::Settings { plugin: "callers", message })
}

fn open<E: Engine, P: Service, S: Store, L: Link>(
    host: &sync::Arc<host::Host>,
) -> plugin::Result<plugin::Handle> {
    let callers = host.settings.section("callers");
    let limits = server::Limits {
        header_timeout: callers.duration("header-time"),
        read_timeout: callers.duration("read-time"),
        max_connections: usize::try_from(callers.count("connections")).unwrap_or(usize::MAX),
        ..server::Limits::of_node(host)
    };
    let body_limits = request_body::Limits {
        max_bytes: usize::try_from(callers.count("body-limit")).unwrap_or(usize::MAX),
        timeout: callers.duration("body-time"),
    };
    let router = sync::Arc::new(router::Router::new(
        pipeline::Pipeline::<E, P, S, L>::new(host)?,
        sync::Arc::clone(host),
        body_limits,
        callers.duration("read-time"),
    ));
    let service =
        tower::ServiceBuilder::new().layer(request_id::RequestIdLayer).service_fn(move |request| {
            let router = sync::Arc::clone(&router);
            async move { Ok(router.handle(request).await) }
        });
    server::bind(host, "callers", callers.address("address"), move || limits, service, refuse::Json)
}
