//! Errors of calls to engines and plain services.

use std::{fmt, net};

/// A failed call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What is known about the effect of the call.
    pub kind: Kind,
    /// Name of the call, for example `order`.
    pub step: &'static str,
    /// Address of the upstream.
    pub peer: net::SocketAddr,
    /// Description of the failure.
    pub cause: String,
}

/// What is known about the effect of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream rejected the request before running it, with this HTTP status.
    Refused(u16),
    /// The connection failed or timed out after bytes of the request may have been sent, or the
    /// upstream reported a failure; the request may have run.
    Broken,
    /// The response belongs to another request; no part of it may be delivered.
    Mismatch,
    /// Tokens are missing from the response.
    Gap,
    /// The response could not be decoded or exceeds a size limit.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at engine {}: {} ({:?})", self.step, self.peer, self.cause, self.kind)
    }
}

impl std::error::Error for Error {}
