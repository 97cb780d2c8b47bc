//! Orders that bring the engines into the state that the assignment describes.

use super::{draft, health};
use crate::{assignment, id, vm};

/// An order to the engine of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The VM.
    pub vm: assignment::Member,
    /// What the engine has to do.
    pub kind: Kind,
}

/// What an engine has to do. The declared replica set determines the weights to load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Join a replica and load its weights.
    Join {
        /// The replica.
        replica: id::Replica,
        /// Its epoch.
        epoch: u64,
        /// Position among the members; 0 is the head.
        rank: u16,
        /// Number of members.
        size: u16,
    },
    /// Leave the replica that was joined at this epoch or an earlier one.
    Release {
        /// The epoch.
        epoch: u64,
    },
    /// Load the declared weights and stay in the replica.
    Load {
        /// The replica.
        replica: id::Replica,
    },
}

impl draft::Draft<'_> {
    pub(super) fn orders(&self) -> Vec<Order> {
        let mut orders = Vec::new();
        self.release_orders(&mut orders);
        for replica in self.next.replicas.iter().filter(|r| r.phase == assignment::Phase::Forming) {
            if !self.is_broken(replica) {
                self.forming_orders(replica, &mut orders);
            }
        }
        orders
    }

    fn release_orders(&self, orders: &mut Vec<Order>) {
        for entry in &self.next.releasing {
            if self.view.fresh_report(&entry.vm.id, self.now).is_some() {
                let kind = Kind::Release { epoch: entry.epoch };
                orders.push(Order { vm: entry.vm.clone(), kind });
            }
        }
        // A VM that returns as a member of a replica that no longer contains it has to be released
        // before it can be a spare.
        let is_engine = |vm: &&vm::Vm| vm.zone == *self.view.zone && vm.role == vm::Role::Engine;
        for vm in self.view.vms.iter().filter(is_engine) {
            let report = self.view.fresh_report(&vm.id, self.now).filter(|r| r.replica.is_some());
            let Some(report) = report.filter(|_| self.next.is_free(vm.id.as_str())) else {
                continue;
            };
            let member = assignment::Member { id: vm.id.clone(), address: vm.address };
            orders.push(Order { vm: member, kind: Kind::Release { epoch: report.epoch } });
        }
    }

    fn forming_orders(&self, replica: &assignment::Replica, orders: &mut Vec<Order>) {
        let size = u16::try_from(replica.vms.len()).unwrap_or(u16::MAX);
        for (rank, member) in (0..size).zip(&replica.vms) {
            let id = replica.id.clone();
            let is_outdated = || {
                let set = self.view.matching_set(replica);
                set.is_some_and(|set| self.view.is_outdated(set, &member.id, self.now))
            };
            let kind = match self.view.health(replica, &member.id, self.now) {
                health::Health::Joined if is_outdated() => Kind::Load { replica: id },
                health::Health::Joined => continue,
                _ => Kind::Join { replica: id, epoch: replica.epoch, rank, size },
            };
            orders.push(Order { vm: member.clone(), kind });
        }
    }
}
