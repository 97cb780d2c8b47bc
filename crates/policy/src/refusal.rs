//! Answers that are not the upstream's own.

use std::{fmt, time};

/// The result of a step of the request path.
pub type Result<T> = std::result::Result<T, Refusal>;

/// What is known about the effect of a request that was not answered by its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Nothing of the request has run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was not answered by its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Code {
    /// The request cannot be understood.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorized,
    /// No service has this path or model.
    UnknownService,
    /// What was asked for does not exist.
    NotFound,
    /// The method is not offered on this path.
    MethodNotAllowed,
    /// The header is larger than the limit.
    HeaderTooLarge,
    /// The body is larger than the limit.
    TooLarge,
    /// The request did not arrive within the limit.
    RequestTimeout,
    /// A call that is not repeatable has no idempotency key.
    KeyRequired,
    /// The idempotency key belongs to another request.
    KeyReused,
    /// The call with this idempotency key is in progress.
    InProgress,
    /// The organisation is above its limits.
    RateLimited,
    /// The system is overloaded.
    Overloaded,
    /// No upstream can serve now.
    Unavailable,
    /// The platform's store cannot be used now.
    StoreUnavailable,
    /// The node is stopping.
    Draining,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The upstream failed.
    UpstreamFailed,
}

/// An answer that is not the upstream's own, with the step and the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What is known about the effect.
    pub outcome: Outcome,
    /// Why.
    pub code: Code,
    /// The step at which the request ended.
    pub step: &'static str,
    /// The upstream or store concerned; empty if none.
    pub peer: String,
    /// A sentence for people.
    pub message: String,
    /// When a retry makes sense.
    pub retry: Option<time::Duration>,
}

impl Code {
    /// The code as it stands in answers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::UnknownService => "unknown-service",
            Self::NotFound => "not-found",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::HeaderTooLarge => "header-too-large",
            Self::TooLarge => "too-large",
            Self::RequestTimeout => "request-timeout",
            Self::KeyRequired => "key-required",
            Self::KeyReused => "key-reused",
            Self::InProgress => "in-progress",
            Self::RateLimited => "rate-limited",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::StoreUnavailable => "store-unavailable",
            Self::Draining => "draining",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::UpstreamFailed => "upstream-failed",
        }
    }
}

impl Outcome {
    /// The outcome as it stands in the header `Corneltrestle-Outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Refusal {
    /// A refusal of a request of which nothing has run.
    pub fn not_run(code: Code, step: &'static str, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            step,
            peer: String::new(),
            message: message.into(),
            retry: None,
        }
    }

    /// An answer to a request that may have run.
    pub fn unknown(code: Code, step: &'static str, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(code, step, message) }
    }

    /// Names the upstream or store concerned.
    pub fn at(mut self, peer: impl fmt::Display) -> Self {
        self.peer = peer.to_string();
        self
    }

    /// States when a retry makes sense.
    pub fn retry_after(mut self, span: time::Duration) -> Self {
        self.retry = Some(span);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.code.as_str(), self.step)?;
        if !self.peer.is_empty() {
            write!(f, " ({})", self.peer)?;
        }
        write!(f, ": {} [{}]", self.message, self.outcome.as_str())
    }
}

impl std::error::Error for Refusal {}
