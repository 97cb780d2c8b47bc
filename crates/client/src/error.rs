//! Errors of calls over HTTP.

use std::fmt;

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A call that failed. The caller adds the step and the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What is known about the effect.
    pub kind: Kind,
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
    /// The answer is not HTTP, or is larger than the limit.
    Malformed,
}

impl Error {
    /// An error without a source.
    pub fn new(kind: Kind, cause: impl Into<String>) -> Self {
        Self { kind, cause: cause.into() }
    }

    /// A request that cannot be built, so that nothing was sent.
    pub fn invalid(cause: impl fmt::Display) -> Self {
        Self::new(Kind::NotSent, format!("invalid request: {cause}"))
    }

    /// A failure after bytes of the request may have left.
    pub(crate) fn after_send(error: &hyper::Error) -> Self {
        let kind = if error.is_parse() { Kind::Malformed } else { Kind::Broken };
        Self::new(kind, error.to_string())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?})", self.cause, self.kind)
    }
}

impl std::error::Error for Error {}
