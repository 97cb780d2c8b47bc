//! Replica sets, which operators call serving groups.

use crate::id;

/// A declared number of identical replicas of a service in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReplicaSet {
    /// The service that the replicas serve; of kind [`crate::release::Kind::Model`].
    pub service: id::Service,
    /// Availability zone whose VMs form the replicas.
    pub zone: id::Zone,
    /// Number of VMs in each replica, at least 1.
    pub vms: u16,
    /// Number of replicas, at least 1.
    pub replicas: u16,
    /// Name of the model to load.
    pub model: String,
    /// Name of the adapter to load with the model; empty for none.
    pub adapter: String,
    /// Version of the model.
    pub version: String,
    /// Whether the engines check fencing tokens.
    pub fencing: Fencing,
    /// Requests in progress that a replica sustains right after a cold start, at least 1.
    pub cold_limit: u32,
}

/// Whether engines reject orders with an old fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// They reject them.
    Checked,
    /// They ignore the token and act on any order.
    Ignored,
}
