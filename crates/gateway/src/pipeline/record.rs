//! The record of one request: collects what happened to it, for its log line and the metrics.

use std::{fmt, sync};

use corneltrestle_kernel::{disconnect, host, linkme, metric, table};
use corneltrestle_policy::{id, refusal};
use corneltrestle_time::moment;

use super::{admit::Admitted, choose::Target};
use crate::{
    request,
    tables::{activity::saturating_millis, catalog},
};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static SECONDS: metric::Metric = metric::Metric::histogram(
    "request_seconds",
    "Time from the arrival of a request to its end, by service.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static REQUESTS: metric::Metric = metric::Metric::counter(
    "requests_total",
    "Requests by service and by result: answered, caller-left, cut-off (by this node, with its connection) or the code of the refusal.",
);

/// The record of one request. Its log line is written when the request ends, or on drop with the
/// connection on which it arrived.
#[derive(Debug)]
pub(super) struct Record {
    host: sync::Arc<host::Host>,
    catalog: sync::Arc<table::Table<catalog::Catalog>>,
    id: String,
    arrived: moment::Moment,
    disconnect: disconnect::Handle,
    route: Option<id::Route>,
    service: Option<id::Service>,
    organisation: Option<id::Organisation>,
    dispatches: Vec<Dispatch>,
    /// Index of the send whose answer is in use, or awaited.
    current: usize,
    events: Events,
    is_closed: bool,
}

/// One send to an upstream.
#[derive(Debug)]
struct Dispatch {
    upstream: id::Vm,
    /// Milliseconds from the arrival of the request to the send.
    sent: u32,
    /// Milliseconds from the send to the predicted first event.
    predicted: u32,
    /// Milliseconds from the arrival to the failure, and its message.
    failure: Option<(u32, String)>,
}

/// Timing of the events relayed to the caller.
#[derive(Clone, Copy, Debug, Default)]
struct Events {
    number: u64,
    /// Milliseconds from the arrival of the request to the first event; 0 without events.
    first: u32,
    /// Longest time between two events in milliseconds.
    pause: u32,
    latest: Option<moment::Moment>,
}

impl Record {
    /// Creates the record of a request that has just arrived.
    pub(super) fn new(
        host: &sync::Arc<host::Host>,
        catalog: &sync::Arc<table::Table<catalog::Catalog>>,
        request: &request::Request,
    ) -> Self {
        Self {
            host: sync::Arc::clone(host),
            catalog: sync::Arc::clone(catalog),
            id: request.id.clone(),
            arrived: request.arrived,
            disconnect: request.disconnect.clone(),
            route: None,
            service: None,
            organisation: None,
            dispatches: Vec::new(),
            current: 0,
            events: Events::default(),
            is_closed: false,
        }
    }

    /// Records the route, service and organisation.
    pub(super) fn admitted(&mut self, admitted: &Admitted) {
        self.route = Some(admitted.route.name.clone());
        self.service = Some(admitted.service.clone());
        self.organisation.clone_from(&admitted.organisation);
    }

    /// Records a send to an upstream.
    pub(super) fn dispatched(&mut self, target: &Target, now: moment::Moment) {
        self.current = self.dispatches.len();
        self.dispatches.push(Dispatch {
            upstream: target.id.clone(),
            sent: self.since(now),
            predicted: saturating_millis(target.predicted),
            failure: None,
        });
    }

    /// Index of the send whose answer is in use.
    pub(super) fn current(&self) -> usize {
        self.current
    }

    /// Records that the answer of an earlier send is in use again.
    pub(super) fn went_back(&mut self, to: usize) {
        self.current = to;
    }

    /// Records how the attempt in use failed.
    pub(super) fn failed(&mut self, failure: &impl fmt::Display, now: moment::Moment) {
        let at = self.since(now);
        if let Some(dispatch) = self.dispatches.get_mut(self.current) {
            dispatch.failure = Some((at, failure.to_string()));
        }
    }

    /// The upstream of the latest send, if that has not failed.
    pub(super) fn in_progress(&self) -> Option<&id::Vm> {
        let latest = self.dispatches.last()?;
        latest.failure.is_none().then_some(&latest.upstream)
    }

    /// Number of sends so far.
    pub(super) fn dispatches(&self) -> usize {
        self.dispatches.len()
    }

