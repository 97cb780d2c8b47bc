//! The request path of a node: admit a request, wait for room, choose an upstream, send it, relay the
//! answer.
//!
//! Front ends call a [`Pipeline`] with requests that carry no encoding of the platform. The
//! pipeline is generic over the client of upstreams, so that nothing on the request path is
//! dispatched dynamically.

mod admit;
mod attempt;
mod buffer;
mod buffered;
mod choose;
mod gate;
mod permit;
mod quarantine;
mod record;
mod relay;
mod stream;

use std::{
    future,
    pin::{self, pin},
    sync, time,
};

use corneltrestle_kernel::{host, lifecycle, plugin};
use corneltrestle_policy::{deployment, health, id, refusal};
use corneltrestle_time::moment;

use crate::{identity, limits, request, tables, upstream::Client};

pub use corneltrestle_policy::refusal::{Code, Outcome, Refusal};
pub use relay::Relay;

/// The result of a step of the request path.
pub type Result<T> = refusal::Result<T>;

/// `Retry-After` of a refusal for lack of capacity.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Time before the end of a stopping node at which requests without an answer are answered with a failure:
/// the answers have to be written before the connections close.
const END_MARGIN: time::Duration = time::Duration::from_millis(300);

/// The request path of a node, generic over its client of upstreams.
#[derive(Debug)]
pub struct Pipeline<C> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    client: sync::Arc<C>,
    limits: sync::Arc<limits::Limits>,
}

/// An answer whose body is still to be relayed.
#[derive(Debug)]
pub struct Answer<C: Client> {
    /// Status that the upstream answered.
    pub status: hyper::StatusCode,
    /// Headers that the upstream answered, without hop-by-hop ones.
    pub headers: hyper::HeaderMap,
    /// The body, in parts.
    pub relay: Relay<C>,
}

impl<C: Client> Pipeline<C> {
    /// Builds the request path from the tables and ports of a host.
    ///
    /// # Errors
    ///
    /// When no plug-in provides a port that it uses.
    pub fn new(host: &sync::Arc<host::Host>) -> plugin::Result<sync::Arc<Self>> {
        Ok(sync::Arc::new(Self {
            host: sync::Arc::clone(host),
            identity: host.port()?,
            tables: tables::Tables::of(host),
            client: host.port()?,
            limits: host.port()?,
        }))
    }

    /// The current time of the host's clock.
    pub fn now(&self) -> moment::Moment {
        self.host.now()
    }

    /// Size limits on requests, from the configuration in force; the defaults before one is known.
    pub fn limits(&self) -> deployment::Limits {
        let snapshot = self.tables.current.load();
        snapshot.deployment.as_ref().map(|declared| declared.limits).unwrap_or_default()
    }

    /// Time until the deadline of a request.
    ///
    /// # Errors
    ///
    /// When it has passed. A timeout alone would not end an answer whose next part is always there.
    fn time_left(&self, deadline: moment::Moment) -> Result<time::Duration> {
        let now = self.now();
        if now < deadline { Ok(deadline.since(now)) } else { Err(relay::out_of_time()) }
    }

    /// The result of a future, or `None` once a request with this deadline has to be answered: at its
    /// deadline, or shortly before a stopping node ends.
    async fn in_time<F: Future>(
        &self,
        deadline: moment::Moment,
        future: pin::Pin<&mut F>,
    ) -> Option<F::Output> {
        let left = deadline.since(self.now());
        tokio::select! {
            biased;
            output = future => Some(output),
            () = tokio::time::sleep(left) => None,
            () = self.last_answer_due() => None,
        }
    }

    /// When a stopping node answers the requests that have no answer by then.
    fn last_answer(&self) -> Option<moment::Moment> {
        Some(self.host.lifecycle.end()?.before(END_MARGIN))
    }

    /// Completes when a stopping node answers the requests that have no answer.
    async fn last_answer_due(&self) {
        self.host.lifecycle.reached(lifecycle::Stage::Draining).await;
        match self.last_answer() {
            Some(at) => tokio::time::sleep(at.since(self.now())).await,
            None => future::pending().await,
        }
    }

    /// Whether the node ends too soon for a further attempt.
    fn is_last_answer_due(&self, now: moment::Moment) -> bool {
        self.last_answer().is_some_and(|at| now >= at)
    }

    /// Records an answer for the health of an upstream; `is_good` is false if it counts as a
    /// failure.
    fn record_answer(&self, upstream: &id::Vm, is_good: bool) {
        let outcome = if is_good { health::Outcome::Answered } else { health::Outcome::Failed };
        self.tables.health.lock().record(upstream, outcome, self.now());
    }

    /// Forwards a request to an upstream and returns its answer.
    ///
    /// # Errors
    ///
    /// When the request is not admitted, or no upstream answers it in time.
    pub async fn handle(self: &sync::Arc<Self>, request: request::Request) -> Result<Answer<C>> {
        self.wait_for_start(&request).await;
        let mut record = record::Record::new(&self.host, &self.tables.catalog, &request);
        let admitted = self.admit(&request).inspect_err(|refusal| record.refused(refusal))?;
        record.admitted(&admitted);
        let entered = self.enter(&request, &admitted).await;
        entered.inspect_err(|refusal| record.refused(refusal))?;
        if admitted.route.kind.is_stream() {
            stream::start(self, request, admitted, record).await
        } else {
            buffered::answer(self, request, admitted, record).await
        }
    }

    /// Waits for room. The node may have begun to stop meanwhile, and the request is then checked again.
    async fn enter(
        self: &sync::Arc<Self>,
        request: &request::Request,
        admitted: &admit::Admitted,
    ) -> Result<()> {
        let passed = pin!(self.pass_gate(request, admitted));
        match self.in_time(admitted.deadline, passed).await {
            Some(passed) => passed?,
            None => return Err(admit::stopping("the node stops before there is room")),
        }
        self.check_end(&admitted.route, admitted.deadline)
    }
}
