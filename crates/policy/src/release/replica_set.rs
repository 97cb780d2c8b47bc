//! Replica sets, which operators call serving groups.

use crate::id;

/// A declared number of replicas of one shape in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReplicaSet {
    /// The service that the replicas serve.
    pub service: id::Service,
    /// Availability zone whose VMs are used.
    pub zone: id::Zone,
    /// VMs in each replica.
    pub vms: u16,
    /// Number of replicas.
    pub replicas: u16,
    /// Model to load.
    pub model: String,
    /// Adapter to load; empty for none.
    pub adapter: String,
    /// Version of the model.
    pub version: String,
    /// Whether the engines check fencing tokens.
    pub fencing: Fencing,
    /// Requests in progress that a replica bears just after a cold start.
    pub cold_limit: u32,
}

/// Whether engines refuse orders with an old fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// They refuse them.
    Checked,
    /// They act on them.
    Ignored,
}
