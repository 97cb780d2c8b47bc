//! Errors returned to callers in place of a response of the upstream.
//!
//! Each one states whether the request may have run, so that the caller knows whether repeating it
//! is safe.

use std::{fmt, time};

/// The result of a step of the request path.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Whether a request without a response of the upstream may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No part of the request has run; repeating it is safe.
    NotRun,
    /// The request may have run, in part or completely.
    Unknown,
}

/// Why a request has no response of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// No service has this path or model.
    UnknownService,
    /// The requested item does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The header is larger than the limit.
    HeaderTooLarge,
    /// The body is larger than the limit.
    TooLarge,
    /// The request was not received completely within the time limit.
    RequestTimeout,
    /// A call that is not repeatable has no idempotency key.
    KeyRequired,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// Another call with this idempotency key is in progress.
    InProgress,
    /// The organisation exceeds its limits.
    RateLimited,
    /// The system is overloaded.
    Overloaded,
    /// No upstream can serve the request now.
    Unavailable,
    /// The platform's store cannot be used now.
    StoreUnavailable,
    /// The node is shutting down.
    Draining,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The upstream failed or gave no usable response.
    UpstreamFailed,
}

/// An error that is returned to the caller in place of a response of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Machine-readable cause.
    pub code: Code,
    /// The step of request handling that failed, for example `claim`.
    pub step: &'static str,
    /// The upstream or store involved; empty if none.
    pub peer: String,
    /// Human-readable description.
    pub message: String,
    /// Delay after which the caller may retry; `None` gives no advice.
    pub retry: Option<time::Duration>,
}

impl Code {
    /// The code as written in error responses and metrics.
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
    /// The outcome as written in the header `Corneltrestle-Outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Refusal {
    /// An error for a request of which nothing has run, without peer and retry delay.
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

    /// An error for a request that may have run, without peer and retry delay.
    pub fn unknown(code: Code, step: &'static str, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(code, step, message) }
    }

    /// Sets the upstream or store involved.
    pub fn at(mut self, peer: impl fmt::Display) -> Self {
        self.peer = peer.to_string();
        self
    }

    /// Sets the delay after which the caller may retry.
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
