//! Reasons for which a changeset is rejected.

use std::fmt;

/// The result of applying a changeset.
pub type Result<T> = std::result::Result<T, Error>;

/// A changeset that was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Id of the note.
    pub note: String,
    /// Why the changeset was rejected.
    pub kind: Kind,
}

/// Why a changeset was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// The same note was accepted before and led to this revision.
    AlreadyAccepted(u64),
    /// Another note with the same id was accepted before.
    IdReused {
        /// The revision that the other note led to.
        revision: u64,
    },
    /// The note is based on another revision than the current one.
    BaseMismatch {
        /// The base that the note states.
        base: u64,
        /// The current revision.
        revision: u64,
    },
    /// The content is invalid; the faults are in the order of the note.
    Faults(Vec<Fault>),
}

/// One fault of a changeset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the item's section, from 1; 0 if the fault concerns the note as a whole.
    pub line: usize,
    /// Kind and name of the item, see [`crate::changeset::Item::label`]; `note` for the note as a
    /// whole.
    pub item: String,
    /// What is wrong.
    pub kind: FaultKind,
}

/// What is wrong with an item. The message of each kind says what is expected instead.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// The note contains no change.
    Empty,
    /// The name contains characters that keys in the store do not allow, or has a wrong length.
    Name,
    /// The item appears twice in the note.
    Repeated {
        /// Line of the item's first section.
        first: usize,
    },
    /// The item to add already exists.
    Exists,
    /// The item to change or withdraw does not exist.
    Missing,
    /// An added or changed item has no value, or a withdrawn item has one.
    ValueMismatch,
    /// The item refers to one that does not exist in the resulting release.
    Unknown {
        /// Kind and name of the missing item.
        reference: String,
    },
    /// A replica set refers to a plain service, which has no replicas.
    PlainService {
        /// Name of the service.
        service: String,
    },
    /// An item that is withdrawn, or a service that becomes plain, is still in use.
    InUse {
        /// Kind and name of the item that uses it.
        user: String,
    },
    /// Another item has the same key hash or model name, or an overlapping prefix.
    Conflict {
        /// Name of the field in the note.
        field: &'static str,
        /// Value in the note.
        found: String,
        /// Kind and name of the other item.
        other: String,
    },
    /// A value is out of its range or malformed.
    Invalid {
        /// Name of the field in the note.
        field: &'static str,
        /// Value in the note.
        found: String,
        /// Description of a valid value.
        expected: &'static str,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "note {}: ", self.note)?;
        match &self.kind {
            Kind::AlreadyAccepted(revision) => write!(f, "already accepted as revision {revision}"),
            Kind::IdReused { revision } => {
                write!(f, "another note with this id led to revision {revision}; use a new id")
            }
            Kind::BaseMismatch { base, revision } => {
                write!(f, "base is {base}, but the present revision is {revision}; ")?;
                write!(f, "review the note and set base = {revision}")
            }
            Kind::Faults(faults) => {
                write!(f, "{} fault(s)", faults.len())?;
                faults.iter().try_for_each(|fault| write!(f, "\n{fault}"))
            }
        }
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]: {}", self.line, self.item, self.kind)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("no change; expected at least one section besides [note]"),
            Self::Name => {
                f.write_str("invalid name; expected 1 to 64 ASCII letters, digits, `-`, `_` or `.`")
            }
            Self::Repeated { first } => {
                write!(f, "appears twice, first at line {first}; keep one section")
            }
            Self::Exists => f.write_str("already exists; expected change = change"),
            Self::Missing => f.write_str("does not exist; expected change = add, or another name"),
            Self::ValueMismatch => {
                f.write_str("add and change need the complete new value, and withdraw takes none")
            }
            Self::Unknown { reference } => {
                write!(f, "refers to {reference}, which does not exist; add it in the same note")
            }
            Self::PlainService { service } => {
                write!(f, "service {service} is plain; expected a service of kind model")
            }
            Self::InUse { user } => write!(f, "still used by {user}; withdraw or change that too"),
            Self::Conflict { field, found, other } => {
                write!(f, "{field} {found:?} conflicts with {other}; expected a distinct value")
            }
            Self::Invalid { field, found, expected } => {
                write!(f, "{field} is {found:?}; expected {expected}")
            }
        }
    }
}
