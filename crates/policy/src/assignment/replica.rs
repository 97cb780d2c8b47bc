//! One replica in an assignment.

use std::net;

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
    /// State of the head's engine when this epoch began to serve.
    #[serde(default, rename = "begun")]
    pub baseline: Baseline,
}

/// State of an engine at which an epoch began to serve.
///
/// A join clears the cache but not the engine's counter, so work of earlier epochs must not count
/// as warm-up of this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Baseline {
    /// Identifier of the engine's start; 0 if it is not known.
    pub start: u64,
    /// Requests that it had finished since that start.
    pub finished: u64,
}

/// A member VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// The VM.
    pub id: id::Vm,
    /// Address of its engine.
    pub address: net::SocketAddr,
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

    /// The count of finished requests of its head at which the replica became cold, if the head's
    /// engine is at this start and has finished as many requests since.
    pub fn cold_baseline(&self, start: u64, finished: u64) -> u64 {
        match self.baseline.start {
            0 => finished,
            begun if begun == start => self.baseline.finished,
            // The engine has restarted since, and its counter with it.
            _ => 0,
        }
    }
}
