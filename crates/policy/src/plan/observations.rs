//! Observations that the lease holder keeps between rounds, with times of its own clock.

use std::collections;

use corneltrestle_time::moment;

use crate::{assignment, id, report};

/// Observations of one lease holder. A new holder starts without any, which makes waits longer but
/// never shorter.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Epoch at which each member joined, and its engine's start identifier in the first report
    /// after that. Another identifier later means that the engine restarted.
    starts: collections::BTreeMap<id::Vm, (u64, u64)>,
    /// Phase of each replica, and since when.
    phases: collections::BTreeMap<id::Replica, Seen>,
    /// Progress of each release, by VM and epoch.
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
    /// When the VM was first observed as releasing.
    pub(super) since: moment::Moment,
    /// Whether the VM accepted the release order; see [`Observations::confirm`].
    pub(super) confirmed: bool,
}

impl Observations {
    /// Records the stored assignment and the reports at `now`. Must be called before each plan.
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
                let first =
                    || joined.and_then(|report| Some((report.epoch, report.known_start()?)));
                let start = known.copied().or_else(first);
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

    /// Records that a VM that was removed from its replica at `epoch` accepted the release order,
    /// or refused it for an old token.
    pub fn confirm(&mut self, vm: &id::Vm, epoch: u64) {
        if let Some(release) = self.releasing.get_mut(&(vm.clone(), epoch)) {
            release.confirmed = true;
        }
    }

    /// The start identifier of the engine with which `vm` joined at `epoch`; `None` if it was not
    /// observed to join.
    pub(super) fn start(&self, vm: &id::Vm, epoch: u64) -> Option<u64> {
        self.starts.get(vm).filter(|(known, _)| *known == epoch).map(|(_, start)| *start)
    }

    /// Since when the replica has been in `phase` at `epoch`; `None` if it is not.
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
