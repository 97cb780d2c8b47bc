//! Errors of engine calls.

use std::{fmt, net};

/// An engine call that failed, with the step and the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What is known about the effect.
    pub kind: Kind,
    /// The call.
    pub step: &'static str,
    /// The VM.
    pub peer: net::SocketAddr,
    /// The cause.
    pub cause: String,
}

/// What is known about the effect of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// Nothing was sent.
    NotSent,
    /// The engine refused the call before running it, with this HTTP status.
    Refused(u16),
    /// The connection failed or fell silent after something was sent.
    Broken,
    /// The answer belongs to another request; nothing of it may be delivered.
    Mismatch,
    /// Tokens are missing from the answer.
    Gap,
    /// The answer could not be decoded.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at engine {}: {} ({:?})", self.step, self.peer, self.cause, self.kind)
    }
}

impl std::error::Error for Error {}
