//! Repair of replicas that lost members.

use super::draft;
use crate::{assignment, id};

impl draft::Draft<'_> {
    /// The replicas that have to be repaired, those of sets with the fewest serving ones first.
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

    /// Repairs in the same fabric domain if it has spares, and otherwise in the best-fit one.
    ///
    /// What can be repaired nowhere keeps its members, so that a spare or a returning member
    /// completes it.
    pub(super) fn repair(&mut self) {
        // Each repair may free or take VMs and loads, so the rest is judged anew.
        while self.broken().iter().any(|id| self.repair_one(id)) {}
    }

    fn repair_one(&mut self, id: &id::Replica) -> bool {
        let Some(replica) = self.get(id).cloned() else { return false };
        // A replica that is loading already has its share of the weight store's rate.
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

    /// Whether the replica can be formed anew of its own members, some of which report but left
    /// it by a restart; they have to be released first.
    fn can_reform(&self, replica: &assignment::Replica) -> bool {
        let (coming, size) = (self.expected_spares(&replica.fabric), replica.vms.len());
        let is_unfit = |m: &&assignment::Member| self.view.is_unfit(replica, &m.id, self.now);
        let need = replica.vms.iter().filter(is_unfit).count();
        coming < need && coming + self.view.present_count(replica, self.now) >= size
    }

    fn rebuild(&mut self, replica: &assignment::Replica) -> bool {
        let size = replica.vms.len();
        let Some(fabric) = self.best_fit(size) else { return false };
        self.dissolve(&replica.id);
        self.form(replica.id.clone(), &fabric, size)
    }
}
