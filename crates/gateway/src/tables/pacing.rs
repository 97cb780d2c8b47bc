//! Requests that this node has sent to cold upstreams.

use corneltrestle_kernel::table;
use corneltrestle_policy::pacing;

/// Requests to cold upstreams; rank 55.
#[derive(Debug, Default)]
pub struct Pacing {
    /// What was sent.
    pub sent: pacing::Pacing,
}

impl table::Ranked for Pacing {
    const RANK: u16 = 55;
    const NAME: &'static str = "pacing";
}
