//! SHA-256 hashes of API keys and requests.

use std::fmt::Write;

use sha2::Digest;

/// SHA-256 hash of the parts, each preceded by its length, in lower-case hexadecimal.
///
/// Because of the lengths, different divisions of the same bytes have different hashes.
pub fn hex(parts: &[&[u8]]) -> String {
    let mut hash = sha2::Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    to_hex(&hash.finalize())
}

/// SHA-256 hash of an organisation's API key in lower-case hexadecimal, as release notes have it.
///
/// # Examples
///
/// ```
/// let hash = corneltrestle_node::digest::key("secret");
/// assert!(hash.starts_with("2bb80d537b1da3e3"));
/// ```
pub fn key(key: &str) -> String {
    to_hex(&sha2::Sha256::digest(key.as_bytes()))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
