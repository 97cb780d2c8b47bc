//! The plug-in that offers the store as a port.

use std::sync::Arc;

use corneltrestle_kernel::host::Host;
use corneltrestle_kernel::linkme;
use corneltrestle_kernel::plugin::{self, Handle, Kind, Plugin};
use corneltrestle_kernel::settings::{Key, Section, Type};

use super::{Config, EtcdStore};
use crate::store::budget::Budget;

/// The store as nodes use it.
pub type NodeStore = EtcdStore<Budget>;

static SECTION: Section = Section {
    name: "store",
    help: "The platform's key-value service, an etcd v3 JSON gateway.",
    keys: &[
        Key::required("address", Type::Address, "Address of the gateway."),
        Key::new("timeout", Type::millis(10, 60_000), "1s", "Longest time of a call."),
        Key::new(
            "order-rate",
            Type::Count { min: 1, max: 10_000 },
            "60",
            "Calls a second of this node for orders; an order takes three.",
        ),
        Key::new(
            "other-rate",
            Type::Count { min: 5, max: 10_000 },
            "25",
            "Calls a second of this node for everything else.",
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
    let config =
        Config { timeout: settings.span("timeout"), ..Config::new(settings.address("address")) };
    let rate = |key| settings.count(key) as f64;
    let budget = Budget::open(host, rate("order-rate"), rate("other-rate"));
    let store: NodeStore = EtcdStore::with_limiter(config, budget);
    host.provide(Arc::new(store));
    Ok(Handle::idle())
}
