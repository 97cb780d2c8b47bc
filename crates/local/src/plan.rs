//! Composition of a deployment.

use std::time;

use corneltrestle_standin::engine;

/// Composition of a deployment, and the behaviour of its stand-ins.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// Behaviour of all engines; address, VM and fabric are replaced by those of each engine.
    pub engine: engine::Config,
    /// Time after which a change of the VM list is visible to its readers.
    pub list_lag: time::Duration,
    /// Lines appended to the settings of each node, with section headers; may be empty.
    pub settings: String,
}

/// Composition of one availability zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Number of entry nodes.
    pub nodes: usize,
    /// Number of fabric domains.
    pub fabrics: usize,
    /// Number of engine VMs in each fabric domain.
    pub vms: usize,
    /// Number of order service instances.
    pub services: usize,
}

/// A VM of the plan on which an engine is to be started.
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
    /// A small deployment with these zones, each with two nodes, two fabric domains of three VMs and one
    /// order service.
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
