//! Open channels, one for each peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use corneltrestle_kernel::table;
use corneltrestle_time::Moment;
use tonic::transport::Channel;
use xxhash_rust::xxh3;

/// The channels of a node by the address of the peer.
#[derive(Debug, Default)]
pub(super) struct Channels {
    open: HashMap<SocketAddr, Open>,
    opened: u64,
}

/// An open channel.
#[derive(Clone, Debug)]
pub(super) struct Open {
    /// The channel.
    pub(super) channel: Channel,
    /// Number of the channel among all that were opened.
    pub(super) number: u64,
    expiry: Moment,
}

impl table::Ranked for Channels {
    // Last in the lock order: no other table is locked while this one is.
    const RANK: u16 = 110;
    const NAME: &'static str = "channels";
}

impl Channels {
    /// The channel to `peer` unless it is too old.
    pub(super) fn get(&self, peer: SocketAddr, now: Moment) -> Option<Open> {
        self.open.get(&peer).filter(|open| now < open.expiry).cloned()
    }

    /// Stores a channel and drops the channels that are too old.
    pub(super) fn insert(
        &mut self,
        peer: SocketAddr,
        channel: Channel,
        now: Moment,
        max_age: Duration,
    ) -> Open {
        self.opened += 1;
        let open = Open { channel, number: self.opened, expiry: now + age(peer, now, max_age) };
        self.open.retain(|_, open| now < open.expiry);
        self.open.insert(peer, open.clone());
        open
    }

    /// Drops the channel with this number; a newer one stays.
    pub(super) fn remove(&mut self, peer: SocketAddr, number: u64) {
        if self.open.get(&peer).is_some_and(|open| open.number == number) {
            self.open.remove(&peer);
        }
    }
}

/// Between 90 and 100 % of `max_age`, so that channels opened together are not replaced together.
fn age(peer: SocketAddr, now: Moment, max_age: Duration) -> Duration {
    let hash = xxh3::xxh3_64_with_seed(peer.to_string().as_bytes(), now.as_micros());
    max_age.mul_f64(0.9 + (hash % 1_000) as f64 / 10_000.0)
}
