//! Consolidation of spare VMs that are scattered over fabric domains.
//!
//! Only replicas that do not serve are dissolved or moved.

use super::draft;
use crate::{assignment, id};

/// A replica that cannot be formed or repaired from the spares of any fabric domain.
struct Demand {
    /// The broken replica; `None` for one that is missing.
    broken: Option<assignment::Replica>,
    /// Number of VMs of the complete replica.
    size: usize,
}

/// A forming replica whose VMs can be used for a demand.
struct Donor {
    id: id::Replica,
    /// Number of VMs that become available in its fabric domain.
    frees: usize,
    /// Fabric domain in which it is formed again at once; `None` if it is broken and only
    /// dissolved.
    moves_to: Option<id::Fabric>,
}

impl draft::Draft<'_> {
    /// Makes room for the first demand that can be met, by dissolving broken replicas or moving
    /// forming ones. A round handles one demand, and the next round plans with the result.
    pub(super) fn consolidate(&mut self) {
        if self.free_slots() == 0 {
            return;
        }
        for demand in self.demands() {
            let fabrics = self.fabrics();
            // VMs that are being released will meet the demand, so nothing has to move.
            if fabrics.iter().any(|f| self.expected_spares(f) >= self.required(&demand, f)) {
                return;
            }
            let options = fabrics.iter().filter_map(|fabric| self.donors(&demand, fabric));
            let Some(donors) = options.min_by_key(Vec::len) else { continue };
            for donor in donors {
                let size = self.get(&donor.id).map_or(0, |replica| replica.vms.len());
                self.dissolve(&donor.id);
                donor.moves_to.inspect(|fabric| {
                    self.form(donor.id.clone(), fabric, size);
                });
            }
            return;
        }
    }

    fn demands(&self) -> Vec<Demand> {
        let broken = self.broken();
        let broken = broken
            .iter()
            .filter_map(|id| self.get(id))
            .map(|replica| Demand { broken: Some(replica.clone()), size: replica.vms.len() });
        let missing = self.missing().into_iter().map(|(_, size)| Demand { broken: None, size });
        broken.chain(missing).collect()
    }

    fn fabrics(&self) -> Vec<id::Fabric> {
        let zone = self.view.vms.iter().filter(|vm| vm.zone == *self.view.zone);
        let mut fabrics: Vec<_> = zone.map(|vm| vm.fabric.clone()).collect();
        fabrics.sort();
        fabrics.dedup();
        fabrics
    }

    /// Number of VMs that `demand` needs in `fabric`.
    fn required(&self, demand: &Demand, fabric: &id::Fabric) -> usize {
        match demand.broken.as_ref().filter(|replica| replica.fabric == *fabric) {
            Some(replica) => demand.size - self.fit_members(replica),
            None => demand.size,
        }
    }

    fn fit_members(&self, replica: &assignment::Replica) -> usize {
        let fit = |member: &&assignment::Member| !self.view.is_unfit(replica, &member.id, self.now);
        replica.vms.iter().filter(fit).count()
    }

    /// Number of spare VMs of `fabric`, including those that are expected after their release.
    pub(super) fn expected_spares(&self, fabric: &id::Fabric) -> usize {
        let releasing = self.next.releasing.iter().filter(|entry| {
            let listed = self.view.listed(&entry.vm.id);
            listed.is_some_and(|vm| vm.fabric == *fabric)
                && !self.view.is_leaving(&entry.vm.id)
                && self.view.fresh_report(&entry.vm.id, self.now).is_some()
        });
        self.spare_count(fabric) + releasing.count()
    }

    /// The replicas of `fabric` to dissolve or move for `demand`, those with the fewest VMs first;
    /// `None` if even all of them do not suffice.
    fn donors(&self, demand: &Demand, fabric: &id::Fabric) -> Option<Vec<Donor>> {
        let is_other =
            |r: &&assignment::Replica| demand.broken.as_ref().is_none_or(|own| own.id != r.id);
        let of_fabric = self.next.replicas.iter().filter(|r| r.fabric == *fabric);
        let mut donors: Vec<_> =
            of_fabric.filter(is_other).filter_map(|replica| self.donor(replica)).collect();
        donors.sort_by_key(|donor| donor.frees);
        let mut shortfall = self.required(demand, fabric) - self.expected_spares(fabric);
        let (mut chosen, mut has_move) = (Vec::new(), false);
        for donor in donors {
            // Moves compete for the same spare VMs, so a round has at most one.
            if shortfall == 0 || (has_move && donor.moves_to.is_some()) {
                continue;
            }
            has_move |= donor.moves_to.is_some();
            shortfall = shortfall.saturating_sub(donor.frees);
            chosen.push(donor);
        }
        (shortfall == 0).then_some(chosen)
    }

    fn donor(&self, replica: &assignment::Replica) -> Option<Donor> {
        if replica.phase != assignment::Phase::Forming {
            return None;
        }
        let (id, frees) = (replica.id.clone(), self.view.present_count(replica, self.now));
        if self.is_broken(replica) {
            return (frees > 0).then_some(Donor { id, frees, moves_to: None });
        }
        let fits = |spares: &Vec<assignment::Member>| spares.len() >= replica.vms.len();
        let elsewhere =
            self.spares.iter().filter(|(f, spares)| **f != replica.fabric && fits(spares));
        let moves_to = elsewhere.min_by_key(|(_, spares)| spares.len()).map(|(f, _)| f.clone())?;
        Some(Donor { id, frees, moves_to: Some(moves_to) })
    }
}
