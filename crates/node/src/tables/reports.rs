//! The latest status report of each VM, polled by this node or relayed by peers.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{activity, id, report};
use corneltrestle_time::moment;

/// The latest reports; rank 40.
#[derive(Debug, Default)]
pub struct Reports {
    /// Pauses of this node, in which it receives no reports.
    pub activity: activity::Activity,
    seen: collections::BTreeMap<id::Vm, report::Seen>,
    missed: collections::BTreeMap<id::Vm, u32>,
    /// When a VM was lost. Reports that are not newer, which peers may still relay, are ignored.
    lost: collections::BTreeMap<id::Vm, moment::Moment>,
}

impl table::Ranked for Reports {
    const RANK: u16 = 40;
    const NAME: &'static str = "reports";
}

impl Reports {
    /// Records a report that was valid at `at`, unless a later one or a loss since then is known.
    pub fn record(&mut self, report: report::Report, at: moment::Moment) {
        if self.lost.get(&report.vm).is_some_and(|lost| *lost >= at) {
            return;
        }
        match self.seen.get_mut(&report.vm) {
            Some(seen) if seen.at >= at => {}
            Some(seen) => *seen = report::Seen { at, report },
            None => {
                self.seen.insert(report.vm.clone(), report::Seen { at, report });
            }
        }
    }

    /// Records the VM's own response to a poll sent at `at`.
    pub fn record_poll(&mut self, report: report::Report, at: moment::Moment) {
        self.missed.remove(&report.vm);
        self.record(report, at);
    }

    /// Records that the known report was still valid at `at`, as a peer has seen.
    pub fn confirm(&mut self, vm: &id::Vm, at: moment::Moment) {
        if self.lost.get(vm).is_some_and(|lost| *lost >= at) {
            return;
        }
        if let Some(seen) = self.seen.get_mut(vm) {
            seen.at = seen.at.max(at);
        }
    }

    /// Merges what a peer tells of the engine of a VM, if a report of it is known.
    pub fn merge(&mut self, vm: &str, relayed: &report::Relayed) {
        if let Some(seen) = self.seen.get_mut(vm) {
            seen.merge(relayed);
        }
    }

    /// Records the loss of a VM at `at` and removes its report.
    pub fn mark_lost(&mut self, vm: &id::Vm, at: moment::Moment) {
        self.seen.remove(vm);
        self.lost.insert(vm.clone(), at);
    }

    /// Counts a poll that was sent at `sent` and failed by `now`, and returns the number of failures
    /// since the last response. A poll during which this node was paused does not count: the response
    /// may have arrived in time.
    pub fn record_miss(
        &mut self,
        vm: &id::Vm,
        sent: moment::Moment,
        now: moment::Moment,
    ) -> Option<u32> {
        if self.activity.has_paused(sent, now) {
            return None;
        }
        let missed = self.missed.entry(vm.clone()).or_default();
        *missed += 1;
        Some(*missed)
    }

    /// The latest report of a VM.
    pub fn get(&self, vm: &str) -> Option<&report::Seen> {
        self.seen.get(vm)
    }

    /// All reports, by VM.
    pub fn all(&self) -> &collections::BTreeMap<id::Vm, report::Seen> {
        &self.seen
    }

    /// Removes reports older than `oldest`, so that the table stays bounded as VMs are replaced.
    pub fn prune(&mut self, oldest: moment::Moment) {
        self.seen.retain(|_, seen| seen.at >= oldest);
        self.missed.retain(|vm, _| self.seen.contains_key(vm));
        self.lost.retain(|_, lost| *lost >= oldest);
    }
}
