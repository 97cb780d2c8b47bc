//! Identity of this node, from the settings and the VM.

use std::{collections, net, sync};

use corneltrestle_kernel::{host, linkme, memory, plugin, settings, shutdown};
use corneltrestle_policy::id;

/// Identity of this node.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the node, unique in the deployment.
    pub node: id::Node,
    /// Availability zone in which it runs.
    pub zone: id::Zone,
    /// UDP address on which it receives datagrams of other nodes.
    pub mesh: net::SocketAddr,
    /// TCP address on which it answers calls of other nodes.
    pub link: net::SocketAddr,
    /// Random identifier of this process; never 0.
    pub boot: u64,
    /// Memory of the VM in MiB.
    pub memory: u64,
    /// Whether the process was started with the whole deployment, before its first request.
    pub bootstrap: bool,
    /// Region of each zone; empty if regions are not configured.
    pub regions: collections::BTreeMap<id::Zone, id::Region>,
}

static SECTION: settings::Section = settings::Section {
    name: "node",
    help: "Identity of the node, its addresses and its shutdown.",
    keys: &[
        settings::Key::required("id", settings::Type::Text, "Name of the node, unique."),
        settings::Key::required("zone", settings::Type::Text, "Availability zone."),
        settings::Key::required(
            "mesh",
            settings::Type::Address,
            "UDP address for datagrams from other nodes.",
        ),
        settings::Key::required(
            "link",
            settings::Type::Address,
            "TCP address for calls from other nodes.",
        ),
        settings::Key::new(
            "regions",
            settings::Type::Text,
            "none",
            "Region of each availability zone, as `zone:region` pairs separated by spaces.",
        ),
        settings::Key::new(
            "workers",
            settings::Type::Count { min: 1, max: 64 },
            "1",
            "Worker threads.",
        ),
        settings::Key::new(
            "bootstrap",
            settings::Type::Flag,
            "no",
            "Whether the whole deployment starts for the first time. Until the first request, loads of weights are then not limited, and the slack of the retry budget is there at once.",
        ),
        settings::Key::new(
            "drain-delay",
            settings::Type::millis(0, 60_000),
            "2500ms",
            "Time for which a stopping node still accepts new connections, enough for two checks of the load balancer.",
        ),
        settings::Key::new(
            "drain-limit",
            settings::Type::millis(100, 600_000),
            "5s",
            "Longest time after the delay for requests in progress to finish.",
        ),
        shutdown::SETTING,
        memory::SETTING,
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static IDENTITY: plugin::Plugin = plugin::Plugin {
    name: "identity",
    kind: plugin::Kind::Port,
    section: Some(&SECTION),
    check,
    open,
};

impl Identity {
    /// The region of a zone; `None` if not configured.
    pub fn region(&self, zone: &str) -> Option<&id::Region> {
        self.regions.get(zone)
    }
}

fn check(settings: &settings::Settings) -> plugin::Result<()> {
    shutdown::check(settings)?;
    regions(settings).map(|_| ())
}

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let node = host.settings.section(SECTION.name);
    let identity = Identity {
        node: node.text("id").into(),
        zone: node.text("zone").into(),
        mesh: node.address("mesh"),
        link: node.address("link"),
        boot: rand::random::<u64>().max(1),
        memory: memory(),
        bootstrap: node.flag("bootstrap"),
        regions: regions(&host.settings)?,
    };
    log::info!(node = identity.node.as_str(), zone = identity.zone.as_str(), boot = identity.boot, bootstrap = identity.bootstrap; "node: started");
    host.provide(sync::Arc::new(identity));
    Ok(plugin::Handle::idle())
}

/// Memory of the VM in MiB.
fn memory() -> u64 {
    let info = rustix::system::sysinfo();
    let bytes = info.totalram * u64::from(info.mem_unit.max(1));
    bytes / (1024 * 1024)
}

fn regions(
    settings: &settings::Settings,
) -> plugin::Result<collections::BTreeMap<id::Zone, id::Region>> {
    let text = settings.section(SECTION.name).text("regions");
    if text == "none" {
        return Ok(collections::BTreeMap::new());
    }
    text.split_whitespace()
        .map(|pair| match pair.split_once(':') {
            Some((zone, region)) if !zone.is_empty() && !region.is_empty() => {
                Ok((zone.into(), region.into()))
            }
            _ => Err(plugin::Error::Settings {
                plugin: "node",
                message: format!("[node] regions: `{pair}` is not of the form zone:region"),
            }),
        })
        .collect()
}
