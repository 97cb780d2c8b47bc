//! State of the coordinator.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{fleet, formation, id};
use corneltrestle_time::moment;

/// State of the coordinator; lock rank 30. Probes and orders are tracked here.
#[derive(Debug, Default)]
pub struct Coordinator {
    /// State of the formation decisions; `None` while this node does not hold the lease.
    pub state: Option<formation::State>,
    /// Groups that this node has seen complete, whether it held the lease or not.
    pub complete: formation::CompleteGroups,
    /// VMs with an order in progress.
    pub busy: collections::BTreeSet<id::Vm>,
    /// Until when this node may act as the coordinator; `None` while it does not hold the lease.
    pub valid_until: Option<moment::Moment>,
    /// Whether a VM rejected an order because it has seen a higher fencing token. The node then
    /// steps down.
    pub is_fenced: bool,
    /// VMs that did not answer an order and have not been probed since.
    pub unanswered: collections::BTreeSet<id::Vm>,
    /// VMs that count as lost, as they do not answer probes.
    pub lost: collections::BTreeMap<id::Vm, Lost>,
    /// When a summary of all groups was last logged.
    pub summarized_at: Option<moment::Moment>,
    /// When each VM was last probed.
    probed: collections::BTreeMap<id::Vm, moment::Moment>,
}

/// A VM that does not answer probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    /// Identifier of the start of the VM's process; with a new one the VM is no longer lost.
    pub incarnation: u64,
    /// When it was declared lost.
    pub since: moment::Moment,
}

/// Time for which a probe is remembered.
const PROBE_RETENTION: time::Duration = time::Duration::from_secs(5);

impl Coordinator {
    /// Records a probe of a VM unless the last one is younger than `period`; returns whether to
    /// probe.
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

    /// Removes VMs that are gone or have restarted, and old probes.
    pub fn prune(&mut self, fleet: &fleet::Fleet, now: moment::Moment) {
        self.lost.retain(|vm, lost| {
            fleet.get(vm.as_str()).is_some_and(|upstream| upstream.incarnation == lost.incarnation)
        });
        self.probed.retain(|_, at| now.since(*at) < PROBE_RETENTION);
    }
}

impl table::Ranked for Coordinator {
    const RANK: u16 = 30;
    const NAME: &'static str = "coordinator";
}
