//! Release notes of the demo, and the names and keys that they contain.

use std::net;

/// Availability zones of the deployment.
pub(super) const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Zone that is taken out of service and brought back.
pub(super) const TOGGLED_ZONE: &str = "zone-a";
/// Model in the initial note.
pub(super) const MODEL: &str = "drafts-small";
/// Path prefix of the order service in the initial note.
pub(super) const ORDER_PREFIX: &str = "/desk";
/// Organisations in the initial note, with the keys whose hashes the note contains.
pub(super) const ORGANISATIONS: [Organisation; 2] = [
    Organisation { name: "frames", key: "demo-key-of-frames" },
    Organisation { name: "cards", key: "demo-key-of-cards" },
];

const INITIAL_NOTE: &str = include_str!("../../../examples/demo.note.ini");

/// An organisation that sends requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Organisation {
    /// Name in the note.
    pub name: &'static str,
    /// API key; the note contains its SHA-256 hash.
    pub key: &'static str,
}

/// The initial note, with the address of the order service of each zone filled in.
pub(super) fn initial<'a>(
    services: impl IntoIterator<Item = (&'a str, net::SocketAddr)>,
) -> String {
    services.into_iter().fold(INITIAL_NOTE.to_owned(), |note, (zone, address)| {
        note.replace(&format!("@orders-{zone}@"), &address.to_string())
    })
}

/// A note on top of revision `base` that sets the state of [`TOGGLED_ZONE`] to `in` or `out`.
pub(super) fn set_zone_state(base: u64, state: &str) -> String {
    format!(
        "[note]\nid = demo-zone-{state}\nbase = {base}\n\
         [zone {TOGGLED_ZONE}]\nchange = change\nstate = {state}\n"
    )
}
