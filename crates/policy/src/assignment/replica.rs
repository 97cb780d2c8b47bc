//! A replica: VMs that serve one copy of a model together.

use std::net;

use crate::id;

/// A replica with its member VMs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Replica {
    /// Replica set and index.
    pub id: id::Replica,
    /// Epoch of this membership. A change of members gives the replica a new, higher epoch.
    pub epoch: u64,
    /// The fabric domain that contains all members.
    pub fabric: id::Fabric,
    /// The members. The first is the head, which receives the requests.
    pub vms: Vec<Member>,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Nodes among which the warm-up slots of this epoch are divided; empty until chosen.
    pub routers: Vec<id::Node>,
    /// State of the head's engine when this epoch started to serve.
    #[serde(default, rename = "begun")]
    pub baseline: Baseline,
}

/// State of an engine when a replica epoch started to serve.
///
/// A join clears the engine's cache but not its counter of finished requests. Requests of earlier
/// epochs are subtracted by this baseline, so that they do not count as warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Baseline {
    /// Identifier of the engine's start; 0 if unknown.
    pub start: u64,
    /// Requests that the engine had finished since that start.
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

/// Lifecycle phase of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The members join and load the weights.
    Forming,
    /// It takes requests while the reports of all members are recent.
    Serving,
    /// It takes no new requests and finishes those in progress.
    Draining,
}

impl Replica {
    /// The member that receives the requests; `None` without members.
    pub fn head(&self) -> Option<&Member> {
        self.vms.first()
    }

    /// The number of finished requests of the head's engine from which warm-up is counted.
    ///
    /// `start` and `finished` are the present values that the engine reports.
    pub fn cold_baseline(&self, start: u64, finished: u64) -> u64 {
        match self.baseline.start {
            0 => finished,
            begun if begun == start => self.baseline.finished,
            // The engine has restarted since, which reset its counter.
            _ => 0,
        }
    }
}
