//! Service-level counts.

use corneltrestle_kernel::table;
use corneltrestle_policy::burn;

/// Service-level counts of this node; rank 100.
#[derive(Debug, Default)]
pub struct Burn {
    /// The counts.
    pub counts: burn::Recorder,
}

impl table::Ranked for Burn {
    const RANK: u16 = 100;
    const NAME: &'static str = "burn";
}