    /// Message of the failure of the attempt in use, if it failed.
    pub(super) fn failure(&self) -> Option<&str> {
        let (_, failure) = self.dispatches.get(self.current)?.failure.as_ref()?;
        Some(failure)
    }

    /// Records an event that is relayed.
    pub(super) fn event(&mut self, now: moment::Moment) {
        match self.events.latest {
            None => self.events.first = self.since(now),
            Some(latest) => {
                self.events.pause = self.events.pause.max(saturating_millis(now.since(latest)));
            }
        }
        self.events.number += 1;
        self.events.latest = Some(now);
    }

    /// Writes the log line of a request with a complete answer.
    pub(super) fn finished(&mut self, status: hyper::StatusCode) {
        self.is_closed = true;
        self.count("answered");
        log::info!(
            id = self.id.as_str(), route = self.route(), took_ms = self.since(self.host.now()),
            status = status.as_u16(), first_ms = self.events.first, pause_ms = self.events.pause,
            events = self.events.number, offers = self.dispatches(),
            sent = self.attempts().as_str();
            "route: request answered"
        );
    }

    /// Writes the log line of a request that was refused, or whose answer was cut off.
    pub(super) fn refused(&mut self, refusal: &refusal::Refusal) {
        self.is_closed = true;
        self.count(refusal.code.as_str());
        let (revision, age) = self.facts();
        log::warn!(
            id = self.id.as_str(), route = self.route(), took_ms = self.since(self.host.now()),
            organisation = self.organisation.as_ref().map_or("none", id::Organisation::as_str),
            code = refusal.code.as_str(), outcome = refusal.outcome.as_str(), step = refusal.step,
            cause = refusal.message.as_str(), events = self.events.number,
            revision = revision, facts_ms = age, upstream = self.upstream(),
            sent = self.attempts().as_str();
            "route: request failed"
        );
    }

    fn route(&self) -> &str {
        self.route.as_ref().map_or("none", id::Route::as_str)
    }

    /// The upstream whose answer is in use. The end of the request may be the only line that names it,
    /// as a request can wait for a stalled upstream until its deadline.
    fn upstream(&self) -> &str {
        self.dispatches.get(self.current).map_or("none", |dispatch| dispatch.upstream.as_str())
    }

    /// All sends with their failures, as text for the log.
    fn attempts(&self) -> String {
        let dispatches: Vec<String> = self.dispatches.iter().map(Dispatch::to_string).collect();
        dispatches.join("; ")
    }

    /// Revision of the facts and their age in milliseconds, `u32::MAX` if never confirmed.
    fn facts(&self) -> (u64, u32) {
        let catalog = self.catalog.lock();
        let age = catalog
            .confirmed_at()
            .map_or(u32::MAX, |at| saturating_millis(self.host.now().since(at)));
        (catalog.revision().number, age)
    }

    fn since(&self, now: moment::Moment) -> u32 {
        saturating_millis(now.since(self.arrived))
    }

    fn count(&self, result: &'static str) {
        let service = self.service.as_ref().map_or("none", id::Service::as_str).to_owned();
        let took = self.host.now().since(self.arrived);
        metrics::counter!(REQUESTS.name, "service" => service.clone(), "result" => result)
            .increment(1);
        metrics::histogram!(SECONDS.name, "service" => service).record(took);
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if self.is_closed {
            return;
        }
        let cause = self.disconnect.cause();
        let (result, level, message) = match cause {
            disconnect::Cause::Client => ("caller-left", log::Level::Info, "caller left"),
            disconnect::Cause::Unread | disconnect::Cause::DrainLimit => {
                ("cut-off", log::Level::Warn, "this node cut the request off")
            }
        };
        self.count(result);
        log::log!(
            level,
            id = self.id.as_str(), route = self.route(), took_ms = self.since(self.host.now()),
            cause = cause.as_str(), events = self.events.number, upstream = self.upstream(),
            sent = self.attempts().as_str();
            "route: {message}"
        );
    }
}

impl fmt::Display for Dispatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { upstream, sent, predicted, failure } = self;
        write!(f, "{upstream} at {sent} ms, first event predicted in {predicted} ms")?;
        match failure {
            Some((at, failure)) => write!(f, ", failed at {at} ms: {failure}"),
            None => Ok(()),
        }
    }
}
