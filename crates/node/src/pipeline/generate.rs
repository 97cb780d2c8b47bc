//! Generations: dispatch to a replica, and another one while that is allowed.

use std::{collections, sync, time};

use corneltrestle_engine::engine::{self, Engine};
use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::{burn, retry};

use super::{Result, choose, relay, request};
use crate::{link::Link, pipeline};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static FAILED: metric::Metric =
    metric::Metric::counter("attempts_failed_total", "Attempts that failed at an upstream.");

/// Wait between two looks for a replica that can serve.
const CHOOSE_PERIOD: time::Duration = time::Duration::from_millis(50);
/// Wait that callers are told after a refusal for want of capacity.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Wait between two looks at the retry budget.
const BUDGET_PERIOD: time::Duration = time::Duration::from_millis(100);

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    failed: collections::BTreeSet<corneltrestle_policy::id::Replica>,
    count: u32,
    /// The latest failure other than a full queue.
    last: Option<engine::Error>,
    /// Whether an upstream may have begun the request.
    reached: bool,
    /// Whether a replica's queue was full.
    full: bool,
}

impl Attempts {
    /// The attempts after a stream had been started, which an upstream has begun therefore.
    pub(super) fn resumed() -> Self {
        Self { reached: true, ..Self::default() }
    }

    /// The answer after the last attempt failed; `not-run` only if no attempt reached an upstream.
    pub(super) fn refusal(&self, step: &'static str, error: &engine::Error) -> pipeline::Refusal {
        let refusal = upstream_failed(step, error);
        if self.reached {
            pipeline::Refusal { outcome: pipeline::Outcome::Unknown, ..refusal }
        } else {
            refusal
        }
    }
}

impl<E, P, S, L> pipeline::Pipeline<E, P, S, L>
where
    E: Engine,
    P: Send + Sync + 'static,
    S: Send + Sync + 'static,
    L: Link,
{
    /// Starts a streamed generation.
    ///
    /// # Errors
    ///
    /// When no upstream has started it; nothing has been delivered then.
    pub async fn stream(
        self: &sync::Arc<Self>,
        request: request::Generation,
    ) -> Result<pipeline::Relay<E, P, S, L>> {
        self.check_stage()?;
        let admitted =
            self.admit(&request.organisation, request.interactive, request.deadline).await;
        let started = match admitted {
            Ok(permit) => pipeline::Relay::start(sync::Arc::clone(self), permit, request).await,
            Err(refusal) => Err((request, refusal)),
        };
        started.map_err(|(request, refusal)| {
            self.count_failure(&request);
            refusal
        })
    }

    /// Runs a generation that is answered in one body.
    ///
    /// # Errors
    ///
    /// When no upstream has answered it whole before its deadline.
    pub async fn complete(&self, request: &request::Generation) -> Result<bytes::Bytes> {
        self.check_stage()?;
        let result = self.complete_admitted(request).await;
        match &result {
            Ok(_) => {
                let mut counts = burn::Counts::default();
                counts.request(self.now() <= request.deadline);
                self.count(&request.service, &request.organisation, &counts);
            }
            Err(_) => self.count_failure(request),
        }
        result
    }

    async fn complete_admitted(&self, request: &request::Generation) -> Result<bytes::Bytes> {
        let _permit =
            self.admit(&request.organisation, request.interactive, request.deadline).await?;
        let mut attempts = Attempts::default();
        loop {
            let (target, in_progress) = self.target(request, &attempts).await?;
            match self.run_at(request, &target).await {
                Ok(body) => return Ok(body),
                Err(e) => {
                    // The status of an unstreamed answer is sent after the work.
                    attempts.reached |= matches!(e.kind, engine::Kind::Refused(410 | 500..));
                    self.retry(request, &mut attempts, &target, e).await?;
                }
            }
            drop(in_progress);
        }
    }

    /// Runs a generation at a replica, and gives the call up once the replica is no longer whole: a
    /// silent head would otherwise hold it until its deadline.
    async fn run_at(
        &self,
        request: &request::Generation,
        target: &choose::Target,
    ) -> engine::Result<bytes::Bytes> {
        let call = target.generate(request, self.now(), None);
        let body = self.engine.complete(target.head, &call);
        tokio::pin!(body);
        loop {
            if let Ok(result) = tokio::time::timeout(relay::CHECK_PERIOD, &mut body).await {
                return result;
            }
            if !self.is_served(target, self.now()) {
                return Err(engine::Error {
                    kind: engine::Kind::Broken,
                    step: "dispatch",
                    peer: target.head,
                    cause: format!("a member of replica {} is missing", target.replica.id),
                });
            }
        }
    }

    /// Chooses a replica, waiting for one while the deadline allows.
    pub(super) async fn target(
        &self,
        request: &request::Generation,
        attempts: &Attempts,
    ) -> Result<(choose::Target, choose::InProgress<L>)> {
        loop {
            let now = self.now();
            if now >= request.deadline {
                return Err(too_late(attempts));
            }
            if let Some(chosen) = self.choose(request, &attempts.failed, now) {
                return Ok(chosen);
            }
            if let Some(chosen) = self.borrow(request, &attempts.failed).await {
                return Ok(chosen);
            }
            tokio::time::sleep(CHOOSE_PERIOD).await;
        }
    }

    /// Notes a failed attempt and waits until another one may start.
    ///
    /// # Errors
    ///
    /// When the failure, the deadline or the retry budget allows no other attempt.
    pub(super) async fn retry(
        &self,
        request: &request::Generation,
        attempts: &mut Attempts,
        target: &choose::Target,
        error: engine::Error,
    ) -> Result<()> {
        let now = self.now();
        attempts.count += 1;
        attempts.reached |= !matches!(error.kind, engine::Kind::NotSent | engine::Kind::Refused(_));
        let is_full = is_full(&error);
        if !is_full {
            attempts.failed.insert(target.replica.id.clone());
        }
        // A call that ran into its own deadline says nothing of the replica.
        if (is_full || is_doubtful(&error)) && now + BUDGET_PERIOD < request.deadline {
            self.tables.dispatched.lock().doubt(&target.replica.id, now);
        }
        log::info!(request = request.id, attempt = attempts.count; "route: {error}");
        metrics::counter!(FAILED.name).increment(1);
        let may_go_on =
            may_move(&error) && self.await_retry(request, attempts.count, failure(&error)).await;
        if !may_go_on {
            return Err(attempts.refusal("dispatch", &error));
        }
        attempts.full |= is_full;
        if !is_full {
            attempts.last = Some(error);
        }
        Ok(())
    }

    /// Waits until the retry budget allows another attempt; whether that is before the deadline.
    ///
    /// A loss fails many requests at once. Those that the budget does not allow at once wait for
    /// it, so that the rate of attempts stays bounded and no request fails that still has time.
    async fn await_retry(
        &self,
        request: &request::Generation,
        failures: u32,
        failure: retry::Failure,
    ) -> bool {
        loop {
            let now = self.now();
            if now + BUDGET_PERIOD >= request.deadline {
                return false;
            }
            let next = {
                let budget = &mut self.tables.admission.lock().retries;
                let mut rng = rand::rng();
                // Generations have no lasting effect and may always be repeated.
                retry::next(failure, true, failures, request.deadline, budget, now, &mut rng)
            };
            if let Some(at) = next {
                tokio::time::sleep(at.since(now)).await;
                return true;
            }
            tokio::time::sleep(BUDGET_PERIOD).await;
        }
    }

    /// Counts a request that was not answered whole.
    pub(super) fn count_failure(&self, request: &request::Generation) {
        let mut counts = burn::Counts::default();
        counts.request(false);
        self.count(&request.service, &request.organisation, &counts);
    }
}

