//! Channels to peers, one for each, replaced when they reach an age limit or fail.

use std::{collections, net, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::keepalive;
use corneltrestle_time::moment;
use tonic::transport;

/// The channels by the address of the peer.
#[derive(Debug, Default)]
pub(crate) struct Channels {
    entries: collections::HashMap<net::SocketAddr, Entry>,
    /// Number of channels that were ever opened.
    opened: u64,
}

/// A channel to a peer.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Connects on its first call and is shared by all calls to the peer.
    pub(crate) channel: transport::Channel,
    /// Tells the channel apart from later ones to the same peer.
    pub(crate) number: u64,
    history: keepalive::Connection,
}

impl table::Ranked for Channels {
    // Last in the lock order: no other table is locked while this one is locked.
    const RANK: u16 = 110;
    const NAME: &'static str = "channels";
}

impl Channels {
    /// The channel to `peer`; `None` if there is none or it has reached its age limit.
    pub(crate) fn get(&self, peer: net::SocketAddr, now: moment::Moment) -> Option<Entry> {
        self.entries.get(&peer).filter(|entry| entry.is_usable(now)).cloned()
    }

    /// Stores a new channel and removes those that have reached their age limit. Calls in progress
    /// keep their channel.
    pub(crate) fn insert(
        &mut self,
        peer: net::SocketAddr,
        channel: transport::Channel,
        now: moment::Moment,
        max_age: time::Duration,
    ) -> Entry {
        self.opened += 1;
        let kind = keepalive::Kind::Link;
        let history = keepalive::Connection::with_max_age(kind, max_age, now, &mut rand::rng());
        let entry = Entry { channel, number: self.opened, history };
        self.entries.retain(|_, entry| entry.is_usable(now));
        self.entries.insert(peer, entry.clone());
        entry
    }

    /// Removes the channel to `peer` if it has this number; a newer one stays.
    pub(crate) fn remove(&mut self, peer: net::SocketAddr, number: u64) {
        if self.entries.get(&peer).is_some_and(|entry| entry.number == number) {
            self.entries.remove(&peer);
        }
    }
}

impl Entry {
    /// Whether new calls may use the channel. Only its age counts, because each call has a time
    /// limit of its own.
    fn is_usable(&self, now: moment::Moment) -> bool {
        self.history.check(now) == keepalive::Action::Keep
    }
}
