//! What a deployment consists of.

use std::time;

use corneltrestle_standin::engine;

/// Zones with their nodes and upstreams, and how the stand-ins behave.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// How engines behave; address, name and fabric are set for each.
    pub engine: engine::Config,
    /// Lag of the VM list.
    pub list_lag: time::Duration,
    /// Further lines of the nodes' settings, with section headers.
    pub settings: String,
}

/// One availability zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Number of entry nodes.
    pub nodes: usize,
    /// Number of fabric domains.
    pub fabrics: usize,
    /// VMs of engines in each fabric domain.
    pub vms: usize,
    /// Number of plain service instances.
    pub services: usize,
}

/// A VM of an engine before it is bound.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub vm: String,
    pub zone: String,
    pub zone_number: usize,
    pub fabric: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self::zones(&["zone-a", "zone-b"])
    }
}

impl Plan {
    /// A small deployment: in each zone two nodes, two fabric domains of three VMs and one order
    /// service.
    pub fn zones(names: &[&str]) -> Self {
        let zone = |name: &&str| Zone {
            name: (*name).to_owned(),
            nodes: 2,
            fabrics: 2,
            vms: 3,
            services: 1,
        };
        Self {
            zones: names.iter().map(zone).collect(),
            engine: engine::Config {
                load_time: time::Duration::from_millis(200),
                first_token: time::Duration::from_millis(20),
                between_tokens: time::Duration::from_millis(5),
                ..engine::Config::default()
            },
            list_lag: time::Duration::from_millis(500),
            settings: String::new(),
        }
    }

    pub(crate) fn node_names(&self) -> Vec<String> {
        let names = |zone: &Zone| {
            let name = zone.name.clone();
            (0..zone.nodes).map(move |number| format!("{name}-entry-{number}"))
        };
        self.zones.iter().flat_map(names).collect()
    }

    pub(crate) fn vm_slots(&self) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (zone_number, zone) in self.zones.iter().enumerate() {
            for fabric in 0..zone.fabrics {
                for vm in 0..zone.vms {
                    slots.push(Slot {
                        vm: format!("{}-f{fabric}-vm{vm}", zone.name),
                        zone: zone.name.clone(),
                        zone_number,
                        fabric: format!("{}-f{fabric}", zone.name),
                    });
                }
            }
        }
        slots
    }
}
