//! Formation of replicas that are declared but missing, and selection of the routers.

use std::cmp;

use super::draft;
use crate::{assignment, id, plan, rendezvous};

impl draft::Draft<'_> {
    /// The sets of the zone with missing replicas, and the number of VMs of each replica. Sets with
    /// the fewest replicas come first, then those with the largest, which are hardest to place.
    pub(super) fn missing(&self) -> Vec<(id::ReplicaSet, usize)> {
        let mut missing: Vec<_> = (self.view.release.sets.iter())
            .filter(|(_, set)| set.zone == *self.view.zone && set.vms > 0)
            .map(|(name, set)| (self.active(name), cmp::Reverse(set.vms), name, set.replicas))
            .filter(|(active, _, _, replicas)| *active < usize::from(*replicas))
            .collect();
        missing.sort();
        missing.into_iter().map(|(_, vms, name, _)| (name.clone(), vms.0.into())).collect()
    }

    /// Forms missing replicas while there are spare VMs and free load slots.
    pub(super) fn scale_up(&mut self) {
        while self.free_slots() > 0 {
            let place = self.missing().into_iter().find_map(|(name, size)| {
                Some((self.lowest_free_id(name)?, self.best_fit(size)?, size))
            });
            let Some((id, fabric, size)) = place else { return };
            if !self.form(id, &fabric, size) {
                return;
            }
        }
    }

    /// The replica id with the lowest unused index in a set.
    fn lowest_free_id(&self, set: id::ReplicaSet) -> Option<id::Replica> {
        let is_unused = |index: &u16| {
            !self.next.replicas.iter().any(|r| r.id.set == set && r.id.index == *index)
        };
        let index = (0..=u16::MAX).find(is_unused)?;
        Some(id::Replica { set, index })
    }

    /// Chooses the routers of replicas that have none, or none that is live.
    ///
    /// Otherwise the routers stay the same once the epoch serves: while nodes use two different
    /// lists, they could exceed the limit on requests to a cold replica. In the forming phase no
    /// node dispatches to the replica, so the routers follow the known live nodes.
    pub(super) fn choose_routers(&mut self) {
        let live = self.view.routers;
        for replica in &mut self.next.replicas {
            let has_live = replica.routers.iter().any(|node| live.contains(&node.as_str()));
            if live.is_empty() || (has_live && replica.phase != assignment::Phase::Forming) {
                continue;
            }
            let key = format!("{}@{}", replica.id, replica.epoch);
            let chosen = rendezvous::first(&key, live.iter().copied(), plan::ROUTERS);
            replica.routers = chosen.into_iter().map(id::Node::from).collect();
        }
    }
}
