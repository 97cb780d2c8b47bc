//! The complete declared state, at a revision.

mod organisation;
mod replica_set;
mod service;

use std::collections;

use crate::id;

pub use organisation::Organisation;
pub use replica_set::{Fencing, ReplicaSet};
pub use service::{Kind, Pattern, Plain, Service, Targets};

/// The complete state that operators have declared.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Release {
    /// Revision; 0 before the first accepted note.
    pub revision: u64,
    /// The latest accepted notes, oldest first, at most [`Release::MAX_NOTES`].
    pub notes: collections::VecDeque<Note>,
    /// Organisations by name.
    pub organisations: collections::BTreeMap<id::Organisation, Organisation>,
    /// Services by name.
    pub services: collections::BTreeMap<id::Service, Service>,
    /// Replica sets by name.
    pub sets: collections::BTreeMap<id::ReplicaSet, ReplicaSet>,
    /// Availability zones by name; an absent zone is in service.
    pub zones: collections::BTreeMap<id::Zone, ZoneState>,
}

/// An accepted note.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Note {
    /// Identifier chosen by the operator.
    pub id: String,
    /// The revision that it led to.
    pub revision: u64,
    /// Hash of its text.
    pub digest: u64,
}

/// Whether an availability zone takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// It takes new work.
    #[default]
    In,
    /// It takes no new work.
    Out,
}

impl Release {
    /// Number of accepted notes that are remembered by id.
    pub const MAX_NOTES: usize = 256;

    /// Whether `zone` takes new work.
    pub fn accepts_work(&self, zone: &str) -> bool {
        self.zones.get(zone).copied().unwrap_or_default() == ZoneState::In
    }

    /// The organisation whose key has this SHA-256 hash, in lower-case hexadecimal.
    pub fn organisation_by_key(&self, hash: &str) -> Option<(&id::Organisation, &Organisation)> {
        self.organisations.iter().find(|(_, organisation)| organisation.key_hash == hash)
    }
}
