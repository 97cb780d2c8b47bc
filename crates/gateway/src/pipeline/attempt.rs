//! Attempts of one request at upstreams, and the decision whether to retry.

mod failure;

use std::{collections, future, time};

use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::{
    id,
    retry::{self, fleet},
};
use corneltrestle_time::moment;

use super::{
    Code, Pipeline, RETRY_AFTER, Refusal, admit::Admitted, choose::Target, record::Record,
};
use crate::{
    request,
    upstream::{self, Client},
};

pub(super) use failure::Failure;

/// Maximum number of times that one request is sent, including those that upstreams rejected
/// without running it. Beyond it, the capacity is better used for other requests.
const MAX_DISPATCHES: usize = 6;

/// Number of full upstreams after which a request is refused. The loads that a node knows are those of
/// all upstreams at much the same time: after two rejections, the others are likely to be as full.
const MAX_FULL_UPSTREAMS: usize = 2;

/// Time after which a retry that was taken from the budget no longer covers a send: the budget allows
/// for [`fleet::MAX_LAG`] until it arrives. Attempts without a connection take up time in between.
const RETRY_VALIDITY: time::Duration = time::Duration::from_millis(500);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static REFUSED: metric::Metric = metric::Metric::counter(
    "retries_refused_total",
    "Retries for which the share of this node in the retry budget had none left, by service and purpose: lost or full.",
);

/// Time between two checks whether a request can move away from a stalled upstream.
pub(super) const MOVE_CHECK_PERIOD: time::Duration = time::Duration::from_millis(50);

/// The attempts of one request so far.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Upstreams that count as having run it; the route's `attempt_limit` is their highest number.
    ran: collections::BTreeSet<id::Vm>,
    /// Whether it may have run. Only the word of each upstream that it was sent to rules this out.
    pub(super) may_have_run: bool,
    /// Upstreams that failed or rejected it, and that are not chosen again.
    tried: collections::BTreeSet<id::Vm>,
    /// Number of upstreams that rejected it as they are full.
    full: usize,
    /// When its latest retry was taken from the budget.
    retry_taken: Option<moment::Moment>,
    /// Whether an attempt has reached an upstream.
    has_arrived: bool,
    /// Whether an attempt was lost with a reused connection. Further ones go on new connections, as
    /// others that are kept may be as old.
    was_stale: bool,
    /// Whether the latest failure was [`retry::Failure::InvalidResponse`].
    is_bad_answer: bool,
    /// The record of the request for the log and the metrics.
    pub(super) record: Record,
}

impl Attempts {
    /// Starts without any attempt.
    pub(super) fn new(record: Record) -> Self {
        Self {
            ran: collections::BTreeSet::new(),
            may_have_run: false,
            tried: collections::BTreeSet::new(),
            full: 0,
            retry_taken: None,
            has_arrived: false,
            was_stale: false,
            is_bad_answer: false,
            record,
        }
    }

    /// Whether a full upstream has rejected it.
    pub(super) fn was_rejected_as_full(&self) -> bool {
        self.full > 0
    }

    /// Whether the send after a failed attempt needs another retry from the budget: what upstreams get
    /// beyond the first arrival is bounded.
    fn needs_retry(&self, failure: &Failure, now: moment::Moment) -> bool {
        let is_covered = || self.retry_taken.is_some_and(|at| now.since(at) < RETRY_VALIDITY);
        failure.has_arrived() || self.has_arrived && !is_covered()
    }

    /// Whether the route allows a run at a further upstream after runs at `number` ones. It always
    /// allows the first one.
    fn allows_run_after(number: usize, admitted: &Admitted) -> bool {
        u32::try_from(number).is_ok_and(|number| number < admitted.route.attempt_limit.max(1))
    }

    /// Whether the request may be sent to an upstream: it has not failed there, and the route allows a
    /// run there. A further run at an upstream that may have run it already is none at another one.
    pub(super) fn may_try(&self, upstream: &id::Vm, admitted: &Admitted) -> bool {
        let allows_run = || Self::allows_run_after(self.ran.len(), admitted);
        !self.tried.contains(upstream) && (self.ran.contains(upstream) || allows_run())
    }

