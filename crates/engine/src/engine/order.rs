//! Orders, which change the replica that a VM has joined and the model that it has loaded.

use corneltrestle_policy::id;

/// An order to the engine of a VM.
///
/// `token` is the fencing token of the lease under which the order is given, so that an engine can
/// reject orders of an earlier lease holder.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
pub enum Order<'a> {
    /// Join a replica and load its model.
    #[serde(rename_all = "kebab-case")]
    Join {
        /// Fencing token.
        token: u64,
        /// The replica to join.
        replica: &'a id::Replica,
        /// Epoch of the replica's membership.
        epoch: u64,
        /// Position of the VM among the members; 0 is the head.
        rank: u16,
        /// Number of members of the replica.
        size: u16,
        /// Model to load.
        model: &'a str,
        /// Adapter to load; empty for none.
        adapter: &'a str,
        /// Version of the model.
        version: &'a str,
    },
    /// Leave the replica if it was joined at this epoch or an earlier one.
    #[serde(rename_all = "kebab-case")]
    Release {
        /// Fencing token.
        token: u64,
        /// Latest epoch to leave; a later membership stays.
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

/// The response of an engine to an [`Order`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The engine carries out the order.
    Accepted,
    /// The order was rejected: its fencing token is older than one that the engine has seen.
    Stale,
    /// The engine cannot carry out the order in its current state.
    Refused,
}
