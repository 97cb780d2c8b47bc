//! Keys of the values in the key-value store.

/// Key of the current release: the complete state that operators declared.
pub const fn head() -> &'static str {
    "config/head"
}

/// Key of the lease of a zone, held by the node that assigns the zone's VMs.
pub fn lease(zone: &str) -> String {
    format!("zone/{zone}/lease")
}

/// Key of the assignment of a zone's VMs to serving groups.
pub fn groups(zone: &str) -> String {
    format!("zone/{zone}/groups")
}

/// Key of the record that claims an order for one request; `hash` is the hash of the client's
/// idempotency key.
///
/// # Examples
///
/// ```
/// use corneltrestle_wire::key;
///
/// assert_eq!(key::order("acme", "desk", "9f86d0"), "order/acme/desk/9f86d0");
/// ```
pub fn order(organisation: &str, service: &str, hash: &str) -> String {
    format!("order/{organisation}/{service}/{hash}")
}
