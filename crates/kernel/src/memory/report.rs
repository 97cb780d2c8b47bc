//! Metrics and log lines of the memory budget.

use std::{sync, time};

use corneltrestle_policy::memory::{Cause, Eviction, Holder, Kind};
use corneltrestle_time::moment::Moment;

use crate::{host, linkme::distributed_slice, metric};

#[distributed_slice(metric::METRICS)]
static HELD: metric::Metric = metric::Metric::gauge(
    "memory_held_bytes",
    "Bytes held on behalf of clients, by kind: connection, request, answer or relay.",
);

#[distributed_slice(metric::METRICS)]
static LIMIT: metric::Metric =
    metric::Metric::gauge("memory_limit_bytes", "Limit on the bytes held on behalf of clients.");

#[distributed_slice(metric::METRICS)]
static REFUSED: metric::Metric = metric::Metric::counter(
    "memory_refused_total",
    "Demands for memory that were refused, by kind and cause: exhausted or never-fits.",
);

#[distributed_slice(metric::METRICS)]
static EVICTED: metric::Metric = metric::Metric::counter(
    "memory_evicted_total",
    "Holders of memory that had to release it, by kind and cause: silent, unread, largest, idle or waiting.",
);

/// Interval between two log lines of the same cause.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Causes that are logged: two of refusals, five of evictions.
const CAUSES: usize = 7;

#[distributed_slice(metric::GAUGES)]
static SET_GAUGES: fn(&sync::Arc<host::Host>) = set_gauges;

fn set_gauges(host: &sync::Arc<host::Host>) {
    for kind in Kind::ALL {
        let held = host.memory.bytes(kind);
        metrics::gauge!(HELD.name, "kind" => kind.as_str()).set(held as f64);
    }
    metrics::gauge!(LIMIT.name).set(host.memory.limits().total as f64);
}

/// When each cause was last logged, and how often it has occurred since.
#[derive(Debug, Default)]
pub(super) struct Reports {
    causes: [Last; CAUSES],
}

#[derive(Clone, Copy, Debug, Default)]
struct Last {
    logged: Option<Moment>,
    left_out: u64,
}

/// A refusal or an eviction that is to be counted and logged once the ledger is unlocked.
#[derive(Debug)]
pub(super) struct Report {
    event: Event,
    kind: Kind,
    /// The client concerned.
    address: Option<std::net::IpAddr>,
    bytes: usize,
    /// Sum of all holdings.
    held: usize,
    /// Events of this cause without a log line since the last one; `None` if this one gets none.
    left_out: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Refused(Cause),
    Evicted(Eviction),
}

impl Event {
    fn index(self) -> usize {
        match self {
            Self::Refused(Cause::NeverFits) => 0,
            Self::Refused(Cause::Exhausted | Cause::Evicted) => 1,
            Self::Evicted(Eviction::Silent) => 2,
            Self::Evicted(Eviction::Unread) => 3,
            Self::Evicted(Eviction::Largest) => 4,
            Self::Evicted(Eviction::Idle) => 5,
            Self::Evicted(Eviction::Waiting) => 6,
        }
    }
}

impl Reports {
    /// A report of a refused demand for `bytes`.
    pub(super) fn refused(
        &mut self,
        cause: Cause,
        holder: &Holder,
        bytes: usize,
        held: usize,
        now: Moment,
    ) -> Report {
        self.report(Event::Refused(cause), holder, bytes, held, now)
    }

    /// A report of an evicted holder.
    pub(super) fn evicted(
        &mut self,
        cause: Eviction,
        holder: &Holder,
        held: usize,
        now: Moment,
    ) -> Report {
        self.report(Event::Evicted(cause), holder, holder.bytes, held, now)
    }

    fn report(
        &mut self,
        event: Event,
        holder: &Holder,
        bytes: usize,
        held: usize,
        now: Moment,
    ) -> Report {
        let last = &mut self.causes[event.index()];
        let is_due = last.logged.is_none_or(|logged| now.since(logged) >= LOG_INTERVAL);
        let left_out = is_due.then(|| std::mem::take(&mut last.left_out));
        if is_due {
            last.logged = Some(now);
        } else {
            last.left_out += 1;
        }
        let (kind, address) = (holder.kind, holder.caller.address);
        Report { event, kind, address, bytes, held, left_out }
    }
}

impl Report {
    /// Counts the event, and logs it unless its cause was logged within the last second.
    pub(super) fn publish(&self) {
        let kind = self.kind.as_str();
        let (action, cause) = match self.event {
            Event::Refused(cause) => {
                let cause = cause.as_str();
                metrics::counter!(REFUSED.name, "kind" => kind, "cause" => cause).increment(1);
                ("refused", cause)
            }
            Event::Evicted(cause) => {
                let cause = cause.as_str();
                metrics::counter!(EVICTED.name, "kind" => kind, "cause" => cause).increment(1);
                ("evicted", cause)
            }
        };
        let Some(left_out) = self.left_out else { return };
        let client = self.address.map_or_else(|| "none".to_owned(), |address| address.to_string());
        let (bytes, held) = (self.bytes, self.held);
        log::warn!(kind, cause, client, bytes, held, left_out; "memory: {action}");
    }
}
