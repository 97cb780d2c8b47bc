//! Requests of this node's callers by model.

use corneltrestle_kernel::table;
use corneltrestle_policy::demand;

/// Requests by model; lock rank 62.
#[derive(Debug, Default)]
pub struct Demand {
    /// Meter of request rates and sizes by model.
    pub meter: demand::Meter,
}

impl table::Ranked for Demand {
    const RANK: u16 = 62;
    const NAME: &'static str = "demand";
}
