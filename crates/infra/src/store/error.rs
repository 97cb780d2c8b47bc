//! Errors of store calls, classified by what is known about the call's effect.

use std::fmt;

/// The error of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What is known about the effect.
    pub kind: Kind,
    /// Name of the call, such as `read`.
    pub step: &'static str,
    /// Address of the store.
    pub peer: String,
    /// Description of the failure.
    pub cause: String,
}

/// What is known about the effect of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// Nothing was sent.
    NotSent,
    /// The answer was lost; the call may have taken effect.
    Unknown,
    /// The store refused the call; it had no effect.
    Refused,
    /// The call budget or the back-off after failures did not allow the call; nothing was sent.
    Budget,
    /// The answer could not be decoded; the call may have taken effect.
    Malformed,
    /// The store has compacted the revisions from which to watch; the call had no effect.
    Compacted,
    /// The answer was given before the store came back from an earlier copy, and is out of date.
    Outdated,
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self.kind, Kind::Unknown | Kind::Malformed)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = if self.may_have_run() { "; it may have taken effect" } else { "" };
        write!(f, "{} at store {}: {}{effect}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for Error {}
