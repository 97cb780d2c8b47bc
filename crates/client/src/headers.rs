//! Removal of hop-by-hop headers, which apply to one connection and must not be forwarded.

use hyper::header;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), with `Keep-Alive` and `Proxy-Connection`, which
/// older peers send.
static HOP_BY_HOP: [header::HeaderName; 9] = [
    header::CONNECTION,
    header::HeaderName::from_static("keep-alive"),
    header::HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn remove_hop_by_hop(headers: &mut hyper::HeaderMap) {
    let named: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
