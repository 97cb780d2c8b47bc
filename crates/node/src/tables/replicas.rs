//! The newest known assignment of each zone.

use std::{collections, sync};

use corneltrestle_kernel::table;
use corneltrestle_policy::{assignment, id};

/// The assignments; rank 30.
#[derive(Debug, Default)]
pub struct Replicas {
    zones: collections::BTreeMap<id::Zone, Stored>,
}

/// An assignment with its version in the store.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Version of the value in the store; 0 if no assignment is known.
    pub version: u64,
    /// The VMs of each replica of the zone.
    pub assignment: sync::Arc<assignment::Assignment>,
}

impl table::Ranked for Replicas {
    const RANK: u16 = 30;
    const NAME: &'static str = "replicas";
}

impl Replicas {
    /// Adopts an assignment if its version is higher than the known one; returns whether it is.
    pub fn adopt(
        &mut self,
        zone: &id::Zone,
        version: u64,
        assignment: assignment::Assignment,
    ) -> bool {
        let known = self.zones.entry(zone.clone()).or_default();
        let newer = version > known.version;
        if newer {
            *known = Stored { version, assignment: sync::Arc::new(assignment) };
        }
        newer
    }

    /// The assignment of a zone; empty at version 0 if none is known.
    pub fn zone(&self, zone: &str) -> Stored {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// All zones with a known assignment.
    pub fn zones(&self) -> impl Iterator<Item = (&id::Zone, &Stored)> {
        self.zones.iter()
    }
}
