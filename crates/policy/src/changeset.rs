//! The content of a release note: what is added, changed and withdrawn.

mod apply;
mod check;
mod error;

pub use apply::apply;
pub use error::{Error, Fault, FaultKind, Kind, Result};

use crate::{id, release};

/// Changes that lead from one revision to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct Changeset {
    /// Identifier chosen by the operator.
    pub id: String,
    /// The revision that the changes are based on.
    pub base: u64,
    /// Hash of the note's text.
    pub digest: u64,
    /// The changes in the order of the text.
    pub changes: Vec<Change>,
}

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Line of its section in the note, from 1.
    pub line: usize,
    /// What happens to the item.
    pub action: Action,
    /// The item with its complete new value; a withdrawn item has none.
    pub item: Item,
}

/// What happens to an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It does not exist yet.
    Add,
    /// It exists and gets a new value.
    Change,
    /// It exists and is removed.
    Withdraw,
}

/// An item of a release.
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
    /// Kind and name, as in the section header of a note.
    pub fn label(&self) -> String {
        match self {
            Self::Organisation(name, _) => format!("organisation {name}"),
            Self::Service(name, _) => format!("service {name}"),
            Self::ReplicaSet(name, _) => format!("group {name}"),
            Self::Zone(name, _) => format!("zone {name}"),
        }
    }

    /// The name alone.
    pub fn name(&self) -> &str {
        match self {
            Self::Organisation(name, _) => name.as_str(),
            Self::Service(name, _) => name.as_str(),
            Self::ReplicaSet(name, _) => name.as_str(),
            Self::Zone(name, _) => name.as_str(),
        }
    }
}
