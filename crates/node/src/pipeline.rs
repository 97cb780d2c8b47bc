//! The path of a request through the node: admit, choose an upstream, dispatch, relay.
//!
//! Front ends decode a request and pass it to a [`Pipeline`] in a form independent of their
//! protocol. The pipeline is generic over its clients, so that the request path has no dynamic
//! dispatch.

mod admit;
mod borrow;
mod choose;
mod generate;
mod idempotent;
mod plain;
mod relay;
pub mod request;

use std::{sync, time};

use corneltrestle_kernel::{host, lifecycle, plugin};
use corneltrestle_policy::{burn, id, release};
use corneltrestle_time::moment;

use crate::{identity, link::Link, tables};

pub use corneltrestle_policy::refusal::{self, Code, Outcome, Refusal, Result};
pub use relay::Relay;

/// The request path of a node.
///
/// It is generic over the clients of the inference engines (`E`), of plain services (`P`), of the
/// store (`S`) and of other nodes (`L`).
#[derive(Debug)]
pub struct Pipeline<E, P, S, L> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    engine: sync::Arc<E>,
    service: sync::Arc<P>,
    store: sync::Arc<S>,
    link: sync::Arc<L>,
}

impl<E, P, S, L> Pipeline<E, P, S, L>
where
    E: Send + Sync + 'static,
    P: Send + Sync + 'static,
    S: Send + Sync + 'static,
    L: Link,
{
    /// Creates the request path from the tables and ports of a host.
    ///
    /// # Errors
    ///
    /// When a port has not been provided.
    pub fn new(host: &sync::Arc<host::Host>) -> plugin::Result<sync::Arc<Self>> {
        Ok(sync::Arc::new(Self {
            host: sync::Arc::clone(host),
            identity: host.port()?,
            tables: tables::Tables::new(host)?,
            engine: host.port()?,
            service: host.port()?,
            store: host.port()?,
            link: host.port()?,
        }))
    }

    /// Spawns a future on the worker pool of the node.
    pub fn run<F>(&self, job: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.host.pool.spawn(job);
    }
}

impl<E, P, S, L: Link> Pipeline<E, P, S, L> {
    /// The current time on the node's monotonic clock.
    pub fn now(&self) -> moment::Moment {
        self.host.now()
    }

    /// The release that this node has adopted.
    pub fn release(&self) -> sync::Arc<release::Release> {
        self.tables.current.load()
    }

    /// Adds the service-level counts of a request to those of the node.
    fn count(&self, service: &id::Service, organisation: &id::Organisation, counts: &burn::Counts) {
        let now = self.now();
        self.tables.burn.lock().counts.record(service.as_str(), organisation.as_str(), counts, now);
    }

    fn targets(&self, service: &id::Service) -> release::Targets {
        let release = self.tables.current.load();
        release.services.get(service).map(|service| service.targets).unwrap_or_default()
    }

    /// Refuses requests before the node is ready and while it stops. A draining node still serves,
    /// until its listeners close.
    fn check_stage(&self) -> Result<()> {
        let (code, message) = match self.host.lifecycle.stage() {
            lifecycle::Stage::Ready | lifecycle::Stage::Draining => return Ok(()),
            lifecycle::Stage::Starting => (Code::Unavailable, "the node has no configuration yet"),
            _ => (Code::Draining, "the node is stopping"),
        };
        Err(Refusal::not_run(code, "admit", message).retry_after(time::Duration::from_secs(1)))
    }

    /// Number of nodes that are alive, in all zones and including this one.
    fn live_nodes(&self) -> usize {
        let now = self.now();
        let members = self.tables.members.lock();
        members.known.view(now).alive_count().max(1)
    }

    /// Demand of an organisation at this node, its sum over all nodes, and the number of nodes.
    fn demand(&self, organisation: &id::Organisation) -> (f64, f64, usize) {
        let now = self.now();
        let members = self.tables.members.lock();
        members.demand(&self.identity.node, organisation.as_str(), now)
    }
}
