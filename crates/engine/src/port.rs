//! Plug-in that provides the clients of upstreams as ports, from the settings section `[upstream]`.

use std::sync;

use corneltrestle_client::{body, pool};
use corneltrestle_kernel::{host, linkme, plugin, settings};

use crate::{engine, service};

/// Upper bound of the settings of size limits.
const MAX_LIMIT_BYTES: u64 = 1_000_000_000;

static SECTION: settings::Section = settings::Section {
    name: "upstream",
    help: "Connections to engines and plain services.",
    keys: &[
        settings::Key::new(
            "connect-timeout",
            settings::Type::millis(10, 60_000),
            "1s",
            "Time limit of establishing a connection.",
        ),
        settings::Key::new(
            "timeout",
            settings::Type::millis(10, 60_000),
            "1s",
            "Time limit of reading a report or cache events and of a cancellation.",
        ),
        settings::Key::new(
            "order-timeout",
            settings::Type::millis(10, 60_000),
            "10s",
            "Time limit of an order and of an export or import of KV cache.",
        ),
        settings::Key::new(
            "progress-timeout",
            settings::Type::millis(10, 60_000),
            "5s",
            "Time without a new token after which a stream fails.",
        ),
        settings::Key::new(
            "max-event",
            settings::Type::Bytes { min: 1_000, max: MAX_LIMIT_BYTES },
            "256000",
            "Limit on an event of a stream.",
        ),
        settings::Key::new(
            "max-body",
            settings::Type::Bytes { min: 1_000, max: MAX_LIMIT_BYTES },
            "8000000",
            "Limit on the body of a response that is not streamed.",
        ),
        settings::Key::new(
            "max-cache",
            settings::Type::Bytes { min: 1_000, max: MAX_LIMIT_BYTES },
            "256000000",
            "Limit on an exported KV cache.",
        ),
        settings::Key::new(
            "idle",
            settings::Type::Count { min: 0, max: 1_000 },
            "32",
            "Idle connections kept per peer.",
        ),
        settings::Key::new(
            "max-age",
            settings::Type::millis(1_000, 86_400_000),
            "10m",
            "Age at which a connection is no longer used.",
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
        memory: Some(body::Memory::of(host)),
    })));
    let max_body = size(settings, "max-body");
    host.provide(sync::Arc::new(service::http::HttpService::open(service::http::Config {
        max_body,
        pool,
        memory: Some(body::Memory::of(host)),
    })));
    Ok(plugin::Handle::idle())
}

fn size(settings: settings::View<'_>, key: &'static str) -> usize {
    usize::try_from(settings.count(key)).unwrap_or(usize::MAX)
}
