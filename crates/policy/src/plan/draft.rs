//! The next assignment while it is being planned.

use std::collections;

use corneltrestle_time::moment;

use crate::{assignment, id, plan, report, vm};

/// The next assignment, and the spare VMs that are still available for it.
///
/// A VM moves only between the spares, one replica and the releasing VMs, so it is never a member
/// of two replicas.
pub(super) struct Draft<'a> {
    pub(super) view: &'a plan::View<'a>,
    pub(super) now: moment::Moment,
    pub(super) next: assignment::Assignment,
    /// Spare VMs by fabric domain: idle, listed as live, and with a fresh report.
    pub(super) spares: collections::BTreeMap<id::Fabric, Vec<assignment::Member>>,
}

impl<'a> Draft<'a> {
    pub(super) fn new(view: &'a plan::View<'a>, now: moment::Moment) -> Self {
        let mut next = view.assignment.clone();
        next.releasing.retain(|entry| !view.is_released(entry, now));
        let mut draft = Self { view, now, next, spares: collections::BTreeMap::new() };
        let mut spares: Vec<_> = view.vms.iter().filter(|vm| draft.is_spare(vm)).collect();
        spares.sort_by(|a, b| a.id.cmp(&b.id));
        spares.dedup_by(|a, b| a.id == b.id);
        for vm in spares {
            let member = assignment::Member { id: vm.id.clone(), address: vm.address };
            draft.spares.entry(vm.fabric.clone()).or_default().push(member);
        }
        draft
    }

    fn is_spare(&self, vm: &vm::Vm) -> bool {
        let idle = |report: &report::Report| report.replica.is_none();
        vm.zone == *self.view.zone
            && vm.role == vm::Role::Engine
            && vm.state == vm::State::Live
            && self.view.fresh_report(&vm.id, self.now).is_some_and(idle)
            && self.next.is_free(vm.id.as_str())
    }

    /// Number of spare VMs in `fabric`.
    pub(super) fn spare_count(&self, fabric: &id::Fabric) -> usize {
        self.spares.get(fabric).map_or(0, Vec::len)
    }

    pub(super) fn is_broken(&self, replica: &assignment::Replica) -> bool {
        self.view.is_broken(replica, self.now)
    }

    /// Whether the replica loads weights, or will once its members have joined. It counts towards
    /// the limit of the weight store.
    pub(super) fn is_loading(&self, replica: &assignment::Replica) -> bool {
        let loads = |member: &assignment::Member| {
            let report = self.view.fresh_report(&member.id, self.now);
            report.is_some_and(|report| report.phase == report::Phase::Loading)
        };
        replica.phase == assignment::Phase::Forming
            && (!self.is_broken(replica) || replica.vms.iter().any(loads))
    }

    /// Number of replicas of a set that count towards the declared number: all but draining ones.
    pub(super) fn active(&self, set: &id::ReplicaSet) -> usize {
        self.count(set, |replica| replica.phase != assignment::Phase::Draining)
    }

    /// Number of serving replicas of a set.
    pub(super) fn serving(&self, set: &id::ReplicaSet) -> usize {
        self.count(set, |replica| replica.phase == assignment::Phase::Serving)
    }

    fn count(
        &self,
        set: &id::ReplicaSet,
        is_wanted: impl Fn(&assignment::Replica) -> bool,
    ) -> usize {
        self.next.replicas.iter().filter(|r| r.id.set == *set && is_wanted(r)).count()
    }

    pub(super) fn get(&self, id: &id::Replica) -> Option<&assignment::Replica> {
        self.next.replicas.iter().find(|replica| replica.id == *id)
    }

    pub(super) fn set_phase(&mut self, id: &id::Replica, phase: assignment::Phase) {
        if let Some(replica) = self.next.replicas.iter_mut().find(|r| r.id == *id) {
            replica.phase = phase;
        }
    }

