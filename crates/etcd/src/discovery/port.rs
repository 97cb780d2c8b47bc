//! Plug-in that provides the client of the VM list as a port, from the settings section `[vms]`.

use std::sync;

use corneltrestle_kernel::{host, linkme, plugin, settings};

use crate::discovery;

static SECTION: settings::Section = settings::Section {
    name: "vms",
    help: "The platform's VM list, served as Prometheus HTTP service discovery.",
    keys: &[
        settings::Key::required(
            "address",
            settings::Type::Address,
            "Address of the server that provides the list.",
        ),
        settings::Key::new(
            "timeout",
            settings::Type::millis(10, 60_000),
            "2s",
            "Time limit of reading the list once.",
        ),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static VMS: plugin::Plugin = plugin::Plugin {
    name: "vms",
    kind: plugin::Kind::Port,
    section: Some(&SECTION),
    check: plugin::unchecked,
    open,
};

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let settings = host.settings.section(SECTION.name);
    let config = discovery::Config {
        timeout: settings.duration("timeout"),
        ..discovery::Config::new(settings.address("address"))
    };
    host.provide(sync::Arc::new(discovery::HttpVms::open(config)));
    Ok(plugin::Handle::idle())
}
