//! Orders to engines.

use corneltrestle_policy::id;

/// An order, with the fencing token of the lease under which it is given.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum Order<'a> {
    /// Join a replica and load its model.
    #[serde(rename_all = "kebab-case")]
    Join {
        /// Fencing token.
        token: u64,
        /// The replica.
        replica: &'a id::Replica,
        /// Epoch of the membership.
        epoch: u64,
        /// Number of the member; 0 is the head.
        rank: u16,
        /// Number of members.
        size: u16,
        /// Model to load.
        model: &'a str,
        /// Adapter to load; empty for none.
        adapter: &'a str,
        /// Version of the model.
        version: &'a str,
    },
    /// Leave the replica that was joined at this or an earlier epoch.
    #[serde(rename_all = "kebab-case")]
    Release {
        /// Fencing token.
        token: u64,
        /// Epoch of the membership.
        epoch: u64,
    },
    /// Load another adapter or version while staying in the replica.
    #[serde(rename_all = "kebab-case")]
    Load {
        /// Fencing token.
        token: u64,
        /// Model to load.
        model: &'a str,
        /// Adapter to load; empty for none.
        adapter: &'a str,
        /// Version of the model.
        version: &'a str,
    },
}

/// How an engine answers an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It acts on it.
    Accepted,
    /// The fencing token is older than one it has seen.
    Stale,
    /// It cannot act on it now.
    Refused,
}
