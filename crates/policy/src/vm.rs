//! Entries of the platform's VM list.

use std::net;

use crate::id;

/// A VM as the platform lists it; the list lags.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// Name of the VM, unique over its lifetime.
    pub id: id::Vm,
    /// Address of its engine, or of its node link for an entry VM.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Fabric domain.
    pub fabric: id::Fabric,
    /// What runs on it.
    pub role: Role,
    /// Whether it is leaving.
    pub state: State,
    /// Number of accelerators.
    pub accelerators: u16,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A model engine.
    Engine,
    /// An entry node of this system.
    Entry,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It stays.
    Live,
    /// It was asked to leave; new work must not be sent to it.
    Leaving,
}
