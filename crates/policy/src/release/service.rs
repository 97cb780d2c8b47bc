//! Services and their service-level targets.

use std::{net, time};

use crate::id;

/// A service that callers send requests to.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Whether it is a model or plain HTTP, with its properties.
    pub kind: Kind,
    /// Time limit of requests that state no deadline; above zero.
    pub timeout: time::Duration,
    /// Service-level targets that burn rates are computed against.
    pub targets: Targets,
}

/// What a service consists of.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model, served by replicas of model engines.
    Model {
        /// The model name by which requests choose this service.
        model: String,
    },
    /// HTTP upstreams that requests are forwarded to.
    Plain(Plain),
}

/// A service whose HTTP requests are forwarded to fixed upstreams.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Plain {
    /// Path prefix that selects the service, with a leading and without a trailing slash.
    pub prefix: String,
    /// Addresses of the upstreams, each with its availability zone.
    pub upstreams: Vec<(id::Zone, net::SocketAddr)>,
    /// Calls that may be sent again after a failure; no others may.
    pub repeatable: Vec<Pattern>,
    /// Whether calls that are not repeatable are refused without an idempotency key.
    pub require_key: bool,
}

/// A method with a path pattern relative to the prefix; `*` matches one segment that is not empty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Pattern {
    /// HTTP method in upper case.
    pub method: String,
    /// Path pattern, for example `/orders/*/status`.
    pub path: String,
}

/// Service-level targets; fractions are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Targets {
    /// Fraction of requests that get a complete response within their deadline.
    pub whole: f64,
    /// Time to the first token that 95 % of the streams must keep.
    pub first_token: time::Duration,
    /// Time between two tokens that 95 % of the gaps must keep.
    pub between_tokens: time::Duration,
    /// Fraction of orders (calls that are not repeatable) that end with a known outcome.
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
    /// The properties of a plain service; `None` for a model.
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
