//! The plug-in that offers the clients of upstreams as ports.

use std::sync;

use corneltrestle_client::pool;
use corneltrestle_kernel::{host, linkme, plugin, settings};

use crate::{engine, service};

/// Sizes of bodies are below 1 GB.
const MAX_BYTES: u64 = 1_000_000_000;

static SECTION: settings::Section = settings::Section {
    name: "upstream",
    help: "Connections to engines and plain services.",
    keys: &[
        settings::Key::new(
            "connect-timeout",
            settings::Type::millis(10, 60_000),
            "1s",
            "Longest time for connecting.",
        ),
        settings::Key::new(
            "timeout",
            settings::Type::millis(10, 60_000),
            "1s",
            "Longest time for a report, a batch of cache events or a cancellation.",
        ),
        settings::Key::new(
            "order-timeout",
            settings::Type::millis(10, 60_000),
            "10s",
            "Longest time for an order or for moving KV cache.",
        ),
        settings::Key::new(
            "progress-timeout",
            settings::Type::millis(10, 60_000),
            "5s",
            "Longest time between two events of a stream.",
        ),
        settings::Key::new(
            "max-event",
            settings::Type::Bytes { min: 1_000, max: MAX_BYTES },
            "256000",
            "Largest event of a stream.",
        ),
        settings::Key::new(
            "max-body",
            settings::Type::Bytes { min: 1_000, max: MAX_BYTES },
            "8000000",
            "Largest body of an answer that is not streamed.",
        ),
        settings::Key::new(
            "max-cache",
            settings::Type::Bytes { min: 1_000, max: MAX_BYTES },
            "256000000",
            "Largest exported KV cache.",
        ),
        settings::Key::new(
            "idle",
            settings::Type::Count { min: 0, max: 1_000 },
            "32",
            "Idle connections that are kept per peer.",
        ),
        settings::Key::new(
            "max-age",
            settings::Type::millis(1_000, 86_400_000),
            "10m",
            "Age at which a connection is closed.",
        ),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static UPSTREAM: plugin::Plugin = plugin::Plugin {
    name: "upstream",
    kind: plugin::Kind::Port,
    section: Some(&SECTION),
    check: plugin::unchecked,
    open,
};

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let settings = host.settings.section(SECTION.name);
    let pool = pool::Config {
        connect_timeout: settings.duration("connect-timeout"),
        max_idle: size(settings, "idle"),
        max_age: settings.duration("max-age"),
        ..pool::Config::default()
    };
    host.provide(sync::Arc::new(engine::http::HttpEngine::open(engine::http::Config {
        timeout: settings.duration("timeout"),
        order_timeout: settings.duration("order-timeout"),
        progress_timeout: settings.duration("progress-timeout"),
        max_event: size(settings, "max-event"),
        max_body: size(settings, "max-body"),
        max_cache: size(settings, "max-cache"),
        pool: pool.clone(),
    })));
    let max_body = size(settings, "max-body");
    host.provide(sync::Arc::new(service::http::HttpService::open(service::http::Config {
        max_body,
        pool,
    })));
    Ok(plugin::Handle::idle())
}

fn size(settings: settings::View<'_>, key: &'static str) -> usize {
    usize::try_from(settings.count(key)).unwrap_or(usize::MAX)
}
