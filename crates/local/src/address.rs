//! Loopback addresses of deployments that run at the same time.

use std::{net, sync::atomic};

/// Number of deployments that this process has opened.
static OPENED: atomic::AtomicU8 = atomic::AtomicU8::new(0);

/// A range of loopback addresses, 127.x.y.0 to 127.x.y.255.
///
/// The range depends on the process and the number of the deployment, so that tests in several
/// processes and threads do not share addresses.
#[derive(Debug)]
pub(crate) struct Addresses {
    high: u8,
    low: u8,
}

impl Addresses {
    /// Reserves the next range of this process.
    pub(crate) fn reserve() -> Self {
        let process = std::process::id();
        let number = OPENED.fetch_add(1, atomic::Ordering::Relaxed);
        let mixed = process.wrapping_mul(0x9e37_79b1).rotate_left(8).to_be_bytes();
        // 127.0.y.z stays free for other uses of the loopback interface.
        Self { high: mixed[0].max(1), low: mixed[1].wrapping_add(number) }
    }

    /// The range in names of files.
    pub(crate) fn name(&self) -> String {
        format!("{}-{}", self.high, self.low)
    }

    /// Address of the platform.
    pub(crate) fn platform(&self) -> net::Ipv4Addr {
        self.at(1)
    }

    /// Address of the upstreams of a zone.
    pub(crate) fn zone(&self, number: usize) -> net::Ipv4Addr {
        self.at(2 + u8::try_from(number).unwrap_or(u8::MAX) % 14)
    }

    /// Address of an entry node.
    pub(crate) fn node(&self, number: usize) -> net::Ipv4Addr {
        self.at(16 + u8::try_from(number).unwrap_or(u8::MAX) % 239)
    }

    fn at(&self, last: u8) -> net::Ipv4Addr {
        net::Ipv4Addr::new(127, self.high, self.low, last)
    }
}
