//! Calls to plain services: with retries and hedging if a call may be repeated, else sent once.

use std::{net, sync, time};

use corneltrestle_engine::service::{self, Service};
use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::{burn, id, release, retry, vm};
use rand::seq::SliceRandom;

use super::{Result, request};
use crate::{link::Link, pipeline};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static HEDGES: metric::Metric = metric::Metric::counter(
    "hedges_total",
    "Calls that were sent to a second upstream before the first had answered.",
);

/// Time without a response after which a repeatable call is also sent to a second upstream.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(250);

impl<E, P, S, L> pipeline::Pipeline<E, P, S, L>
where
    E: Send + Sync + 'static,
    P: Service,
    S: Store,
    L: Link,
{
    /// Runs a call to a plain service.
    ///
    /// A call that is not repeatable is executed at most once; with an idempotency key, at most
    /// once over all calls with the same key.
    ///
    /// # Errors
    ///
    /// When there is no complete response of the service. The refusal says whether the call may
    /// have run.
    pub async fn call(self: &sync::Arc<Self>, call: request::Call) -> Result<service::Response> {
        self.check_stage()?;
        let release = self.tables.current.load();
        let plain = plain(&release, &call.service)?;
        let repeatable = plain.is_repeatable(call.method.as_str(), call.path());
        let permit = self.admit(&call.organisation, true, call.deadline).await?;
        let mut counts = burn::Counts::default();
        let (service, organisation) = (call.service.clone(), call.organisation.clone());
        let deadline = call.deadline;
        let result = if repeatable {
            self.send_repeatable(&call).await
        } else if let Some(key) = call.key.clone() {
            self.idempotent(call, key, permit).await
        } else if plain.require_key {
            Err(pipeline::Refusal::not_run(
                pipeline::Code::KeyRequired,
                "route",
                "this call may not be repeated; send it with an Idempotency-Key",
            ))
        } else {
            self.send_once(&call).await
        };
        counts.request(result.is_ok() && self.now() <= deadline);
        if !repeatable {
            let known = |refusal: &pipeline::Refusal| refusal.outcome == super::Outcome::NotRun;
            counts.order(result.as_ref().map_or_else(known, |_| true));
        }
        self.count(&service, &organisation, &counts);
        result
    }

    /// Sends a repeatable call, and retries it as long as the retry rules allow.
    async fn send_repeatable(&self, call: &request::Call) -> Result<service::Response> {
        let mut failures = 0;
        let mut may_have_run = false;
        loop {
            let peers = self.upstreams(&call.service)?;
            let error = match self.hedged(call, &peers).await {
                Ok(answer) if !answer.status.is_server_error() => return Ok(answer),
                // If no retry is allowed, the caller gets the service's own error response.
                Ok(answer) => {
                    match self.next_attempt(call, &mut failures, retry::Failure::InvalidResponse) {
                        None => return Ok(answer),
                        Some(wait) => {
                            may_have_run = true;
                            tokio::time::sleep(wait).await;
                            continue;
                        }
                    }
                }
                Err(e) => e,
            };
            log::info!(id = call.id; "route: {error}");
            may_have_run |= error.kind != service::Kind::NotSent;
            match self.next_attempt(call, &mut failures, failure(&error)) {
                Some(wait) => tokio::time::sleep(wait).await,
                None if may_have_run => {
                    return Err(pipeline::Refusal {
                        outcome: super::Outcome::Unknown,
                        ..failed(&error)
                    });
                }
                None => return Err(failed(&error)),
            }
        }
    }

    fn next_attempt(
        &self,
        call: &request::Call,
        failures: &mut u32,
        failure: retry::Failure,
    ) -> Option<time::Duration> {
        *failures += 1;
        let now = self.now();
        let budget = &mut self.tables.admission.lock().retries;
        let mut rng = rand::rng();
        retry::next(failure, true, *failures, call.deadline, budget, now, &mut rng)
            .map(|at| at.since(now))
    }

    /// Sends a repeatable call, and sends it to a second upstream if the first is slow (hedging).
    async fn hedged(
        &self,
        call: &request::Call,
        peers: &[net::SocketAddr],
    ) -> service::Result<service::Response> {
        let first = self.send(call, peers[0]);
        tokio::pin!(first);
        if let Ok(result) = tokio::time::timeout(HEDGE_DELAY, &mut first).await {
            return result;
        }
        let now = self.now();
        let granted = peers.len() > 1 && self.tables.admission.lock().hedges.hedge(true, now);
        if !granted {
            return first.await;
        }
        metrics::counter!(HEDGES.name).increment(1);
        let second = self.send(call, peers[1]);
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => match result {
                Ok(answer) => Ok(answer),
                Err(e) => second.await.map_err(|other| prefer_sent(e, other)),
            },
            result = &mut second => match result {
                Ok(answer) => Ok(answer),
                Err(e) => first.await.map_err(|other| prefer_sent(e, other)),
            },
        }
    }

    /// Sends a call that is not repeatable. Another upstream is tried only if nothing was sent.
    async fn send_once(&self, call: &request::Call) -> Result<service::Response> {
        let mut last = None;
        for peer in self.upstreams(&call.service)? {
            match self.send(call, peer).await {
                Err(e) if e.kind == service::Kind::NotSent => last = Some(e),
                result => return result.map_err(|e| failed(&e)),
            }
        }
        Err(last.map_or_else(no_upstream, |e| failed(&e)))
    }

    /// Sends a call to one upstream, without a retry.
    pub(super) async fn send(
        &self,
        call: &request::Call,
        peer: net::SocketAddr,
    ) -> service::Result<service::Response> {
        let outgoing = service::Call {
            id: &call.id,
            method: &call.method,
            target: &call.target,
            headers: &call.headers,
            body: &call.body,
            remaining: call.deadline.since(self.now()),
        };
        self.service.call(peer, &outgoing).await
    }

    /// Upstreams of a service that take new work: those of the own zone first, each part shuffled.
    pub(super) fn upstreams(&self, service: &id::Service) -> Result<Vec<net::SocketAddr>> {
        let release = self.tables.current.load();
        let plain = plain(&release, service)?;
        let listed = sync::Arc::clone(&self.tables.vm_list.lock().vms);
        let is_leaving = |peer: &net::SocketAddr| {
            listed.iter().any(|vm| vm.address == *peer && vm.state == vm::State::Leaving)
        };
        let mut found: Vec<_> = plain
            .upstreams
            .iter()
            .filter(|(zone, peer)| release.accepts_work(zone.as_str()) && !is_leaving(peer))
            .collect();
        found.shuffle(&mut rand::rng());
        found.sort_by_key(|(zone, _)| *zone != self.identity.zone);
        if found.is_empty() {
            return Err(no_upstream());
        }
        Ok(found.into_iter().map(|(_, peer)| *peer).collect())
    }
}

