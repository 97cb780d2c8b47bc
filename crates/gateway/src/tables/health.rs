//! Health of upstreams, from the outcomes of this node's requests.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{health, id, upstream};
use corneltrestle_time::moment;

use super::activity;
use crate::upstream::Notice;

/// Time without requests after which the health of an upstream is dropped.
const RETENTION: time::Duration = time::Duration::from_secs(30);

/// Time for which an upstream that is leaving is remembered. It may serve on for long, and its
/// registration may be gone and come back meanwhile.
const LEAVING_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Health by upstream with the time of the latest outcome; lock rank 52.
#[derive(Debug, Default)]
pub struct Health {
    known: collections::HashMap<id::Vm, (health::Health, moment::Moment)>,
    /// Upstreams that have told this node that they are leaving.
    leaving: collections::HashMap<id::Vm, Leaving>,
    /// Until when upstreams want no requests from this node.
    closed: collections::HashMap<id::Vm, moment::Moment>,
}

/// An upstream that is leaving.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// Identifier of the start of its process; a later one is not leaving.
    incarnation: u64,
    at: moment::Moment,
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

    /// Records what an upstream says of itself; `incarnation` identifies the start of its process.
    pub fn record_notice(
        &mut self,
        upstream: &id::Vm,
        incarnation: u64,
        notice: Notice,
        now: moment::Moment,
    ) {
        if let Some(span) = notice.retry_after {
            let until = self.closed.entry(upstream.clone()).or_default();
            *until = (*until).max(now + span);
            log::info!(
                upstream = upstream.as_str(), span_ms = activity::saturating_millis(span);
                "upstream: it turns requests away and wants none for a while"
            );
        }
        if !notice.is_leaving {
            return;
        }
        let leaving = Leaving { incarnation, at: now };
        let known = self.leaving.insert(upstream.clone(), leaving);
        if known.is_none_or(|known| known.incarnation != incarnation) {
            log::info!(upstream = upstream.as_str(); "upstream: it says that it is leaving");
        }
    }

    /// Time for which an upstream wants no further requests from this node; `None` if it takes them.
    pub fn closed_for(&self, upstream: &str, now: moment::Moment) -> Option<time::Duration> {
        self.closed.get(upstream).filter(|until| now < **until).map(|until| until.since(now))
    }

    /// Whether an upstream has told this node that it is leaving.
    pub fn is_leaving(&self, upstream: &upstream::Upstream) -> bool {
        self.leaving
            .get(upstream.id.as_str())
            .is_some_and(|leaving| leaving.incarnation == upstream.incarnation)
    }

    /// Removes upstreams without recent requests.
    pub fn prune(&mut self, now: moment::Moment) {
        self.known.retain(|_, (_, at)| now.since(*at) < RETENTION);
        self.closed.retain(|_, until| now < *until);
        self.leaving.retain(|_, leaving| now.since(leaving.at) < LEAVING_RETENTION);
    }
}