    /// Whether the request may not run at another upstream after the attempt in progress at `upstream`.
    pub(super) fn is_last(&self, upstream: &id::Vm, admitted: &Admitted) -> bool {
        let number = self.ran.len() + usize::from(!self.ran.contains(upstream));
        !Self::allows_run_after(number, admitted) || !admitted.route.kind.is_repeatable()
    }

    /// Whether another attempt may follow the one at `upstream` whose answer has begun.
    pub(super) fn may_follow(&self, upstream: &id::Vm, admitted: &Admitted) -> bool {
        !self.is_last(upstream, admitted) && self.record.dispatches() < MAX_DISPATCHES
    }

    /// Gives up the attempt in progress, as the upstream `kept` that it was to replace has sent on. It
    /// may have run.
    pub(super) fn withdraw(&mut self, kept: &id::Vm, now: moment::Moment) {
        let Some(upstream) = self.record.in_progress().filter(|latest| *latest != kept).cloned()
        else {
            return;
        };
        self.record.failed(&"the former upstream sent on", now);
        self.has_arrived = true;
        self.may_have_run = true;
        self.ran.insert(upstream.clone());
        self.tried.insert(upstream);
    }

    /// Whether the attempt at the target may go on a connection that was used before. If the connection
    /// has gone silent, the request must be able to move to another upstream.
    pub(super) fn may_reuse(&self, target: &Target, admitted: &Admitted) -> bool {
        !self.was_stale && target.has_alternative && !self.is_last(&target.id, admitted)
    }
}

impl<C: Client> Pipeline<C> {
    /// Records a failed attempt.
    pub(super) fn record_failure(
        &self,
        attempts: &mut Attempts,
        request: &request::Request,
        upstream: &id::Vm,
        failure: &Failure,
        now: moment::Moment,
    ) {
        log::warn!(
            id = request.id.as_str(), upstream = upstream.as_str(),
            offer = attempts.record.dispatches();
            "route: attempt failed: {failure}"
        );
        attempts.record.failed(failure, now);
        if let Some(outcome) = failure.outcome() {
            self.tables.health.lock().record(upstream, outcome, now);
        }
        attempts.may_have_run |= failure.may_have_run();
        if failure.counts_as_run() {
            attempts.ran.insert(upstream.clone());
        }
        attempts.was_stale |= failure.is_stale();
        if !failure.is_stale() {
            attempts.tried.insert(upstream.clone());
        }
        attempts.is_bad_answer = matches!(failure.kind(), retry::Failure::InvalidResponse);
    }

    /// Records a failed attempt and checks whether the request may be sent again. If so, the retry
    /// is taken from the budget, unless the request has not arrived anywhere. A request that has not
    /// run does not go from one full upstream to the next.
    ///
    /// # Errors
    ///
    /// The refusal for the caller, if it may not be sent again.
    pub(super) fn check_retry(
        &self,
        attempts: &mut Attempts,
        request: &request::Request,
        admitted: &Admitted,
        upstream: &id::Vm,
        failure: Failure,
        now: moment::Moment,
    ) -> super::Result<()> {
        self.record_failure(attempts, request, upstream, &failure, now);
        let repeatable = admitted.route.kind.is_repeatable();
        let allowed = retry::is_allowed(failure.kind(), repeatable)
            && (failure.is_stale() || Attempts::allows_run_after(attempts.ran.len(), admitted))
            && attempts.record.dispatches() < MAX_DISPATCHES
            && now < admitted.deadline
            && !self.is_last_answer_due(now);
        if !allowed {
            return Err(refuse(attempts, admitted, Stop::NotRetryable, now));
        }
        let purpose = failure.purpose();
        if purpose == fleet::Purpose::Full {
            attempts.full += 1;
            let is_given_up = attempts.full >= MAX_FULL_UPSTREAMS && !attempts.may_have_run;
            if is_given_up || !self.has_alternative(request, admitted, attempts, upstream, now) {
                return Err(self.refuse_for_capacity(attempts, request, admitted, Stop::Full, now));
            }
        }
        if attempts.needs_retry(&failure, now) {
            if !self.may_retry(&admitted.service, purpose, now) {
                return Err(self.refuse_for_capacity(
                    attempts,
                    request,
                    admitted,
                    Stop::NoBudget,
                    now,
                ));
            }
            attempts.retry_taken = Some(now);
        }
        attempts.has_arrived |= failure.has_arrived();
        Ok(())
    }

