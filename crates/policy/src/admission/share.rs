//! A node's part of a limit that holds over all nodes.

/// Part of an equal share that a node keeps however small its demand is.
pub const MIN_SHARE: f64 = 0.1;

/// This node's share of `limit`: proportional to its part of the total demand, at least
/// [`MIN_SHARE`] of an equal part, at most the whole limit; an equal part without any demand.
///
/// If all nodes use the same limit, total demand and number of nodes, the shares add up to at most
/// `limit * (1 + MIN_SHARE)`. While views differ, the sum is bounded only by `nodes * limit`.
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
