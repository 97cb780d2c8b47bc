//! Organisations and their limits.

/// Key, share and limits of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Organisation {
    /// SHA-256 hash of its key in lower-case hexadecimal.
    pub key_hash: String,
    /// Weight of its share under overload, from 1.
    pub weight: u32,
    /// Requests a second over all nodes.
    pub rate: u32,
    /// Requests in progress over all nodes.
    pub concurrency: u32,
}
