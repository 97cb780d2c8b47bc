//! The plug-in that offers the VM list as a port.

use std::sync::Arc;

use corneltrestle_kernel::host::Host;
use corneltrestle_kernel::linkme;
use corneltrestle_kernel::plugin::{self, Handle, Kind, Plugin};
use corneltrestle_kernel::settings::{Key, Section, Type};

use super::{Config, HttpVms};

static SECTION: Section = Section {
    name: "vms",
    help: "The platform's VM list, served as Prometheus HTTP service discovery.",
    keys: &[
        Key::required("address", Type::Address, "Address of the list's server."),
        Key::new("timeout", Type::millis(10, 60_000), "2s", "Longest time for reading the list."),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static VMS: Plugin = Plugin {
    name: "vms",
    kind: Kind::Port,
    section: Some(&SECTION),
    check: plugin::unchecked,
    open,
};

fn open(host: &Arc<Host>) -> plugin::Result<Handle> {
    let settings = host.settings.section(SECTION.name);
    let config =
        Config { timeout: settings.span("timeout"), ..Config::new(settings.address("address")) };
    host.provide(Arc::new(HttpVms::open(config)));
    Ok(Handle::idle())
}
