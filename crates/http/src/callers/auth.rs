//! Authenticates callers by the keys of their organisations.

use corneltrestle_node::{
    digest,
    pipeline::refusal::{self, Result},
};
use corneltrestle_policy::{id, release};
use hyper::header;
use subtle::ConstantTimeEq;

/// The organisation whose key the request carries.
///
/// # Errors
///
/// When the key is missing or unknown.
pub(super) fn authenticate(
    headers: &hyper::HeaderMap,
    release: &release::Release,
) -> Result<id::Organisation> {
    let refused =
        |message| refusal::Refusal::not_run(refusal::Code::Unauthorized, "authenticate", message);
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| refused("send the organisation's key as Authorization: Bearer KEY"))?;
    let hash = digest::key(key.trim());
    // Compares every hash in constant time, so that the response time reveals nothing about any of
    // them.
    let mut found = None;
    for (name, organisation) in &release.organisations {
        if bool::from(organisation.key_hash.as_bytes().ct_eq(hash.as_bytes())) {
            found = Some(name);
        }
    }
    found.cloned().ok_or_else(|| refused("the organisation's key is unknown"))
}
