//! What the lease holder remembers between rounds, on its own clock.

use std::collections;

use corneltrestle_time::moment;

use crate::{assignment, id, report};

/// Observations of one lease holder; a new holder starts without any, which only lengthens waits.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Epoch and start id with which each member first reported that it had joined.
    starts: collections::BTreeMap<id::Vm, (u64, u64)>,
    phases: collections::BTreeMap<id::Replica, Seen>,
    releasing: collections::BTreeMap<(id::Vm, u64), Release>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    epoch: u64,
    phase: assignment::Phase,
    since: moment::Moment,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Release {
    pub(super) since: moment::Moment,
    pub(super) confirmed: bool,
}

impl Observations {
    /// Takes note of the stored assignment and of the reports at `now`; to be called before each
    /// plan.
    pub fn observe(
        &mut self,
        assignment: &assignment::Assignment,
        reports: &collections::BTreeMap<id::Vm, report::Seen>,
        now: moment::Moment,
    ) {
        let mut starts = collections::BTreeMap::new();
        let mut phases = collections::BTreeMap::new();
        for replica in &assignment.replicas {
            for member in &replica.vms {
                let known = self.starts.get(&member.id).filter(|(e, _)| *e == replica.epoch);
                let joined = reports.get(&member.id).map(|seen| &seen.report).filter(|report| {
                    report.replica.as_ref() == Some(&replica.id) && report.epoch == replica.epoch
                });
                let start = known.copied().or(joined.map(|report| (report.epoch, report.start)));
                starts.extend(start.map(|start| (member.id.clone(), start)));
            }
            let same = |seen: &&Seen| seen.epoch == replica.epoch && seen.phase == replica.phase;
            let seen = self.phases.get(&replica.id).filter(same).copied();
            let fresh = Seen { epoch: replica.epoch, phase: replica.phase, since: now };
            phases.insert(replica.id.clone(), seen.unwrap_or(fresh));
        }
        let release = |entry: &crate::assignment::Releasing| {
            let key = (entry.vm.id.clone(), entry.epoch);
            let known = self.releasing.get(&key).copied();
            (key, known.unwrap_or(Release { since: now, confirmed: false }))
        };
        self.releasing = assignment.releasing.iter().map(release).collect();
        (self.starts, self.phases) = (starts, phases);
    }

    /// Takes note that a VM accepted a release order, or refused an old token, after it left its
    /// replica at `epoch`.
    pub fn confirm(&mut self, vm: &id::Vm, epoch: u64) {
        if let Some(release) = self.releasing.get_mut(&(vm.clone(), epoch)) {
            release.confirmed = true;
        }
    }

    /// The start id with which `vm` joined at `epoch`.
    pub(super) fn start(&self, vm: &id::Vm, epoch: u64) -> Option<u64> {
        self.starts.get(vm).filter(|(known, _)| *known == epoch).map(|(_, start)| *start)
    }

    /// Since when the replica has been in `phase` at `epoch`.
    pub(super) fn since(
        &self,
        replica: &id::Replica,
        epoch: u64,
        phase: assignment::Phase,
    ) -> Option<moment::Moment> {
        let seen = self.phases.get(replica)?;
        (seen.epoch == epoch && seen.phase == phase).then_some(seen.since)
    }

    pub(super) fn release(&self, vm: &id::Vm, epoch: u64) -> Option<Release> {
        self.releasing.get(&(vm.clone(), epoch)).copied()
    }
}
