//! Limits on the requests and connections of callers.

use std::time;

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Maximum size of a request header in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time within which a complete header must arrive.
    #[serde(rename = "header-time")]
    pub header_timeout: time::Duration,
    /// Time after which a connection without a request is closed.
    #[serde(rename = "idle-time")]
    pub idle_timeout: time::Duration,
}

impl Default for Limits {
    /// Limits that apply before the configuration is known; usual defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}
