//! Changesets: the decoded content of a release note, and its application to a release.
//!
//! A note is accepted as a whole or not at all, and reports all its faults at once.

mod apply;
mod check;
mod error;

pub use apply::apply;
pub use error::{Error, Fault, FaultKind, Kind, Result};

use crate::{id, release};

/// The changes of one note, which lead from one revision to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct Changeset {
    /// Id of the note, chosen by the operator; unique among the remembered notes.
    pub id: String,
    /// The revision that the note was written against.
    pub base: u64,
    /// Hash of the note's text, which tells a repeated note from another one with the same id.
    pub digest: u64,
    /// The changes in the order of the note's sections.
    pub changes: Vec<Change>,
}

/// One section of a note.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Line of the section header in the note, from 1.
    pub line: usize,
    /// What happens to the item.
    pub action: Action,
    /// The item with its complete new value, or without a value for [`Action::Withdraw`].
    pub item: Item,
}

/// What a change does to its item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Creates an item, which must not exist.
    Add,
    /// Replaces the value of an item, which must exist.
    Change,
    /// Removes an item, which must exist and be unused.
    Withdraw,
}

/// Name and value of an item of a release.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// An organisation.
    Organisation(id::Organisation, Option<release::Organisation>),
    /// A service.
    Service(id::Service, Option<release::Service>),
    /// A replica set.
    ReplicaSet(id::ReplicaSet, Option<release::ReplicaSet>),
    /// An availability zone.
    Zone(id::Zone, Option<release::ZoneState>),
}

impl Item {
    /// Kind and name as in the section header of a note, for example `group chat`.
    pub fn label(&self) -> String {
        match self {
            Self::Organisation(name, _) => format!("organisation {name}"),
            Self::Service(name, _) => format!("service {name}"),
            Self::ReplicaSet(name, _) => format!("group {name}"),
            Self::Zone(name, _) => format!("zone {name}"),
        }
    }

    /// The name without the kind.
    pub fn name(&self) -> &str {
        match self {
            Self::Organisation(name, _) => name.as_str(),
            Self::Service(name, _) => name.as_str(),
            Self::ReplicaSet(name, _) => name.as_str(),
            Self::Zone(name, _) => name.as_str(),
        }
    }
}