    /// Sends a request to the chosen upstream, and records what the upstream says of itself.
    pub(super) async fn send(
        &self,
        target: &Target,
        call: &upstream::Call<'_>,
    ) -> upstream::Result<upstream::Verdict<C::Body>> {
        let reply = self.client.send(target.address, call).await?;
        let (incarnation, now) = (target.incarnation, self.now());
        self.tables.health.lock().record_notice(&target.id, incarnation, reply.notice, now);
        // Another upstream may have the address by now.
        let is_other = matches!(&reply.result, upstream::Verdict::Rejected(rejection)
            if rejection.reason == upstream::Reason::Misdirected);
        if !is_other {
            let (limit, boot) = (reply.notice.limit, self.identity.boot);
            self.tables.quotas.lock().record(&target.id, incarnation, limit, boot, now);
        }
        Ok(reply.result)
    }

    /// Whether a request that was sent to a stalled upstream at `sent`, and not answered, is likely to
    /// have begun to run.
    pub(super) fn has_begun(&self, upstream: &id::Vm, sent: moment::Moment) -> bool {
        self.tables.stalls.lock().has_begun(upstream.as_str(), sent)
    }

    /// Waits until the request can move to another upstream, as its own one was declared stalled or has
    /// been silent for long; returns why. Until then the attempt goes on, as the upstream may only be
    /// slow. `sent` is when the request was sent; `None` if its answer has begun.
    pub(super) async fn can_move(
        &self,
        attempts: &Attempts,
        request: &request::Request,
        admitted: &Admitted,
        target: &Target,
        sent: Option<moment::Moment>,
    ) -> Failure {
        if !admitted.route.kind.is_repeatable() {
            return future::pending().await;
        }
        let is_last = attempts.is_last(&target.id, admitted);
        let silent = async {
            match sent {
                Some(sent) if !is_last => tokio::time::sleep(patience(admitted, sent)).await,
                _ => future::pending().await,
            }
        };
        let mut is_stalled = tokio::select! {
            biased;
            () = target.progress.stalled() => true,
            () = silent => false,
        };
        loop {
            let now = self.now();
            let begun = !is_stalled || sent.is_none_or(|sent| self.has_begun(&target.id, sent));
            let may_run = match begun {
                true => !is_last,
                false => Attempts::allows_run_after(attempts.ran.len(), admitted),
            };
            if may_run
                && !self.is_last_answer_due(now)
                && attempts.record.dispatches() < MAX_DISPATCHES
                && self.has_retry(&admitted.service, fleet::Purpose::Lost, now)
                && self.has_alternative(request, admitted, attempts, &target.id, now)
            {
                return if is_stalled { Failure::Stalled { begun } } else { Failure::TimedOut };
            }
            if is_stalled {
                tokio::time::sleep(MOVE_CHECK_PERIOD).await;
            } else {
                let stalled = target.progress.stalled();
                is_stalled = tokio::time::timeout(MOVE_CHECK_PERIOD, stalled).await.is_ok();
            }
        }
    }

