//! Services that routes send requests to.

use std::time;

use super::Engine;

/// A service, provided by one or more upstreams.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Path of the health check endpoint of its upstreams.
    #[serde(rename = "health")]
    pub health_path: String,
    /// Connections that each upstream accepts from all callers together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Limit on requests to upstreams that have just started.
    pub cold: Cold,
    /// The inference engine; `None` for a service without models.
    pub engine: Option<Engine>,
}

/// Limit on the requests to an upstream after its start, while its caches are cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cold {
    /// Time for which an upstream is cold after its start.
    pub span: time::Duration,
    /// Requests per second to each cold upstream, over all nodes together; 0 for no limit.
    pub rate: f64,
}
