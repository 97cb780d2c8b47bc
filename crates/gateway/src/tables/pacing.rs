//! Requests that this node has sent to cold upstreams. These have started recently and sustain only
//! a limited rate of requests until their caches are filled.

use corneltrestle_kernel::table;
use corneltrestle_policy::pacing;

/// Requests to cold upstreams; lock rank 55.
#[derive(Debug, Default)]
pub struct Pacing {
    /// Recent requests by upstream, and the limits on further ones.
    pub sent: pacing::Pacing,
}

impl table::Ranked for Pacing {
    const RANK: u16 = 55;
    const NAME: &'static str = "pacing";
}