fn too_late(attempts: &Attempts) -> pipeline::Refusal {
    match &attempts.last {
        Some(e) => {
            let message = format!("no replica could take over in time: {e}");
            pipeline::Refusal::unknown(pipeline::Code::DeadlineExceeded, "dispatch", message)
                .at(e.peer)
        }
        None if attempts.full => {
            let message = "the queues of the replicas were full until the deadline";
            pipeline::Refusal::not_run(pipeline::Code::Overloaded, "dispatch", message)
                .retry_after(RETRY_AFTER)
        }
        None => pipeline::Refusal::not_run(
            pipeline::Code::Unavailable,
            "choose",
            "no replica of this model can serve",
        )
        .retry_after(RETRY_AFTER),
    }
}

/// Whether another replica may do better than the one that failed like this.
pub(super) fn may_move(error: &engine::Error) -> bool {
    match error.kind {
        engine::Kind::Refused(status) => matches!(status, 408 | 409 | 429) || status >= 500,
        _ => true,
    }
}

/// Whether a lost member or a restart of the engine would explain the failure.
fn is_doubtful(error: &engine::Error) -> bool {
    matches!(
        error.kind,
        engine::Kind::NotSent | engine::Kind::Broken | engine::Kind::Refused(409 | 503)
    )
}

/// Whether the engine refused the request because its queue is full.
pub(super) fn is_full(error: &engine::Error) -> bool {
    error.kind == engine::Kind::Refused(429)
}

fn failure(error: &engine::Error) -> retry::Failure {
    match error.kind {
        engine::Kind::Refused(429) => retry::Failure::Full,
        engine::Kind::NotSent => retry::Failure::NotSent,
        engine::Kind::Refused(_) => retry::Failure::Refused,
        engine::Kind::Broken => retry::Failure::Broken,
        _ => retry::Failure::InvalidResponse,
    }
}

/// The answer after the last attempt failed.
fn upstream_failed(step: &'static str, error: &engine::Error) -> pipeline::Refusal {
    let message = error.to_string();
    let refusal = match error.kind {
        engine::Kind::NotSent => {
            pipeline::Refusal::not_run(pipeline::Code::UpstreamFailed, step, message)
        }
        engine::Kind::Refused(429) => {
            pipeline::Refusal::not_run(pipeline::Code::Overloaded, step, message)
                .retry_after(RETRY_AFTER)
        }
        // These two are about the state of the replica, not about the request.
        engine::Kind::Refused(408 | 409) => {
            pipeline::Refusal::not_run(pipeline::Code::UpstreamFailed, step, message)
        }
        engine::Kind::Refused(400..=499) => {
            pipeline::Refusal::not_run(pipeline::Code::BadRequest, step, message)
        }
        engine::Kind::Refused(_) => {
            pipeline::Refusal::not_run(pipeline::Code::UpstreamFailed, step, message)
        }
        _ => pipeline::Refusal::unknown(pipeline::Code::UpstreamFailed, step, message),
    };
    refusal.at(error.peer)
}
