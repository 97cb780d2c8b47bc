//! The nodes that this node knows of.

use corneltrestle_kernel::table;
use corneltrestle_policy::membership;

/// The members and the news that were forwarded; rank 20.
#[derive(Debug)]
pub struct Members {
    /// The members.
    pub known: membership::Members,
    /// News that this node has forwarded.
    pub forwarded: membership::Forwarded,
}

impl table::Ranked for Members {
    const RANK: u16 = 20;
    const NAME: &'static str = "members";
}
