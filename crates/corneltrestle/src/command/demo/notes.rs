//! The release notes of the demo.

use std::net;

/// The zones of the deployment.
pub(super) const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// The zone that leaves and returns.
pub(super) const MOVED: &str = "zone-a";
/// The model in the sample note.
pub(super) const MODEL: &str = "drafts-small";
/// The path prefix of the order service in the sample note.
pub(super) const DESK: &str = "/desk";
/// The organisations in the sample note with their sample keys.
pub(super) const ORGANISATIONS: [Organisation; 2] = [
    Organisation { name: "frames", key: "demo-key-of-frames" },
    Organisation { name: "cards", key: "demo-key-of-cards" },
];

const SAMPLE: &str = include_str!("../../../examples/demo.note.ini");

/// An organisation of the sample note.
#[derive(Clone, Copy, Debug)]
pub(super) struct Organisation {
    /// Its name.
    pub name: &'static str,
    /// The key whose hash is in the note.
    pub key: &'static str,
}

/// The sample note with the addresses of the order services.
pub(super) fn first<'a>(services: impl IntoIterator<Item = (&'a str, net::SocketAddr)>) -> String {
    services.into_iter().fold(SAMPLE.to_owned(), |note, (zone, address)| {
        note.replace(&format!("@orders-{zone}@"), &address.to_string())
    })
}

/// A note that takes the moved zone out of service or in again.
pub(super) fn zone(base: u64, state: &str) -> String {
    format!(
        "[note]\nid = demo-zone-{state}\nbase = {base}\n\
         [zone {MOVED}]\nchange = change\nstate = {state}\n"
    )
}
