//! Names of the store's keys.

/// Key of the complete declared state.
pub const fn head() -> &'static str {
    "config/head"
}

/// Key of the lease of a zone.
pub fn lease(zone: &str) -> String {
    format!("zone/{zone}/lease")
}

/// Key of the assignment of a zone.
pub fn groups(zone: &str) -> String {
    format!("zone/{zone}/groups")
}

/// Key of the claim of an order; `hash` is the hash of the caller's idempotency key.
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
