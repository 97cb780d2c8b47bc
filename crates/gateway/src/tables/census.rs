//! The nodes between which bounds over all nodes are divided.

use corneltrestle_kernel::table;
use corneltrestle_policy::{census, id, pacing};
use corneltrestle_time::moment;

use crate::identity;

/// Nodes that may have a share; lock rank 56.
#[derive(Debug, Default)]
pub struct Census {
    /// `None` before the registrations of nodes are known.
    known: Option<census::Census>,
}

impl table::Ranked for Census {
    const RANK: u16 = 56;
    const NAME: &'static str = "census";
}

impl Census {
    /// Records which nodes are registered now, and how this one is.
    pub fn observe<'a>(
        &mut self,
        identity: &identity::Identity,
        registered: impl IntoIterator<Item = &'a id::Node>,
        view: census::View,
        now: moment::Moment,
    ) {
        let new = || census::Census::new(identity.node.clone(), identity.bootstrap, now);
        self.known.get_or_insert_with(new).observe(registered, view, now);
    }

    /// Number of nodes that may have a share; 0 before they are known.
    pub fn number(&self) -> usize {
        self.known.as_ref().map_or(0, census::Census::number)
    }

    /// The share of this node in a bound over all nodes, from 0 to 1.
    pub fn share(&self, now: moment::Moment) -> f64 {
        self.known.as_ref().map_or(0.0, |known| known.share(now))
    }

    /// The place of this node among those that have a share; `None` if it has none.
    pub fn position(&self, now: moment::Moment) -> Option<pacing::Position> {
        self.known.as_ref()?.position(now)
    }
}