    /// The refusal for a request that no upstream can take. Its caller is told when the first of them
    /// takes requests and has a free slot again.
    pub(super) fn refuse_for_capacity(
        &self,
        attempts: &Attempts,
        request: &request::Request,
        admitted: &Admitted,
        stop: Stop,
        now: moment::Moment,
    ) -> Refusal {
        let lacks_permit = || self.permit_wait(request, admitted, attempts, now).is_some();
        let stop = match stop {
            Stop::NoUpstream if lacks_permit() => Stop::NoPermit,
            stop => stop,
        };
        let refusal = refuse(attempts, admitted, stop, now);
        match (refusal.retry, self.has_room_in(request, admitted, now)) {
            (Some(retry), Some(wait)) => refusal.retry_after(retry.max(wait)),
            _ => refusal,
        }
    }

    /// Whether a retry is left in this node's share of the budget of all nodes.
    fn has_retry(
        &self,
        service: &id::Service,
        purpose: fleet::Purpose,
        now: moment::Moment,
    ) -> bool {
        self.tables.retries.lock().allows(service, &self.limits.retries, purpose, now)
    }

    /// Takes a retry from this node's share of the budget of all nodes; returns whether one was left.
    fn may_retry(
        &self,
        service: &id::Service,
        purpose: fleet::Purpose,
        now: moment::Moment,
    ) -> bool {
        let is_granted =
            self.tables.retries.lock().try_take(service, &self.limits.retries, purpose, now);
        if !is_granted {
            let purpose = match purpose {
                fleet::Purpose::Lost => "lost",
                fleet::Purpose::Full => "full",
            };
            let service = service.as_str().to_owned();
            metrics::counter!(REFUSED.name, "service" => service, "purpose" => purpose)
                .increment(1);
        }
        is_granted
    }
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// No upstream that was not tried yet can take it.
    NoUpstream,
    /// All upstreams that can take it limit their requests, and have no permit left.
    NoPermit,
    /// The failure does not allow a retry, or the limit on attempts or the deadline is reached.
    NotRetryable,
    /// Full upstreams have rejected it, and no other one is known to have room.
    Full,
    /// This node's share of the retry budget of the service is exhausted.
    NoBudget,
}

/// The refusal for a request that is not sent again. The outcome is "not run" only if the request may
/// not have run in any attempt.
pub(super) fn refuse(
    attempts: &Attempts,
    admitted: &Admitted,
    stop: Stop,
    now: moment::Moment,
) -> Refusal {
    let failure = attempts.record.failure();
    let message = match (stop, failure) {
        (Stop::NoUpstream, None) => "no upstream can serve".to_owned(),
        (Stop::NoUpstream, Some(failure)) => format!("{failure}; no other upstream can serve"),
        (Stop::NoPermit, failure) => {
            let message = "the limits of all upstreams that can serve are reached";
            failure.map_or(message.to_owned(), |failure| format!("{failure}; {message}"))
        }
        (Stop::Full, failure) => {
            format!("{}; no other upstream is known to have room", failure.unwrap_or_default())
        }
        (Stop::NotRetryable, failure) => failure.unwrap_or_default().to_owned(),
        (Stop::NoBudget, failure) => {
            format!("{}; the retry budget is exhausted", failure.unwrap_or_default())
        }
    };
    let has_upstream = !matches!(stop, Stop::NoUpstream | Stop::NoPermit);
    let is_bad_answer = has_upstream && attempts.is_bad_answer;
    let is_late = now >= admitted.deadline;
    if !attempts.may_have_run {
        let code = if is_late { Code::DeadlineExceeded } else { Code::Overloaded };
        return Refusal::not_run(code, "send", message).retry_after(RETRY_AFTER);
    }
    let code =
        if is_late && !is_bad_answer { Code::DeadlineExceeded } else { Code::UpstreamFailed };
    Refusal::unknown(code, "send", message)
}

/// Time without an answer after which a request goes to another upstream if it can: four times the
/// route's objective, or a quarter of the time until the deadline, whichever is larger.
fn patience(admitted: &Admitted, sent: moment::Moment) -> time::Duration {
    (admitted.route.objective * 4).max(admitted.deadline.since(sent) / 4)
}
