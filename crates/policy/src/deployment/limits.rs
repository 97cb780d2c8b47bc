//! Limits on what callers may send.

use std::time;

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Largest header in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a header to arrive.
    #[serde(rename = "header-time")]
    pub header_timeout: time::Duration,
    /// Longest time between two requests on a connection.
    #[serde(rename = "idle-time")]
    pub idle_timeout: time::Duration,
}

impl Default for Limits {
    /// Limits before a deployment is known: those of common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}
