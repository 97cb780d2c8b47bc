//! The assignment of a zone's VMs to replicas: one stored value per availability zone.

mod replica;

pub use replica::{Baseline, Member, Phase, Replica};

use crate::id;

/// Which VMs of a zone are members of which replica.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Assignment {
    /// Highest fencing token under which the value was written.
    pub token: u64,
    /// Highest epoch given to a replica so far.
    pub epoch: u64,
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// VMs that left a replica and are not free yet.
    pub releasing: Vec<Releasing>,
}

/// A VM that may still act on orders of its former replica.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Releasing {
    /// The VM.
    pub vm: Member,
    /// The replica that it left.
    pub replica: id::Replica,
    /// The epoch of that replica when it left.
    pub epoch: u64,
}

impl Assignment {
    /// The replica of which `vm` is a member.
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
