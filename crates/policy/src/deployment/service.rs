//! Services that routes lead to.

use std::time;

use super::Engine;

/// A service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Path of the health check of its upstreams.
    #[serde(rename = "health")]
    pub health_path: String,
    /// Connections that each upstream accepts from all callers together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// What a cold upstream bears.
    pub cold: Cold,
    /// The engine, if it serves models.
    pub engine: Option<Engine>,
}

/// What an upstream of a service bears after a cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cold {
    /// Time for which an upstream is cold after its start.
    pub span: time::Duration,
    /// Requests a second, over all nodes; 0 if cold upstreams have no such limit.
    pub rate: f64,
}
