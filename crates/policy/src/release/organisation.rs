//! Organisations, which own API keys, and their limits.

/// API key, weight and limits of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Organisation {
    /// SHA-256 hash of its API key in lower-case hexadecimal; the key itself is not stored.
    pub key_hash: String,
    /// Weight in the division of capacity under overload, at least 1.
    pub weight: u32,
    /// Limit on requests per second, over all nodes; at least 1.
    pub rate: u32,
    /// Limit on requests in progress, over all nodes; at least 1.
    pub concurrency: u32,
}
