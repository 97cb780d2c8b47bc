//! Health of upstreams by what this node's requests meet there.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{health, id};
use corneltrestle_time::moment;

/// Time without requests after which the health of an upstream is forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(30);

/// Health by upstream; rank 52.
#[derive(Debug, Default)]
pub struct Health {
    known: collections::HashMap<id::Vm, (health::Health, moment::Moment)>,
}

impl table::Ranked for Health {
    const RANK: u16 = 52;
    const NAME: &'static str = "health";
}

impl Health {
    /// Records how a request ended.
    pub fn record(&mut self, upstream: &id::Vm, outcome: health::Outcome, now: moment::Moment) {
        let (health, at) = self.known.entry(upstream.clone()).or_default();
        health.record(outcome, now);
        *at = now;
    }

    /// The health of an upstream.
    pub fn of(&self, upstream: &str) -> health::Health {
        self.known.get(upstream).map(|(health, _)| *health).unwrap_or_default()
    }

    /// Forgets upstreams that have had no requests for long.
    pub fn prune(&mut self, now: moment::Moment) {
        self.known.retain(|_, (_, at)| now.since(*at) < RETENTION);
    }
}
