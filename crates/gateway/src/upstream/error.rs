//! Errors of calls to upstreams.

use std::{fmt, net};

/// A call that failed, with the step and the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What is known about the effect.
    pub kind: Kind,
    /// The step that failed.
    pub step: &'static str,
    /// The upstream.
    pub peer: net::SocketAddr,
    /// The cause.
    pub cause: String,
}

/// What is known about the effect of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// No byte of the request has left the process.
    NotSent,
    /// The connection failed or fell silent after bytes of the request may have left.
    Broken,
    /// The answer cannot be understood, or belongs to another request.
    Malformed,
}

impl Error {
    /// Whether the upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.kind != Kind::NotSent
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at upstream {}: {} ({:?})", self.step, self.peer, self.cause, self.kind)
    }
}

impl std::error::Error for Error {}
