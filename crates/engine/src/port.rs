//! The plug-in that offers the clients of upstreams as ports.

use std::sync::Arc;

use corneltrestle_client::pool;
use corneltrestle_kernel::host::Host;
use corneltrestle_kernel::linkme;
use corneltrestle_kernel::plugin::{self, Handle, Kind, Plugin};
use corneltrestle_kernel::settings::{Key, Section, Type, View};

use crate::{engine, service};

/// Sizes of bodies are below 1 GB.
const MAX_BYTES: u64 = 1_000_000_000;

static SECTION: Section = Section {
    name: "upstream",
    help: "Connections to engines and plain services.",
    keys: &[
        Key::new("connect-timeout", Type::millis(10, 60_000), "1s", "Longest time for connecting."),
        Key::new(
            "timeout",
            Type::millis(10, 60_000),
            "1s",
            "Longest time for a report, a batch of cache events or a cancellation.",
        ),
        Key::new(
            "order-timeout",
            Type::millis(10, 60_000),
            "10s",
            "Longest time for an order or for moving KV cache.",
        ),
        Key::new(
            "progress-timeout",
            Type::millis(10, 60_000),
            "5s",
            "Longest time between two events of a stream.",
        ),
        Key::new(
            "max-event",
            Type::Bytes { min: 1_000, max: MAX_BYTES },
            "256000",
            "Largest event of a stream.",
        ),
        Key::new(
            "max-body",
            Type::Bytes { min: 1_000, max: MAX_BYTES },
            "8000000",
            "Largest body of an answer that is not streamed.",
        ),
        Key::new(
            "max-cache",
            Type::Bytes { min: 1_000, max: MAX_BYTES },
            "256000000",
            "Largest exported KV cache.",
        ),
        Key::new(
            "idle",
            Type::Count { min: 0, max: 1_000 },
            "32",
            "Idle connections that are kept per peer.",
        ),
        Key::new(
            "max-age",
            Type::millis(1_000, 86_400_000),
            "10m",
            "Age at which a connection is closed.",
        ),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static UPSTREAM: Plugin = Plugin {
    name: "upstream",
    kind: Kind::Port,
    section: Some(&SECTION),
    check: plugin::unchecked,
    open,
};

fn open(host: &Arc<Host>) -> plugin::Result<Handle> {
    let settings = host.settings.section(SECTION.name);
    let pool = pool::Config {
        connect: settings.span("connect-timeout"),
        idle: size(settings, "idle"),
        age: settings.span("max-age"),
    };
    host.provide(Arc::new(engine::http::HttpEngine::open(engine::http::Config {
        timeout: settings.span("timeout"),
        order: settings.span("order-timeout"),
        progress: settings.span("progress-timeout"),
        event: size(settings, "max-event"),
        body: size(settings, "max-body"),
        cache: size(settings, "max-cache"),
        pool: pool.clone(),
    })));
    let body = size(settings, "max-body");
    host.provide(Arc::new(service::http::HttpService::open(service::http::Config { body, pool })));
    Ok(Handle::idle())
}

fn size(settings: View<'_>, key: &'static str) -> usize {
    usize::try_from(settings.count(key)).unwrap_or(usize::MAX)
}
