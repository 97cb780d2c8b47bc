//! The plug-in that offers the store as a port.

use std::sync::Arc;

use corneltrestle_kernel::host::Host;
use corneltrestle_kernel::linkme;
use corneltrestle_kernel::plugin::{self, Handle, Kind, Plugin};
use corneltrestle_kernel::settings::{Key, Section, Type};

use super::{Config, EtcdStore};

static SECTION: Section = Section {
    name: "store",
    help: "The platform's key-value service, an etcd v3 JSON gateway.",
    keys: &[
        Key::required("address", Type::Address, "Address of the gateway."),
        Key::new("timeout", Type::millis(10, 60_000), "1s", "Longest time of a call."),
        Key::new(
            "in-flight",
            Type::Count { min: 1, max: 64 },
            "8",
            "Calls in flight, waiting watches included.",
        ),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static STORE: Plugin = Plugin {
    name: "store",
    kind: Kind::Port,
    section: Some(&SECTION),
    check: plugin::unchecked,
    open,
};

fn open(host: &Arc<Host>) -> plugin::Result<Handle> {
    let settings = host.settings.section(SECTION.name);
    let calls = usize::try_from(settings.count("in-flight")).unwrap_or(usize::MAX);
    let config = Config {
        timeout: settings.span("timeout"),
        calls,
        ..Config::new(settings.address("address"))
    };
    host.provide(Arc::new(EtcdStore::open(config)));
    Ok(Handle::idle())
}
