//! A release: the complete state that operators have declared, at a revision.
//!
//! Operators change it by notes (see [`crate::changeset`]). The store keeps the latest release;
//! nodes watch it and work towards it.

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
    /// Number of notes accepted so far; 0 before the first one.
    pub revision: u64,
    /// The latest accepted notes, oldest first, at most [`Release::MAX_NOTES`]. They tell a note
    /// that is submitted again from a new one.
    pub notes: collections::VecDeque<Note>,
    /// Organisations by name.
    pub organisations: collections::BTreeMap<id::Organisation, Organisation>,
    /// Services by name.
    pub services: collections::BTreeMap<id::Service, Service>,
    /// Replica sets by name; operators call them serving groups.
    pub sets: collections::BTreeMap<id::ReplicaSet, ReplicaSet>,
    /// Availability zones by name; a zone that is absent takes new work.
    pub zones: collections::BTreeMap<id::Zone, ZoneState>,
}

/// An accepted note.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Note {
    /// Id chosen by the operator.
    pub id: String,
    /// Revision of the release that accepted it.
    pub revision: u64,
    /// Hash of the note's text.
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
    /// Limit on the remembered notes.
    pub const MAX_NOTES: usize = 256;

    /// Whether `zone` takes new work.
    pub fn accepts_work(&self, zone: &str) -> bool {
        self.zones.get(zone).copied().unwrap_or_default() == ZoneState::In
    }

    /// The organisation whose API key has this SHA-256 hash, in lower-case hexadecimal.
    pub fn organisation_by_key(&self, hash: &str) -> Option<(&id::Organisation, &Organisation)> {
        self.organisations.iter().find(|(_, organisation)| organisation.key_hash == hash)
    }
}
