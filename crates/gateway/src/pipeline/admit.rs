//! Admission of requests: route, organisation, service and time.

use std::{sync, time};

use corneltrestle_kernel::run;
use corneltrestle_policy::{deployment, id};
use corneltrestle_time::moment;

use super::{Code, Pipeline, Refusal, Result};
use crate::{request, upstream::Client};

/// When a caller that came before the node knew its deployment is told to come back.
const START_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// A request with what is declared for it.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    /// The declared state under which it was admitted.
    pub(super) deployment: sync::Arc<deployment::Deployment>,
    /// Its route.
    pub(super) route: deployment::Route,
    /// The service that is to serve it.
    pub(super) service: id::Service,
    /// The organisation that sent it.
    pub(super) organisation: Option<id::Organisation>,
    /// Regions whose upstreams may serve it, by its organisation; empty for all.
    pub(super) regions: Vec<id::Region>,
    /// When its time is up.
    pub(super) deadline: moment::Moment,
}

impl Admitted {
    /// The engine of its service, if it generates with a model.
    pub(super) fn engine(&self) -> Option<&deployment::Engine> {
        self.deployment.services.get(&self.service)?.engine.as_ref()
    }

    /// Whether an upstream of this region may serve it.
    pub(super) fn allows(&self, region: Option<&id::Region>) -> bool {
        let among = |regions: &[id::Region]| {
            regions.is_empty() || region.is_some_and(|region| regions.contains(region))
        };
        among(&self.route.regions) && among(&self.regions)
    }
}

impl<C: Client> Pipeline<C> {
    /// Finds what is declared for a request.
    pub(super) fn admit(&self, request: &request::Request) -> Result<Admitted> {
        let deployment = self.deployment()?;
        let path = request.target.path();
        let route = deployment.route(&request.host, path).cloned().ok_or_else(|| {
            Refusal::not_run(Code::UnknownService, "admit", "no route has this host and path")
        })?;
        let caller = authenticate(&deployment, &route, request.api_key.as_deref())?;
        let organisation = caller.map(|caller| caller.name.clone());
        let regions = caller.map(|caller| caller.regions.clone()).unwrap_or_default();
        let service = route.draw(&mut rand::rng()).cloned().ok_or_else(|| {
            Refusal::not_run(Code::Unavailable, "admit", "the route leads to no service")
        })?;
        let timeout = request.arrived + route.timeout;
        let deadline = request.deadline.map_or(timeout, |deadline| deadline.min(timeout));
        self.tables.retries.lock().count(&service, &self.limits.retries, request.arrived);
        if let Some(generation) = &request.generation {
            let (model, prompt) = (&generation.model, generation.prompt_tokens);
            let meter = &mut self.tables.demand.lock().meter;
            meter.request(model, prompt, route.objective, request.arrived);
        }
        Ok(Admitted { deployment, route, service, organisation, regions, deadline })
    }

    fn deployment(&self) -> Result<sync::Arc<deployment::Deployment>> {
        let not_ready = |message| {
            Refusal::not_run(Code::Unavailable, "admit", message).retry_after(START_RETRY_AFTER)
        };
        match self.host.run.stage() {
            run::Stage::Ready | run::Stage::Draining => {}
            run::Stage::Starting => return Err(not_ready("the node has no configuration yet")),
            _ => return Err(not_ready("the node is stopping")),
        }
        let snapshot = self.tables.current.load();
        snapshot.deployment.clone().ok_or_else(|| not_ready("the node has no configuration yet"))
    }
}

/// The organisation that holds the key of a request, if the route needs one.
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
