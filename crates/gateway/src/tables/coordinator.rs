//! What the holder of the coordinator's lease works on.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{formation, id};
use corneltrestle_time::moment;

/// State of the coordinator; rank 30.
#[derive(Debug, Default)]
pub struct Coordinator {
    /// Memory of the formation of groups, while this node holds the lease.
    pub memory: Option<formation::Memory>,
    /// VMs to which an order is under way.
    pub busy: collections::BTreeSet<id::Vm>,
    /// Until when this node may act by its lease.
    pub valid: Option<moment::Moment>,
    /// Whether a VM has seen a higher fencing token.
    pub is_fenced: bool,
    /// VMs that did not answer an order, and when.
    pub silent: collections::BTreeMap<id::Vm, moment::Moment>,
}

impl table::Ranked for Coordinator {
    const RANK: u16 = 30;
    const NAME: &'static str = "coordinator";
}
