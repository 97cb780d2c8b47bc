//! Phase changes of replicas, by lost members, drains, finished loads and changed declarations.

use std::cmp;

use super::draft;
use crate::{assignment, id, release};

impl draft::Draft<'_> {
    /// Updates the phase of each replica and removes replicas that are no longer needed.
    pub(super) fn update_phases(&mut self) {
        self.drain_surplus();
        for replica in self.next.replicas.clone() {
            let is_declared = self.view.declared_set(&replica).is_some();
            let is_ready = self.view.is_ready(&replica, self.now);
            match self.view.matching_set(&replica) {
                Some(set) => self.update_declared(set, &replica),
                // `rolling_update` drains serving replicas with another number of VMs one by one.
                None if is_declared && replica.phase == assignment::Phase::Serving && is_ready => {}
                None => self.retire(&replica),
            }
        }
        self.rolling_update();
    }

    /// Retires replicas above the declared number of each set, those that do not serve first.
    fn drain_surplus(&mut self) {
        for (name, set) in &self.view.release.sets {
            let surplus = self.active(name).saturating_sub(set.replicas.into());
            let is_active = |r: &&assignment::Replica| {
                r.id.set == *name && r.phase != assignment::Phase::Draining
            };
            let mut active: Vec<_> = self.next.replicas.iter().filter(is_active).cloned().collect();
            active
                .sort_by_key(|r| (r.phase == assignment::Phase::Serving, cmp::Reverse(r.id.index)));
            for replica in active.iter().take(surplus) {
                self.retire(replica);
            }
        }
    }

    /// Removes a replica that is no longer needed, or drains it first if it may have requests in
    /// progress.
    fn retire(&mut self, replica: &assignment::Replica) {
        let can_remove = match replica.phase {
            assignment::Phase::Forming => true,
            assignment::Phase::Serving => self.view.has_lost_member(replica, self.now),
            assignment::Phase::Draining => {
                self.view.has_lost_member(replica, self.now) || self.view.is_drained(replica)
            }
        };
        if can_remove {
            self.dissolve(&replica.id);
        } else {
            self.set_phase(&replica.id, assignment::Phase::Draining);
        }
    }

    /// Updates the phase of a replica that matches its declared set.
    fn update_declared(&mut self, set: &release::ReplicaSet, replica: &assignment::Replica) {
        let Some(phase) = self.get(&replica.id).map(|replica| replica.phase) else { return };
        let (view, now) = (self.view, self.now);
        let is_lost = view.has_lost_member(replica, now);
        match phase {
            assignment::Phase::Forming if view.can_serve(set, replica, now) => {
                self.start_serving(&replica.id)
            }
            // A member that reports but is not ready is loading again, for example after an order
            // that arrived late.
            assignment::Phase::Serving if !view.is_ready(replica, now) => {
                self.set_phase(&replica.id, assignment::Phase::Forming);
            }
            assignment::Phase::Serving if self.is_broken(replica) => {
                self.set_phase(&replica.id, assignment::Phase::Draining);
            }
            assignment::Phase::Draining if is_lost || view.is_drained(replica) => {
                if self.active(&replica.id.set) >= usize::from(set.replicas) {
                    self.dissolve(&replica.id);
                } else if self.is_broken(replica) || self.free_slots() > 0 {
                    self.set_phase(&replica.id, assignment::Phase::Forming);
                }
            }
            _ => {}
        }
    }

    /// Number of replicas that may start to load in addition to those that are loading.
    pub(super) fn free_slots(&self) -> usize {
        let loading = self.next.replicas.iter().filter(|r| self.is_loading(r)).count();
        self.view.max_loads.saturating_sub(loading)
    }

    /// Drains replicas with other weights or another number of VMs than declared, one of each set
    /// at a time.
    fn rolling_update(&mut self) {
        let in_zone = |set: &release::ReplicaSet| set.zone == *self.view.zone;
        for (name, set) in self.view.release.sets.iter().filter(|(_, set)| in_zone(set)) {
            let in_transit = |replica: &assignment::Replica| match replica.phase {
                assignment::Phase::Serving => false,
                assignment::Phase::Draining => true,
                assignment::Phase::Forming => !self.is_broken(replica),
            };
            let mut of_set = self.next.replicas.iter().filter(|r| r.id.set == *name);
            if self.free_slots() == 0 || of_set.clone().any(in_transit) {
                continue;
            }
            let id = of_set.find(|r| self.is_outdated(set, r)).map(|r| r.id.clone());
            id.inspect(|id: &id::Replica| self.set_phase(id, assignment::Phase::Draining));
        }
    }

    /// Whether a serving replica has other weights or another number of VMs than declared.
    fn is_outdated(&self, set: &release::ReplicaSet, replica: &assignment::Replica) -> bool {
        let outdated =
            |member: &assignment::Member| self.view.is_outdated(set, &member.id, self.now);
        let is_resized = usize::from(set.vms) != replica.vms.len();
        replica.phase == assignment::Phase::Serving
            && (is_resized || replica.vms.iter().any(outdated))
    }
}
