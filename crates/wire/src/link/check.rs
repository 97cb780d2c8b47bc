//! Checks and conversions of single fields while a message is decoded or encoded.

use std::{net, time};

use super::{Result, error};
use crate::link;

/// Checks that a field has at most `max` elements or bytes.
pub(super) fn at_most(field: &'static str, found: usize, max: usize) -> Result<()> {
    if found > max {
        return Err(error::Error { field, kind: error::Kind::TooLong { found, max } });
    }
    Ok(())
}

/// Checks that a field has as many elements as another field requires.
pub(super) fn exactly(field: &'static str, found: usize, expected: usize) -> Result<()> {
    if found != expected {
        return Err(error::Error { field, kind: error::Kind::Length { found, expected } });
    }
    Ok(())
}

/// Decodes a required name of at most [`link::MAX_NAME_BYTES`].
pub(super) fn name<'a, T: From<&'a str>>(field: &'static str, text: &'a str) -> Result<T> {
    if text.is_empty() {
        return Err(error::Error { field, kind: error::Kind::Missing });
    }
    at_most(field, text.len(), link::MAX_NAME_BYTES)?;
    Ok(T::from(text))
}

/// Decodes each element of a list of at most `max` elements.
pub(super) fn list<A, B>(
    field: &'static str,
    found: Vec<A>,
    max: usize,
    decode: impl FnMut(A) -> Result<B>,
) -> Result<Vec<B>> {
    at_most(field, found.len(), max)?;
    found.into_iter().map(decode).collect()
}

/// Encodes a duration in whole milliseconds; longer than about 49 days becomes the largest value.
pub(super) fn millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Encodes an address: 4 or 16 bytes of IP address and 2 bytes of port, in network byte order.
pub(super) fn address_bytes(address: net::SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        net::IpAddr::V4(ip) => ip.octets().to_vec(),
        net::IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Decodes the form that [`address_bytes`] writes.
pub(super) fn address(field: &'static str, bytes: &[u8]) -> Result<net::SocketAddr> {
    let invalid =
        || error::Error::invalid(field, "an IP address of 4 or 16 bytes and a port of 2 bytes");
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(invalid)?;
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok().map(|ip| net::IpAddr::V4(net::Ipv4Addr::from(ip))),
        16 => <[u8; 16]>::try_from(ip).ok().map(|ip| net::IpAddr::V6(net::Ipv6Addr::from(ip))),
        _ => None,
    };
    Ok(net::SocketAddr::new(ip.ok_or_else(invalid)?, u16::from_be_bytes(*port)))
}
