//! Errors of HTTP calls, classified by what is known about the request's effect.

use std::fmt;

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A call that failed. It names neither the operation nor the peer; the caller adds both.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What is known about the effect.
    pub kind: Kind,
    /// Description for log lines and error messages.
    pub cause: String,
}

/// What is known about the effect of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// No byte of the request was sent.
    NotSent,
    /// The connection failed or timed out after bytes of the request may have been sent.
    Broken,
    /// A reused connection ended before any byte of the response. The peer may have closed it as idle,
    /// or it may have run the request.
    Stale,
    /// The response is not valid HTTP/1.1 or exceeds the size limit; the request may have run.
    Malformed,
}

impl Error {
    /// Creates an error from a kind and a description.
    pub fn new(kind: Kind, cause: impl Into<String>) -> Self {
        Self { kind, cause: cause.into() }
    }

    /// The error of a request that cannot be built, so that nothing was sent.
    pub fn invalid(cause: impl fmt::Display) -> Self {
        Self::new(Kind::NotSent, format!("invalid request: {cause}"))
    }

    /// This error, if bytes of the request were sent in an earlier attempt.
    pub(crate) fn sent_before(self) -> Self {
        let kind = if self.kind == Kind::NotSent { Kind::Broken } else { self.kind };
        Self { kind, ..self }
    }

    /// This error, if it ended a reused connection on which no byte of the response had arrived.
    pub(crate) fn on_stale(self) -> Self {
        let kind = if self.kind == Kind::Broken { Kind::Stale } else { self.kind };
        Self { kind, ..self }
    }

    /// The error of a call that failed after bytes of the request may have been sent.
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
