//! Generations: dispatch to a replica, and retries at other replicas.

use std::{sync, time};

use corneltrestle_engine::engine::{self, Engine};
use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::{burn, retry};

use super::{Result, choose, relay, request};
use crate::{link::Link, pipeline};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static ATTEMPTS_FAILED: metric::Metric =
    metric::Metric::counter("attempts_failed_total", "Attempts that failed at an upstream.");

/// Delay between two searches for a replica that can serve.
const CHOOSE_PERIOD: time::Duration = time::Duration::from_millis(50);
/// Time between two log lines of a request that waits for a replica.
const WAIT_LOG_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Delay that callers are asked to wait after a refusal for lack of capacity.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Delay between two checks of the retry budget.
const BUDGET_PERIOD: time::Duration = time::Duration::from_millis(100);

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    pub(super) tried: retry::Tried,
    count: u32,
    /// The latest error other than a full queue.
    last_error: Option<engine::Error>,
    /// Whether an upstream may have started the request.
    may_have_run: bool,
    /// Whether any replica refused the request because its queue was full.
    queue_full: bool,
}

impl Attempts {
    /// The attempts to resume a stream, which an upstream had already started.
    pub(super) fn resumed(tried: retry::Tried) -> Self {
        Self { tried, may_have_run: true, ..Self::default() }
    }

    /// The refusal after the last attempt failed; `not-run` only if no upstream may have started
    /// the request.
    pub(super) fn refusal(&self, step: &'static str, error: &engine::Error) -> pipeline::Refusal {
        let refusal = upstream_failed(step, error);
        if self.may_have_run {
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
    /// When no upstream has started it; the caller has not received anything yet.
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

    /// Runs a generation whose response is one body, not a stream.
    ///
    /// # Errors
    ///
    /// When no upstream gave a complete response before the deadline.
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
                    // The status of a response that is not streamed is sent after the work, so the
                    // request may have run.
                    attempts.may_have_run |= matches!(e.kind, engine::Kind::Refused(410 | 500..));
                    drop(in_progress);
                    self.retry(request, &mut attempts, &target, e).await?;
                }
            }
        }
    }

    /// Runs a generation at a replica, and fails once the replica can no longer serve. Otherwise a
    /// head that sends nothing would block the request until its deadline.
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
            if !self.is_eligible(target, self.now()) {
                return Err(engine::Error {
                    kind: engine::Kind::Broken,
                    step: "dispatch",
                    peer: target.head,
                    cause: format!("a member of replica {} is missing", target.replica.id),
                });
            }
        }
    }

    /// Chooses a replica, waiting until the deadline for one that can serve.
    pub(super) async fn target(
        &self,
        request: &request::Generation,
        attempts: &Attempts,
    ) -> Result<(choose::Target, choose::InProgress<L>)> {
        let mut logged_at = self.now();
        loop {
            let now = self.now();
            if now >= request.deadline {
                return Err(deadline_exceeded(attempts));
            }
            if now.since(logged_at) >= WAIT_LOG_PERIOD {
                logged_at = now;
                log::info!(id = request.id; "route: waits for a replica: {}", self.obstacles(request, now));
            }
            if let Some(chosen) = self.choose(request, &attempts.tried, now) {
                return Ok(chosen);
            }
            if let Some(chosen) = self.borrow(request, &attempts.tried).await {
                return Ok(chosen);
            }
            tokio::time::sleep(CHOOSE_PERIOD).await;
        }
    }

    /// Records a failed attempt and waits until another one may start.
    ///
    /// # Errors
    ///
    /// When the error, the deadline or the retry budget rules out another attempt.
    pub(super) async fn retry(
        &self,
        request: &request::Generation,
        attempts: &mut Attempts,
        target: &choose::Target,
        error: engine::Error,
    ) -> Result<()> {
        let now = self.now();
        attempts.count += 1;
        attempts.may_have_run |=
            !matches!(error.kind, engine::Kind::NotSent | engine::Kind::Refused(_));
        let is_full = is_full(&error);
        if !is_full {
            let left = request.deadline.since(now);
            attempts.tried.record(&target.replica, failure(&error), left, now);
        }
        // An error near the request's own deadline does not indicate a fault of the replica.
        if (is_full || may_be_replica_loss(&error)) && now + BUDGET_PERIOD < request.deadline {
            self.tables.dispatched.lock().record_failure(&target.replica.id, now);
        }
        log::info!(id = request.id, attempt = attempts.count; "route: {error}");
        metrics::counter!(ATTEMPTS_FAILED.name).increment(1);
        let may_retry = may_try_another(&error)
            && self.await_retry(request, attempts.count, failure(&error)).await;
        if !may_retry {
            return Err(attempts.refusal("dispatch", &error));
        }
        attempts.queue_full |= is_full;
        if !is_full {
            attempts.last_error = Some(error);
        }
        Ok(())
    }

    /// Waits until the retry budget allows another attempt; returns false if the deadline comes
    /// first.
    ///
    /// The loss of a VM fails many requests at once. Those beyond the budget wait for it, so that
    /// the rate of attempts stays bounded and no request fails that still has time.
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

    /// Counts a request that got no complete response.
    pub(super) fn count_failure(&self, request: &request::Generation) {
        let mut counts = burn::Counts::default();
        counts.request(false);
        self.count(&request.service, &request.organisation, &counts);
    }
}

fn deadline_exceeded(attempts: &Attempts) -> pipeline::Refusal {
    match &attempts.last_error {
        Some(e) => {
            let message = format!("no replica could take over before the deadline: {e}");
            pipeline::Refusal::unknown(pipeline::Code::DeadlineExceeded, "dispatch", message)
                .at(e.peer)
        }
        None if attempts.queue_full => {
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

/// Whether another replica may succeed after this error.
pub(super) fn may_try_another(error: &engine::Error) -> bool {
    match error.kind {
        engine::Kind::Refused(status) => matches!(status, 408 | 409 | 429) || status >= 500,
        _ => true,
    }
}

/// Whether the loss of a member VM or a restart of the engine may have caused the error.
fn may_be_replica_loss(error: &engine::Error) -> bool {
    matches!(
        error.kind,
        engine::Kind::NotSent | engine::Kind::Broken | engine::Kind::Refused(409 | 503)
    )
}

/// Whether the engine refused the request because its queue is full.
pub(super) fn is_full(error: &engine::Error) -> bool {
    error.kind == engine::Kind::Refused(429)
}

/// How an attempt failed, for the rules of retries.
pub(super) fn failure(error: &engine::Error) -> retry::Failure {
    match error.kind {
        engine::Kind::Refused(429) => retry::Failure::Full,
        engine::Kind::NotSent => retry::Failure::NotSent,
        engine::Kind::Refused(_) => retry::Failure::Refused,
        engine::Kind::Broken => retry::Failure::Broken,
        _ => retry::Failure::InvalidResponse,
    }
}

/// The refusal for an error of the last attempt, by this error alone.
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
        // These two describe the state of the replica, not a fault of the request.
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
