//! Services and their service-level targets.

use std::{net, time};

use crate::id;

/// A service that requests are addressed to.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// What serves it.
    pub kind: Kind,
    /// Longest time for a request without a deadline of its own.
    pub timeout: time::Duration,
    /// Service-level targets.
    pub targets: Targets,
}

/// What serves a service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Replicas of model engines; callers name this model.
    Model {
        /// Model name in requests.
        model: String,
    },
    /// A plain HTTP service.
    Plain(Plain),
}

/// A plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Plain {
    /// Path prefix, with a leading and without a trailing slash.
    pub prefix: String,
    /// Addresses with the availability zone of each.
    pub upstreams: Vec<(id::Zone, net::SocketAddr)>,
    /// Calls that may be repeated; all others are not repeatable.
    pub repeatable: Vec<Pattern>,
    /// Whether calls that are not repeatable need an idempotency key.
    pub require_key: bool,
}

/// A method with a path pattern relative to the prefix; `*` stands for one segment.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Pattern {
    /// HTTP method in upper case.
    pub method: String,
    /// Path pattern, for example `/orders/*/status`.
    pub path: String,
}

/// Service-level targets; fractions are between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Targets {
    /// Fraction of requests answered whole and within their deadline.
    pub whole: f64,
    /// First token within this time for 95 in 100.
    pub first_token: time::Duration,
    /// Time between tokens for 95 in 100.
    pub between_tokens: time::Duration,
    /// Fraction of orders that end with a known outcome.
    pub orders: f64,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            whole: 0.999,
            first_token: time::Duration::from_millis(1_500),
            between_tokens: time::Duration::from_millis(49),
            orders: 0.999,
        }
    }
}

impl Service {
    /// The plain service, unless it is served by replicas.
    pub fn plain(&self) -> Option<&Plain> {
        match &self.kind {
            Kind::Plain(plain) => Some(plain),
            Kind::Model { .. } => None,
        }
    }
}

impl Plain {
    /// Whether a call, with its path relative to the prefix, may be repeated.
    ///
    /// # Examples
    ///
    /// ```
    /// use corneltrestle_policy::release::{Pattern, Plain};
    ///
    /// let plain = Plain {
    ///     prefix: "/orders".to_owned(),
    ///     upstreams: Vec::new(),
    ///     repeatable: vec![Pattern { method: "GET".to_owned(), path: "/*/status".to_owned() }],
    ///     require_key: true,
    /// };
    /// assert!(plain.is_repeatable("GET", "/7/status"));
    /// assert!(!plain.is_repeatable("POST", "/7/status"));
    /// ```
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|p| p.method == method && matches(&p.path, path))
    }
}

fn matches(pattern: &str, path: &str) -> bool {
    let mut wanted = pattern.split('/');
    let mut found = path.split('/');
    loop {
        match (wanted.next(), found.next()) {
            (None, None) => return true,
            (Some("*"), Some(segment)) if !segment.is_empty() => {}
            (Some(a), Some(b)) if a == b => {}
            _ => return false,
        }
    }
}
