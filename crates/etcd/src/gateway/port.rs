//! Plug-in that provides the client of the store as a port, from the settings section `[store]`.

use std::sync;

use corneltrestle_kernel::{host, linkme, plugin, settings};

use corneltrestle_infra::store::budget;
use corneltrestle_policy::calls;

use crate::gateway;

/// The store client of a node, whose calls are limited by its call budget.
pub type NodeStore = gateway::EtcdStore<budget::Budget>;

static SECTION: settings::Section = settings::Section {
    name: "store",
    help: "The platform's key-value service, an etcd v3 JSON gateway.",
    keys: &[
        settings::Key::required("address", settings::Type::Address, "Address of the gateway."),
        settings::Key::new(
            "timeout",
            settings::Type::millis(10, 60_000),
            "1s",
            "Time limit of a call.",
        ),
        settings::Key::new(
            "order-rate",
            settings::Type::Count { min: 1, max: 10_000 },
            "60",
            "Calls per second that this node may make for orders; an order takes three.",
        ),
        settings::Key::new(
            "other-rate",
            settings::Type::Count { min: 5, max: 10_000 },
            "25",
            "Calls per second that this node may make for everything else.",
        ),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static STORE: plugin::Plugin = plugin::Plugin {
    name: "store",
    kind: plugin::Kind::Port,
    section: Some(&SECTION),
    check: plugin::unchecked,
    open,
};

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let settings = host.settings.section(SECTION.name);
    let config = gateway::Config {
        timeout: settings.duration("timeout"),
        ..gateway::Config::new(settings.address("address"))
    };
    let rate = |key| settings.count(key) as f64;
    let budget = budget::Budget::open(
        host,
        rate("order-rate"),
        rate("other-rate"),
        calls::Recovery::default(),
    );
    let store: NodeStore = gateway::EtcdStore::with_limiter(config, budget);
    host.provide(sync::Arc::new(store));
    Ok(plugin::Handle::idle())
}
