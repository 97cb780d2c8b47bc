//! State of the holder of the zone lease, which coordinates the zone's VMs.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, lease, plan};

/// State of the lease holder; rank 35. It is empty on every other node.
#[derive(Debug, Default)]
pub struct Coordinator {
    /// The zone lease, if this node holds it.
    pub held: Option<Held>,
    /// What earlier planning rounds have observed.
    pub observations: plan::Observations,
    /// VMs with an order in flight; each VM gets one order at a time.
    pub in_flight: collections::BTreeSet<id::Vm>,
}

/// A lease with its identifier in the store.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Id of the lease in the store.
    pub id: i64,
    /// Validity by this node's clock, and the fencing token.
    pub lease: lease::Held,
}

impl table::Ranked for Coordinator {
    const RANK: u16 = 35;
    const NAME: &'static str = "coordinator";
}
