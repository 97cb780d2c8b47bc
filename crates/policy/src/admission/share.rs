//! Division of a limit that applies to all nodes together into a share for each node.

/// Smallest share of a node without demand, as a fraction of an equal share.
pub const MIN_SHARE: f64 = 0.1;

/// This node's share of `limit`: proportional to its part of the total demand, at least
/// [`MIN_SHARE`] of an equal share and at most the whole limit. Without any demand all shares are
/// equal.
///
/// `own` and `total` are the demand on this node and on all nodes in the same unit; `nodes` is the
/// number of live nodes.
///
/// If all nodes use the same limit, total demand and number of nodes, the shares add up to at most
/// `limit * (1 + MIN_SHARE)`. While their data differs, the sum is bounded only by `nodes * limit`.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::admission::share;
///
/// assert_eq!(share(100.0, 30.0, 60.0, 4), 50.0);
/// assert_eq!(share(100.0, 0.0, 60.0, 4), 2.5);
/// ```
pub fn share(limit: f64, own: f64, total: f64, nodes: usize) -> f64 {
    let equal = limit / nodes.max(1) as f64;
    let part = if total > 0.0 { limit * own.max(0.0) / total } else { equal };
    part.clamp(equal * MIN_SHARE, limit)
}
