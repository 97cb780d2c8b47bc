//! Health of upstreams, from the outcomes of this node's requests.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{health, id};
use corneltrestle_time::moment;

/// Time without requests after which the health of an upstream is dropped.
const RETENTION: time::Duration = time::Duration::from_secs(30);

/// Health by upstream with the time of the latest outcome; lock rank 52.
#[derive(Debug, Default)]
pub struct Health {
    known: collections::HashMap<id::Vm, (health::Health, moment::Moment)>,
}

impl table::Ranked for Health {
    const RANK: u16 = 52;
    const NAME: &'static str = "health";
}

impl Health {
    /// Records the outcome of a request.
    pub fn record(&mut self, upstream: &id::Vm, outcome: health::Outcome, now: moment::Moment) {
        let (health, at) = self.known.entry(upstream.clone()).or_default();
        health.record(outcome, now);
        *at = now;
    }

    /// The health of an upstream; that of an upstream without requests is good.
    pub fn of(&self, upstream: &str) -> health::Health {
        self.known.get(upstream).map(|(health, _)| *health).unwrap_or_default()
    }

    /// Removes upstreams without recent requests.
    pub fn prune(&mut self, now: moment::Moment) {
        self.known.retain(|_, (_, at)| now.since(*at) < RETENTION);
    }
}
