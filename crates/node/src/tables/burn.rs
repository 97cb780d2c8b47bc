//! Service-level counts, from which burn rates of the error budget are computed.

use corneltrestle_kernel::table;
use corneltrestle_policy::burn;

/// Service-level counts of this node; rank 100.
#[derive(Debug, Default)]
pub struct Burn {
    /// Counts of the last 24 hours by service, organisation and minute.
    pub counts: burn::Recorder,
}

impl table::Ranked for Burn {
    const RANK: u16 = 100;
    const NAME: &'static str = "burn";
}
