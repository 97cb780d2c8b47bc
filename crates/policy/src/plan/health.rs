//! Health of VMs and replicas, from the reports of the VMs.

use corneltrestle_time::moment;

use crate::{assignment, id, plan, release, report, vm};

/// Health of a member VM of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// It reports the replica and its epoch.
    Joined,
    /// It reports, but has not joined yet.
    Waiting,
    /// It does not report, has restarted since it joined, or did not join in time.
    Lost,
}

impl<'a> plan::View<'a> {
    /// The latest report of `vm`; `None` if it is older than `max_age`, without the pauses of this
    /// node.
    pub(super) fn fresh_report(
        &self,
        vm: &id::Vm,
        now: moment::Moment,
    ) -> Option<&'a report::Report> {
        let seen = self.reports.get(vm)?;
        (self.activity.ran(seen.at, now) <= self.max_age).then_some(&seen.report)
    }

    /// The entry of `vm` in the VM list.
    pub(super) fn listed(&self, vm: &id::Vm) -> Option<&'a vm::Vm> {
        self.vms.iter().find(|listed| listed.id == *vm)
    }

    /// Whether the platform asked `vm` to leave.
    pub(super) fn is_leaving(&self, vm: &id::Vm) -> bool {
        self.listed(vm).is_some_and(|listed| listed.state == vm::State::Leaving)
    }

    /// The replica set of `replica`, if it is still declared for this zone.
    pub(super) fn declared_set(
        &self,
        replica: &assignment::Replica,
    ) -> Option<&'a release::ReplicaSet> {
        self.release.sets.get(&replica.id.set).filter(|set| set.zone == *self.zone)
    }

    /// The replica set of `replica`, if it is declared with the number of VMs that the replica has.
    pub(super) fn matching_set(
        &self,
        replica: &assignment::Replica,
    ) -> Option<&'a release::ReplicaSet> {
        self.declared_set(replica).filter(|set| usize::from(set.vms) == replica.vms.len())
    }

    pub(super) fn health(
        &self,
        replica: &assignment::Replica,
        vm: &id::Vm,
        now: moment::Moment,
    ) -> Health {
        let Some(report) = self.fresh_report(vm, now) else { return Health::Lost };
        let start = self.observations.start(vm, replica.epoch);
        if report.replica.as_ref() == Some(&replica.id) && report.epoch == replica.epoch {
            let same = match (start, report.known_start()) {
                (Some(start), Some(reported)) => start == reported,
                _ => true,
            };
            return if same { Health::Joined } else { Health::Lost };
        }
        let since = self.observations.since(&replica.id, replica.epoch, assignment::Phase::Forming);
        let is_late = since.is_some_and(|since| now.since(since) > plan::ORDER_TIMEOUT);
        if replica.phase != assignment::Phase::Forming || start.is_some() || is_late {
            Health::Lost
        } else {
            Health::Waiting
        }
    }

    /// Whether the member `vm` has to be replaced: it is leaving or lost.
    pub(super) fn is_unfit(
        &self,
        replica: &assignment::Replica,
        vm: &id::Vm,
        now: moment::Moment,
    ) -> bool {
        self.is_leaving(vm) || self.health(replica, vm, now) == Health::Lost
    }

    /// Whether any member has to be replaced.
    pub(super) fn is_broken(&self, replica: &assignment::Replica, now: moment::Moment) -> bool {
        replica.vms.iter().any(|member| self.is_unfit(replica, &member.id, now))
    }

    /// Number of members that report and are not leaving, whether or not they have joined.
    pub(super) fn present_count(
        &self,
        replica: &assignment::Replica,
        now: moment::Moment,
    ) -> usize {
        let present = |m: &&assignment::Member| {
            !self.is_leaving(&m.id) && self.fresh_report(&m.id, now).is_some()
        };
        replica.vms.iter().filter(present).count()
    }

    /// Whether any member is lost.
    pub(super) fn has_lost_member(
        &self,
        replica: &assignment::Replica,
        now: moment::Moment,
    ) -> bool {
        let lost =
            |member: &assignment::Member| self.health(replica, &member.id, now) == Health::Lost;
        replica.vms.iter().any(lost)
    }

    /// Whether `vm` has loaded another model, adapter or version than declared.
    pub(super) fn is_outdated(
        &self,
        set: &release::ReplicaSet,
        vm: &id::Vm,
        now: moment::Moment,
    ) -> bool {
        self.fresh_report(vm, now).is_some_and(|report| {
            report.phase == report::Phase::Ready
                && (&report.model, &report.adapter, &report.version)
                    != (&set.model, &set.adapter, &set.version)
        })
    }

    /// Whether all members have joined and loaded their weights.
    pub(super) fn is_ready(&self, replica: &assignment::Replica, now: moment::Moment) -> bool {
        let ready = |report: &report::Report| report.phase == report::Phase::Ready;
        replica.vms.iter().all(|member| {
            self.health(replica, &member.id, now) == Health::Joined
                && self.fresh_report(&member.id, now).is_some_and(ready)
        })
    }

    /// Whether all members are ready with the declared weights, and none is leaving.
    pub(super) fn can_serve(
        &self,
        set: &release::ReplicaSet,
        replica: &assignment::Replica,
        now: moment::Moment,
    ) -> bool {
        let unfit =
            |m: &assignment::Member| self.is_leaving(&m.id) || self.is_outdated(set, &m.id, now);
        self.is_ready(replica, now) && !replica.vms.iter().any(unfit)
    }

    /// Whether a draining replica has finished its requests.
    ///
    /// The reports must be newer than the start of the drain by at least `max_age`, because nodes
    /// may still dispatch for that time on data from before the drain.
    pub(super) fn is_drained(&self, replica: &assignment::Replica) -> bool {
        let since =
            self.observations.since(&replica.id, replica.epoch, assignment::Phase::Draining);
        since.is_some_and(|since| {
            replica.vms.iter().all(|member| {
                self.reports.get(&member.id).is_some_and(|seen| {
                    let left = seen.report.running + seen.report.waiting;
                    seen.at >= since + self.max_age && left == 0
                })
            })
        })
    }

    /// Whether a VM that was removed from its replica may be used again.
    ///
    /// A VM that reports must have confirmed the release and report no replica. A VM that does not
    /// report may be used once [`plan::ORDER_TIMEOUT`] and `max_age` have passed since its last
    /// report expired, so that orders of its former replica have ended. If its engine checks
    /// fencing tokens and the VM is still listed, it is kept until it reports again.
    pub(super) fn is_released(&self, entry: &assignment::Releasing, now: moment::Moment) -> bool {
        let Some(release) = self.observations.release(&entry.vm.id, entry.epoch) else {
            return false;
        };
        if let Some(report) = self.fresh_report(&entry.vm.id, now) {
            return release.confirmed && report.replica.is_none();
        }
        // Engines of a set that is no longer declared are assumed to ignore fencing tokens.
        let fencing = self.release.sets.get(&entry.replica.set).map(|set| set.fencing);
        if fencing == Some(release::Fencing::Checked) && self.listed(&entry.vm.id).is_some() {
            return false;
        }
        let expired = self.reports.get(&entry.vm.id).map(|seen| seen.at + self.max_age);
        let lost = expired.map_or(release.since, |expired| expired.max(release.since));
        now.since(lost) > plan::ORDER_TIMEOUT + self.max_age
    }
}
