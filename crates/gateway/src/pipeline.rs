//! The way of one request through a node: admit, choose, send, relay.
//!
//! Front ends call a [`Pipeline`] with requests that carry no encoding of the platform. The
//! pipeline is generic over the client of upstreams, so that nothing on the request path is
//! dispatched dynamically.

mod admit;
mod attempt;
mod buffered;
mod choose;
mod record;
mod relay;
mod stream;

use std::{sync, time};

use corneltrestle_kernel::{host, plugin};
use corneltrestle_policy::{deployment, health, id, refusal};
use corneltrestle_time::moment;

use crate::{identity, limits, request, tables, upstream::Client};

pub use corneltrestle_policy::refusal::{Code, Outcome, Refusal};
pub use relay::Relay;

/// The result of a step of the request path.
pub type Result<T> = refusal::Result<T>;

/// When a caller that was refused for want of capacity is told to come back.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// The request path of a node over its client of upstreams.
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
    /// Status of the upstream.
    pub status: hyper::StatusCode,
    /// Headers of the upstream.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub relay: Relay<C>,
}

impl<C: Client> Pipeline<C> {
    /// Opens the request path on the tables and ports of a host.
    ///
    /// # Errors
    ///
    /// When a port is missing.
    pub fn open(host: &sync::Arc<host::Host>) -> plugin::Result<sync::Arc<Self>> {
        Ok(sync::Arc::new(Self {
            host: sync::Arc::clone(host),
            identity: host.port()?,
            tables: tables::Tables::of(host),
            client: host.port()?,
            limits: host.port()?,
        }))
    }

    /// The present moment.
    pub fn now(&self) -> moment::Moment {
        self.host.now()
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> deployment::Limits {
        let snapshot = self.tables.current.load();
        snapshot.deployment.as_ref().map(|declared| declared.limits).unwrap_or_default()
    }

    /// Notes that an upstream has answered, well or with a failure.
    fn record_answer(&self, upstream: &id::Vm, is_good: bool) {
        let outcome = if is_good { health::Outcome::Answered } else { health::Outcome::Failed };
        self.tables.health.lock().record(upstream, outcome, self.now());
    }

    /// Passes a request on to an upstream and returns its answer.
    ///
    /// # Errors
    ///
    /// When no upstream answers the request in time.
    pub async fn handle(self: &sync::Arc<Self>, request: request::Request) -> Result<Answer<C>> {
        let mut record = record::Record::open(&self.host, &self.tables.catalog, &request);
        let admitted = self.admit(&request).inspect_err(|refusal| record.refused(refusal))?;
        record.admitted(&admitted);
        if admitted.route.kind.is_stream() {
            stream::start(self, request, admitted, record).await
        } else {
            buffered::answer(self, request, admitted, record).await
        }
    }
}
