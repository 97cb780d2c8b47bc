//! What the holder of the zone lease knows.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, lease, plan};

/// State of the holder; rank 35. It is empty on every other node.
#[derive(Debug, Default)]
pub struct Coordinator {
    /// The lease, if this node holds it.
    pub held: Option<Held>,
    /// Observations between rounds.
    pub memory: plan::Observations,
    /// VMs with an order in flight.
    pub ordered: collections::BTreeSet<id::Vm>,
}

/// A lease with its identifier in the store.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Identifier in the store.
    pub id: i64,
    /// Validity and fencing token.
    pub lease: lease::Held,
}

impl table::Ranked for Coordinator {
    const RANK: u16 = 35;
    const NAME: &'static str = "coordinator";
}
