//! One replica in an assignment.

use std::net::SocketAddr;

use crate::id;

/// A replica with its member VMs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Replica {
    /// Name of the replica.
    pub id: id::Replica,
    /// Epoch of this membership; grows with each change of members.
    pub epoch: u64,
    /// The fabric domain of all members.
    pub fabric: id::Fabric,
    /// The members; the first is the head, which takes requests.
    pub vms: Vec<Member>,
    /// Progress of the replica.
    pub phase: Phase,
    /// Nodes that hold warm-up slots of this epoch.
    pub routers: Vec<id::Node>,
}

/// A member VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// The VM.
    pub id: id::Vm,
    /// Address of its engine.
    pub address: SocketAddr,
}

/// Progress of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Members join and load.
    Forming,
    /// It may serve while every member's report is fresh.
    Serving,
    /// It takes no new work and finishes what it has.
    Draining,
}

impl Replica {
    /// The member that takes requests.
    pub fn head(&self) -> Option<&Member> {
        self.vms.first()
    }
}
