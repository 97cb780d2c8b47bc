//! The assignment of the VMs of an availability zone to replicas.
//!
//! It is stored as one value per zone, which the holder of the zone lease replaces by
//! compare-and-swap.

mod replica;

pub use replica::{Baseline, Member, Phase, Replica};

use crate::id;

/// The replicas of a zone with their member VMs. The default is the empty assignment.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Assignment {
    /// Fencing token of the lease holder that wrote the value; it never decreases.
    pub token: u64,
    /// Highest epoch given to a replica so far; 0 before the first.
    pub epoch: u64,
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// VMs that were removed from a replica and may not be used again yet.
    pub releasing: Vec<Releasing>,
}

/// A VM that was removed from a replica and may still act on orders for it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Releasing {
    /// The VM.
    pub vm: Member,
    /// The replica that it belonged to.
    pub replica: id::Replica,
    /// The epoch of that replica when the VM was removed.
    pub epoch: u64,
}

impl Assignment {
    /// The replica that `vm` is a member of.
    pub fn replica_of(&self, vm: &str) -> Option<&Replica> {
        self.replicas
            .iter()
            .find(|replica| replica.vms.iter().any(|member| member.id.as_str() == vm))
    }

    /// Whether `vm` is a member of no replica and has been released.
    pub fn is_free(&self, vm: &str) -> bool {
        self.replica_of(vm).is_none() && self.releasing.iter().all(|r| r.vm.id.as_str() != vm)
    }
}
