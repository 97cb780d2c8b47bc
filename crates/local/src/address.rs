//! Loopback addresses for deployments that run at the same time.

use std::{net, sync::atomic};

/// Number of address ranges that this process has reserved so far; one per deployment.
static RESERVED: atomic::AtomicU8 = atomic::AtomicU8::new(0);

/// A range of loopback addresses, 127.x.y.0 to 127.x.y.255.
///
/// The range depends on the process id and the number of the deployment, so that tests which run at
/// the same time in several processes and threads use different addresses.
#[derive(Debug)]
pub(crate) struct Addresses {
    /// Second octet.
    high: u8,
    /// Third octet.
    low: u8,
}

impl Addresses {
    /// Reserves the next range of this process.
    pub(crate) fn reserve() -> Self {
        let process = std::process::id();
        let number = RESERVED.fetch_add(1, atomic::Ordering::Relaxed);
        let hash = process.wrapping_mul(0x9e37_79b1).rotate_left(8).to_be_bytes();
        // 127.0.y.z is left to other uses of the loopback interface.
        Self { high: hash[0].max(1), low: hash[1].wrapping_add(number) }
    }

    /// The range as part of a file name.
    pub(crate) fn name(&self) -> String {
        format!("{}-{}", self.high, self.low)
    }

    /// Address of the stand-ins of the platform: the key-value service and the VM list.
    pub(crate) fn platform(&self) -> net::Ipv4Addr {
        self.with_last_octet(1)
    }

    /// Address of the upstreams of the zone with this index.
    pub(crate) fn zone(&self, number: usize) -> net::Ipv4Addr {
        self.with_last_octet(2 + u8::try_from(number).unwrap_or(u8::MAX) % 14)
    }

    /// Address of the entry node with this index over all zones.
    pub(crate) fn node(&self, number: usize) -> net::Ipv4Addr {
        self.with_last_octet(16 + u8::try_from(number).unwrap_or(u8::MAX) % 239)
    }

    fn with_last_octet(&self, last: u8) -> net::Ipv4Addr {
        net::Ipv4Addr::new(127, self.high, self.low, last)
    }
}
