//! The latest report of each VM.

use std::collections::BTreeMap;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, report};
use corneltrestle_time::Moment;

/// The latest reports; rank 40.
#[derive(Debug, Default)]
pub struct Reports {
    seen: BTreeMap<id::Vm, report::Seen>,
    missed: BTreeMap<id::Vm, u32>,
}

impl table::Ranked for Reports {
    const RANK: u16 = 40;
    const NAME: &'static str = "reports";
}

impl Reports {
    /// Takes a report that holds at least since `at`, unless a later one is known.
    pub fn record(&mut self, report: report::Report, at: Moment) {
        self.missed.remove(&report.vm);
        match self.seen.get_mut(&report.vm) {
            Some(seen) if seen.at >= at => {}
            Some(seen) => *seen = report::Seen { at, report },
            None => {
                self.seen.insert(report.vm.clone(), report::Seen { at, report });
            }
        }
    }

    /// Notes that a report still holds at `at`, as a peer has seen it.
    pub fn confirm(&mut self, vm: &str, at: Moment) {
        if let Some(seen) = self.seen.get_mut(vm) {
            seen.at = seen.at.max(at);
        }
    }

    /// Counts a failed poll and returns the number since the last report.
    pub fn miss(&mut self, vm: &id::Vm) -> u32 {
        let missed = self.missed.entry(vm.clone()).or_default();
        *missed += 1;
        *missed
    }

    /// The latest report of a VM.
    pub fn get(&self, vm: &str) -> Option<&report::Seen> {
        self.seen.get(vm)
    }

    /// All reports, by VM.
    pub fn all(&self) -> &BTreeMap<id::Vm, report::Seen> {
        &self.seen
    }

    /// Forgets the report of a VM that was lost.
    pub fn forget(&mut self, vm: &str) {
        self.seen.remove(vm);
    }

    /// Forgets reports older than `oldest`, so that the table stays bounded as VMs are replaced.
    pub fn prune(&mut self, oldest: Moment) {
        self.seen.retain(|_, seen| seen.at >= oldest);
        self.missed.retain(|vm, _| self.seen.contains_key(vm));
    }
}
