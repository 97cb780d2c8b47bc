//! Admission: finds the route, organisation and service of a request and sets its deadline.

use std::{sync, time};

use corneltrestle_kernel::lifecycle;
use corneltrestle_policy::{deployment, id, kv};
use corneltrestle_time::moment;

use super::{Code, Pipeline, Refusal, Result};
use crate::{request, upstream::Client};

/// `Retry-After` of a refusal by a node that has no configuration yet.
const START_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// `Retry-After` of a refusal by a node that is stopping; other nodes can serve the request now.
const STOP_RETRY_AFTER: time::Duration = time::Duration::from_millis(20);

/// Fraction of the time until its deadline for which a request waits for the configuration at most. Its
/// caller can still go to another node after that.
const START_WAIT_FRACTION: u32 = 3;

/// What the configuration says about one request.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    /// The configuration under which the request was admitted; a later one does not affect it.
    pub(super) deployment: sync::Arc<deployment::Deployment>,
    /// The route that matches its host and path.
    pub(super) route: deployment::Route,
    /// The service that serves it, drawn from the route's split.
    pub(super) service: id::Service,
    /// The organisation that sent it; `None` if its key is missing or unknown.
    pub(super) organisation: Option<id::Organisation>,
    /// Regions to which the organisation restricts its requests; empty for all.
    pub(super) regions: Vec<id::Region>,
    /// Priority of its organisation, or else of its route; 0 is the highest.
    pub(super) priority: u8,
    /// The route's timeout after arrival, or the caller's own deadline if that is earlier.
    pub(super) deadline: moment::Moment,
}

impl Admitted {
    /// The engine of its service; `None` if the service does not generate with models.
    pub(super) fn engine(&self) -> Option<&deployment::Engine> {
        self.deployment.services.get(&self.service)?.engine.as_ref()
    }

    /// Whether an upstream in this region may serve it; without a known region, only if neither the
    /// route nor the organisation restricts regions.
    pub(super) fn allows(&self, region: Option<&id::Region>) -> bool {
        let among = |regions: &[id::Region]| {
            regions.is_empty() || region.is_some_and(|region| regions.contains(region))
        };
        among(&self.route.regions) && among(&self.regions)
    }
}

impl<C: Client> Pipeline<C> {
    /// Lets a request that arrives just after the start of the node wait for the configuration. When
    /// all nodes start at the same time, no other node could serve it sooner.
    pub(super) async fn wait_for_start(&self, request: &request::Request) {
        let lifecycle = &self.host.lifecycle;
        if lifecycle.stage() != lifecycle::Stage::Starting {
            return;
        }
        let now = self.now();
        let left = (moment::Moment::ZERO + self.limits.start_wait).since(now);
        let limit = request
            .deadline
            .map_or(left, |deadline| left.min(deadline.since(now) / START_WAIT_FRACTION));
        // Admission refuses the request if the node has no configuration by then.
        let _ = tokio::time::timeout(limit, lifecycle.reached(lifecycle::Stage::Ready)).await;
    }

    /// Matches a request with the configuration, and counts it in the retry budget and the demand.
    pub(super) fn admit(&self, request: &request::Request) -> Result<Admitted> {
        let deployment = self.deployment()?;
        let path = request.target.path();
        let route = deployment.route(&request.host, path).cloned().ok_or_else(|| {
            Refusal::not_run(Code::UnknownService, "admit", "no route has this host and path")
        })?;
        let caller = authenticate(&deployment, &route, request.api_key.as_deref())?;
        let organisation = caller.map(|caller| caller.name.clone());
        let priority = caller.and_then(|caller| caller.priority).unwrap_or(route.priority);
        let regions = caller.map(|caller| caller.regions.clone()).unwrap_or_default();
        let service = route.pick_service(&mut rand::rng()).cloned().ok_or_else(|| {
            Refusal::not_run(Code::Unavailable, "admit", "the route leads to no service")
        })?;
        let timeout = request.arrived + route.timeout;
        let deadline = request.deadline.map_or(timeout, |deadline| deadline.min(timeout));
        self.check_end(&route, deadline)?;
        check_prompt(&deployment, &service, request)?;
        self.tables.retries.lock().count(&service, &self.limits.retries, request.arrived);
        if let Some(generation) = &request.generation {
            let (model, prompt) = (&generation.model, generation.prompt_tokens);
            let mut demand = self.tables.demand.lock();
            let meter = demand.meter(&service);
            meter.record_request(model, prompt, route.objective, request.arrived);
        }
        Ok(Admitted { deployment, route, service, organisation, regions, priority, deadline })
    }

    /// Refuses a request that may outlast this node, which is stopping, unless it can be answered with a
    /// failure and repeated then: what has become of an order would not be known, and a stream that has
    /// begun can only be cut off. Another node can wait for the answer.
    pub(super) fn check_end(
        &self,
        route: &deployment::Route,
        deadline: moment::Moment,
    ) -> Result<()> {
        let outlasts = self.last_answer().is_some_and(|last| deadline > last);
        if !outlasts || route.kind.is_repeatable() && !route.kind.is_stream() {
            return Ok(());
        }
        Err(stopping("the node may stop before the request ends"))
    }

    fn deployment(&self) -> Result<sync::Arc<deployment::Deployment>> {
        let not_ready = || {
            let message = "the node has no configuration yet";
            Refusal::not_run(Code::Unavailable, "admit", message).retry_after(START_RETRY_AFTER)
        };
        match self.host.lifecycle.stage() {
            lifecycle::Stage::Ready | lifecycle::Stage::Draining => {}
            lifecycle::Stage::Starting => return Err(not_ready()),
            _ => return Err(stopping("the node is stopping")),
        }
        let snapshot = self.tables.current.load();
        snapshot.deployment.clone().ok_or_else(not_ready)
    }
}

/// The refusal of a request by a node that is stopping.
pub(super) fn stopping(message: &'static str) -> Refusal {
    Refusal::not_run(Code::Unavailable, "admit", message).retry_after(STOP_RETRY_AFTER)
}

/// Refuses a request whose prompt alone is larger than what any upstream of its service holds.
fn check_prompt(
    deployment: &deployment::Deployment,
    service: &id::Service,
    request: &request::Request,
) -> Result<()> {
    let engine = deployment.services.get(service).and_then(|service| service.engine.as_ref());
    let (Some(engine), Some(generation)) = (engine, &request.generation) else { return Ok(()) };
    if !kv::never_fits(engine, generation.prompt_tokens) {
        return Ok(());
    }
    let message = format!(
        "the prompt has {} tokens, and an upstream holds {}",
        generation.prompt_tokens, engine.kv_capacity
    );
    Err(Refusal::not_run(Code::TooLarge, "admit", message))
}

/// Finds the organisation of an API key. A request without a known key is refused unless the route
/// is public or no organisation is configured.
fn authenticate<'a>(
    deployment: &'a deployment::Deployment,
    route: &deployment::Route,
    key: Option<&str>,
) -> Result<Option<&'a deployment::Organisation>> {
    let found = key.and_then(|key| deployment.organisations.holder(key));
    if found.is_none() && !route.public && !deployment.organisations.is_empty() {
        let message = if key.is_some() { "the key is unknown" } else { "a key is required" };
        return Err(Refusal::not_run(Code::Unauthorized, "admit", message));
    }
    Ok(found)
}
