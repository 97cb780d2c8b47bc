//! Entries of the platform's VM list.

use std::net;

use crate::id;

/// A VM in the platform's list. The list is not up to date: it may lack new VMs and contain ones
/// that are gone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// Name of the VM; not used again for another VM.
    pub id: id::Vm,
    /// Address of its engine, or of its node link for an entry VM.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Fabric domain.
    pub fabric: id::Fabric,
    /// Kind of process that runs on it.
    pub role: Role,
    /// Whether it will be removed.
    pub state: State,
    /// Number of accelerators.
    pub accelerators: u16,
}

/// Kind of process on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A model engine.
    Engine,
    /// An entry node of this system.
    Entry,
}

/// Whether a VM will be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No removal is planned.
    Live,
    /// It will be removed soon; it must not get new work.
    Leaving,
}
