//! Open channels, one for each peer.

use std::{collections, net, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::keepalive;
use corneltrestle_time::moment;
use tonic::transport;

/// The channels of a node by the address of the peer.
#[derive(Debug, Default)]
pub(crate) struct Channels {
    open: collections::HashMap<net::SocketAddr, Open>,
    opened: u64,
}

/// An open channel.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    /// The channel.
    pub(crate) channel: transport::Channel,
    /// Number of the channel among all that were opened.
    pub(crate) number: u64,
    history: keepalive::Connection,
}

impl table::Ranked for Channels {
    // Last in the lock order: no other table is locked while this one is.
    const RANK: u16 = 110;
    const NAME: &'static str = "channels";
}

impl Channels {
    /// The channel to `peer` unless it is too old.
    pub(crate) fn get(&self, peer: net::SocketAddr, now: moment::Moment) -> Option<Open> {
        self.open.get(&peer).filter(|open| open.is_kept(now)).cloned()
    }

    /// Stores a channel and drops the channels that are too old.
    pub(crate) fn insert(
        &mut self,
        peer: net::SocketAddr,
        channel: transport::Channel,
        now: moment::Moment,
        max_age: time::Duration,
    ) -> Open {
        self.opened += 1;
        let kind = keepalive::Kind::Link;
        let history = keepalive::Connection::with_max_age(kind, max_age, now, &mut rand::rng());
        let open = Open { channel, number: self.opened, history };
        self.open.retain(|_, open| open.is_kept(now));
        self.open.insert(peer, open.clone());
        open
    }

    /// Drops the channel with this number; a newer one stays.
    pub(crate) fn remove(&mut self, peer: net::SocketAddr, number: u64) {
        if self.open.get(&peer).is_some_and(|open| open.number == number) {
            self.open.remove(&peer);
        }
    }
}

impl Open {
    /// Whether new calls may use the channel. Calls have time limits of their own, so that only
    /// the age is judged here.
    fn is_kept(&self, now: moment::Moment) -> bool {
        self.history.check(now) == keepalive::Action::Keep
    }
}