fn plain<'a>(release: &'a release::Release, service: &id::Service) -> Result<&'a release::Plain> {
    match release.services.get(service).map(|service| &service.kind) {
        Some(release::Kind::Plain(plain)) => Ok(plain),
        _ => Err(pipeline::Refusal::not_run(
            pipeline::Code::UnknownService,
            "route",
            "the service is no longer configured",
        )),
    }
}

/// The error to report if both sends of a hedged call failed: one where the call was sent, if any.
fn prefer_sent(one: service::Error, other: service::Error) -> service::Error {
    if other.kind == service::Kind::NotSent { one } else { other }
}

pub(super) fn no_upstream() -> pipeline::Refusal {
    pipeline::Refusal::not_run(
        pipeline::Code::Unavailable,
        "choose",
        "no upstream of the service takes new work",
    )
    .retry_after(time::Duration::from_secs(1))
}

fn failure(error: &service::Error) -> retry::Failure {
    match error.kind {
        service::Kind::NotSent => retry::Failure::NotSent,
        service::Kind::Refused(_) => retry::Failure::Refused,
        service::Kind::Broken => retry::Failure::Broken,
        _ => retry::Failure::InvalidResponse,
    }
}

/// The refusal for a call whose last attempt failed.
pub(super) fn failed(error: &service::Error) -> pipeline::Refusal {
    let message = error.to_string();
    let refusal = match error.kind {
        service::Kind::NotSent => {
            pipeline::Refusal::not_run(pipeline::Code::UpstreamFailed, "dispatch", message)
        }
        _ => pipeline::Refusal::unknown(pipeline::Code::UpstreamFailed, "dispatch", message),
    };
    refusal.at(error.peer)
}
