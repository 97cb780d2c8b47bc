//! Addresses that no other test and no other process uses.

use std::{
    net::SocketAddr,
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// First of the ports; all are below those that the system takes for outgoing connections.
const FIRST_PORT: u16 = 7_300;

/// End of the ports.
const LAST_PORT: u16 = 32_000;

/// A new address on the network of this process. Process ids have at most 22 bits.
pub(crate) fn next() -> SocketAddr {
    static PORTS: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = PORTS.fetch_add(1, Ordering::Relaxed);
    assert!(port < LAST_PORT, "too many addresses for one process");
    let [high, middle, low] = [16, 8, 0].map(|shift| (process::id() >> shift) as u8);
    SocketAddr::from(([127, 192 | high, middle, low], port))
}
