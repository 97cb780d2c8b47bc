//! What the holder of the coordinator's lease works on.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{fleet, formation, id};
use corneltrestle_time::moment;

/// State of the coordinator; rank 30.
#[derive(Debug, Default)]
pub struct Coordinator {
    /// Memory of the formation of groups, while this node holds the lease.
    pub memory: Option<formation::Memory>,
    /// VMs to which an order is under way.
    pub busy: collections::BTreeSet<id::Vm>,
    /// Until when this node may act by its lease.
    pub valid_until: Option<moment::Moment>,
    /// Whether a VM has seen a higher fencing token.
    pub is_fenced: bool,
    /// VMs that did not answer an order and have not been probed since.
    pub unanswered: collections::BTreeSet<id::Vm>,
    /// VMs that do not answer probes.
    pub lost: collections::BTreeMap<id::Vm, Lost>,
    /// When the state of all groups was last written to the log.
    pub summarized: Option<moment::Moment>,
    /// When each VM was last probed.
    probed: collections::BTreeMap<id::Vm, moment::Moment>,
}

/// A VM that does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    /// Identifier of its start.
    pub born: u64,
    /// Since when it counts as lost.
    pub since: moment::Moment,
}

/// Time for which a probe is remembered.
const PROBE_RETENTION: time::Duration = time::Duration::from_secs(5);

impl Coordinator {
    /// Notes a probe of a VM unless the latest one is younger than `period`; returns whether it is
    /// to be made.
    pub fn begin_probe(
        &mut self,
        vm: &id::Vm,
        period: time::Duration,
        now: moment::Moment,
    ) -> bool {
        if self.probed.get(vm).is_some_and(|at| now.since(*at) < period) {
            return false;
        }
        self.probed.insert(vm.clone(), now);
        true
    }

    /// Forgets VMs that are gone or have started again.
    pub fn prune(&mut self, fleet: &fleet::Fleet, now: moment::Moment) {
        self.lost.retain(|vm, lost| {
            fleet.get(vm.as_str()).is_some_and(|upstream| upstream.born == lost.born)
        });
        self.probed.retain(|_, at| now.since(*at) < PROBE_RETENTION);
    }
}

impl table::Ranked for Coordinator {
    const RANK: u16 = 30;
    const NAME: &'static str = "coordinator";
}
