//! What this node's callers ask of models.

use corneltrestle_kernel::table;
use corneltrestle_policy::demand;

/// Requests by model; rank 62.
#[derive(Debug, Default)]
pub struct Demand {
    /// What was asked.
    pub meter: demand::Meter,
}

impl table::Ranked for Demand {
    const RANK: u16 = 62;
    const NAME: &'static str = "demand";
}