    /// Moves a replica to the serving phase and records the baseline of its head's engine.
    pub(super) fn start_serving(&mut self, id: &id::Replica) {
        let head = self.get(id).and_then(assignment::Replica::head);
        let report = head.and_then(|head| self.view.fresh_report(&head.id, self.now));
        let baseline = report
            .map(|report| assignment::Baseline { start: report.start, finished: report.finished })
            .unwrap_or_default();
        if let Some(replica) = self.next.replicas.iter_mut().find(|r| r.id == *id) {
            (replica.phase, replica.baseline) = (assignment::Phase::Serving, baseline);
        }
    }

    /// Removes a replica. Its members become spare once they are released.
    pub(super) fn dissolve(&mut self, id: &id::Replica) {
        let Some(at) = self.next.replicas.iter().position(|r| r.id == *id) else { return };
        let replica = self.next.replicas.remove(at);
        for vm in replica.vms {
            let entry =
                assignment::Releasing { vm, replica: replica.id.clone(), epoch: replica.epoch };
            self.next.releasing.push(entry);
        }
    }

    /// Takes `count` spare VMs of `fabric`; `None`, taking none, if there are fewer.
    fn take_spares(
        &mut self,
        fabric: &id::Fabric,
        count: usize,
    ) -> Option<Vec<assignment::Member>> {
        let spares = self.spares.get_mut(fabric).filter(|spares| spares.len() >= count)?;
        Some(spares.drain(..count).collect())
    }

    fn next_epoch(&mut self) -> u64 {
        self.next.epoch += 1;
        self.next.epoch
    }

    /// Forms a replica of `size` spare VMs of `fabric`; false if there are too few.
    pub(super) fn form(&mut self, id: id::Replica, fabric: &id::Fabric, size: usize) -> bool {
        let Some(vms) = self.take_spares(fabric, size) else { return false };
        let epoch = self.next_epoch();
        let (fabric, phase, routers) = (fabric.clone(), assignment::Phase::Forming, Vec::new());
        let baseline = assignment::Baseline::default();
        self.next.replicas.push(assignment::Replica {
            id,
            epoch,
            fabric,
            vms,
            phase,
            routers,
            baseline,
        });
        true
    }

    /// Replaces the unfit members of a replica by spare VMs of its fabric domain, at a new epoch;
    /// false if there are too few.
    pub(super) fn replace_unfit(&mut self, id: &id::Replica) -> bool {
        let Some(at) = self.next.replicas.iter().position(|r| r.id == *id) else { return false };
        let old = self.next.replicas[at].clone();
        let is_unfit = |m: &assignment::Member| self.view.is_unfit(&old, &m.id, self.now);
        let unfit: Vec<_> = old.vms.iter().map(is_unfit).collect();
        let count = unfit.iter().filter(|unfit| **unfit).count();
        let Some(spares) = self.take_spares(&old.fabric, count) else { return false };
        let epoch = self.next_epoch();
        let replica = &mut self.next.replicas[at];
        (replica.epoch, replica.phase) = (epoch, assignment::Phase::Forming);
        // That of the epoch before would count its requests as warm-up of the new one.
        replica.baseline = assignment::Baseline::default();
        replica.routers.clear();
        let slots = replica.vms.iter_mut().zip(&unfit).filter(|(_, unfit)| **unfit);
        for ((slot, _), spare) in slots.zip(spares) {
            let vm = std::mem::replace(slot, spare);
            let entry = assignment::Releasing { vm, replica: old.id.clone(), epoch: old.epoch };
            self.next.releasing.push(entry);
        }
        true
    }

    /// The fabric domain in which the fewest spare VMs remain after taking `size` of them; `None`
    /// if none has as many.
    pub(super) fn best_fit(&self, size: usize) -> Option<id::Fabric> {
        let fitting = self.spares.iter().filter(|(_, spares)| spares.len() >= size);
        fitting.min_by_key(|(_, spares)| spares.len()).map(|(fabric, _)| fabric.clone())
    }
}
