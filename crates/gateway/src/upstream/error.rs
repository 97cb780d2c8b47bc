//! Errors of calls to upstreams.

use std::{fmt, net};

/// A failed call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Whether the upstream may have received the request.
    pub kind: Kind,
    /// The step that failed, such as `send`.
    pub step: &'static str,
    /// Address of the upstream.
    pub peer: net::SocketAddr,
    /// Cause in words.
    pub cause: String,
}

/// What is known about the effect of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// No byte of the request has left the process.
    NotSent,
    /// The connection failed or timed out after bytes of the request may have left.
    Broken,
    /// A reused connection ended before any byte of the answer. The upstream may have closed it as idle,
    /// or it may have run the request.
    Stale,
    /// The answer cannot be parsed, or belongs to another request.
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
