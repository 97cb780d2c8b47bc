//! Repair of replicas with members that are lost or leaving.

use super::draft;
use crate::{assignment, id};

impl draft::Draft<'_> {
    /// The replicas to repair, those of sets with the fewest serving replicas first.
    pub(super) fn broken(&self) -> Vec<id::Replica> {
        let is_waiting =
            |r: &&assignment::Replica| r.phase == assignment::Phase::Forming && self.is_broken(r);
        let mut broken: Vec<_> = (self.next.replicas.iter())
            .filter(is_waiting)
            .map(|replica| (self.serving(&replica.id.set), replica.id.clone()))
            .collect();
        broken.sort();
        broken.into_iter().map(|(_, id)| id).collect()
    }

    /// Repairs replicas in their fabric domain if it has enough spare VMs, and otherwise in the
    /// best-fit domain.
    ///
    /// A replica that cannot be repaired keeps its members, so that a later spare VM or a returning
    /// member can complete it.
    pub(super) fn repair(&mut self) {
        // Each repair may free or take VMs and load slots, so the list is computed again after it.
        while self.broken().iter().any(|id| self.repair_one(id)) {}
    }

    fn repair_one(&mut self, id: &id::Replica) -> bool {
        let Some(replica) = self.get(id).cloned() else { return false };
        // A replica that is loading already counts towards the load limit.
        if self.free_slots() == 0 && !self.is_loading(&replica) {
            return false;
        }
        if self.replace_unfit(id) || self.rebuild(&replica) {
            return true;
        }
        let can_reform = self.can_reform(&replica);
        if can_reform {
            self.dissolve(id);
        }
        can_reform
    }

    /// Whether the replica can be formed again from its own members once they are released: some
    /// have restarted, so they report but are no longer joined.
    fn can_reform(&self, replica: &assignment::Replica) -> bool {
        let (expected, size) = (self.expected_spares(&replica.fabric), replica.vms.len());
        let is_unfit = |m: &&assignment::Member| self.view.is_unfit(replica, &m.id, self.now);
        let need = replica.vms.iter().filter(is_unfit).count();
        expected < need && expected + self.view.present_count(replica, self.now) >= size
    }

    /// Dissolves the replica and forms it again of spare VMs in the best-fit fabric domain; false
    /// if no domain has enough.
    fn rebuild(&mut self, replica: &assignment::Replica) -> bool {
        let size = replica.vms.len();
        let Some(fabric) = self.best_fit(size) else { return false };
        self.dissolve(&replica.id);
        self.form(replica.id.clone(), &fabric, size)
    }
}
