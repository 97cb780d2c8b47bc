//! Requests whose answer is buffered before any of it is relayed, so that a failure in the middle
//! can still be retried.

use std::{pin::pin, sync};

use corneltrestle_time::moment;

use super::{
    Answer, Code, Pipeline, Refusal, Result,
    admit::Admitted,
    attempt::{Attempts, Failure, Stop},
    buffer,
    choose::Target,
    record::Record,
    relay::{Relay, Rest},
};
use crate::{
    request,
    upstream::{self, Body, Call, Client, Verdict},
};

/// Sends a request, and retries at other upstreams where allowed.
pub(super) async fn answer<C: Client>(
    pipeline: &sync::Arc<Pipeline<C>>,
    request: request::Request,
    admitted: Admitted,
    record: Record,
) -> Result<Answer<C>> {
    let mut attempts = Attempts::new(record);
    let answer = try_upstreams(pipeline, &request, &admitted, &mut attempts).await;
    match &answer {
        Ok(answer) => attempts.record.finished(answer.status),
        Err(refusal) => attempts.record.refused(refusal),
    }
    answer
}

/// Tries one upstream after the other until one answers or no retry is allowed.
async fn try_upstreams<C: Client>(
    pipeline: &sync::Arc<Pipeline<C>>,
    request: &request::Request,
    admitted: &Admitted,
    attempts: &mut Attempts,
) -> Result<Answer<C>> {
    loop {
        let now = pipeline.now();
        pipeline.check_parts(attempts, request, now)?;
        let chosen = pipeline.choose(request, admitted, attempts, false, now).await;
        let now = pipeline.now();
        let Some(target) = chosen else {
            return Err(pipeline.refuse_for_capacity(
                attempts,
                request,
                admitted,
                Stop::NoUpstream,
                now,
            ));
        };
        attempts.record.dispatched(&target, now);
        let remaining = admitted.deadline.since(now);
        let call = Call {
            request,
            upstream: &target.id,
            organisation: admitted.organisation.as_ref(),
            remaining,
            resume_after: None,
            urgency: None,
            priority: admitted.priority,
            may_reuse: attempts.may_reuse(&target, admitted),
        };
        let result = {
            let sent = pin!(async {
                tokio::select! {
                    biased;
                    answer = exchange(pipeline, &target, &call) => answer,
                    failure = pipeline.can_move(attempts, request, admitted, &target, Some(now)) => {
                        Err(failure)
                    }
                }
            });
            pipeline.in_time(admitted.deadline, sent).await
        };
        let failure = match result {
            Some(Ok(answer)) if may_retry(&answer, attempts, &target, admitted, pipeline.now()) => {
                Failure::BadAnswer(answer.status)
            }
            Some(Ok(answer)) if is_usable(&answer) => {
                if answer.status.is_success() {
                    pipeline.record_sound(request, pipeline.now());
                }
                pipeline.record_answer(&target.id, !answer.status.is_server_error());
                return Ok(into_answer(pipeline, answer, target, admitted.deadline));
            }
            Some(Ok(answer)) => Failure::BadAnswer(answer.status),
            Some(Err(failure)) => failure,
            None => Failure::without_answer(admitted.deadline, pipeline.now()),
        };
        let now = pipeline.now();
        pipeline.record_loss(request, &target, &failure, now).await;
        pipeline.check_retry(attempts, request, admitted, &target.id, failure, now)?;
    }
}

/// Whether to retry instead of passing this answer on: a server error for a repeatable request,
/// with attempts left and more than half of the route's objective until the deadline.
fn may_retry<B>(
    answer: &upstream::Answer<B>,
    attempts: &Attempts,
    target: &Target,
    admitted: &Admitted,
    now: moment::Moment,
) -> bool {
    answer.status.is_server_error()
        && !attempts.is_last(&target.id, admitted)
        && admitted.deadline.since(now) > admitted.route.objective / 2
}

/// Whether to pass an answer on: a genuine success, or a failure that leaves open whether the request
/// has run.
fn is_usable<B>(answer: &upstream::Answer<B>) -> bool {
    if answer.status.is_success() { answer.is_genuine } else { !answer.claims_not_run() }
}

/// Sends the request to one upstream and buffers its answer.
async fn exchange<C: Client>(
    pipeline: &Pipeline<C>,
    target: &Target,
    call: &Call<'_>,
) -> std::result::Result<upstream::Answer<Collected<C::Body>>, Failure> {
    let answer = match pipeline.send(target, call).await.map_err(Failure::Call)? {
        Verdict::Rejected(rejection) => return Err(Failure::Rejected(rejection)),
        Verdict::Answer(answer) => answer,
    };
    let upstream::Answer { status, headers, is_genuine, mut body } = answer;
    let mut buffer = buffer::Buffer::new(&pipeline.host);
    let mut rest = None;
    while let Some(part) = body.chunk().await.map_err(Failure::Call)? {
        if let Err(next) = buffer.push(part) {
            rest = Some((next, body));
            break;
        }
    }
    let body = Collected { begin: buffer.into_bytes(), rest };
    Ok(upstream::Answer { status, headers, is_genuine, body })
}

/// A body that was buffered as far as the limits allow.
struct Collected<B> {
    begin: bytes::Bytes,
    /// The part that did not fit, and the unread remainder.
    rest: Option<(bytes::Bytes, B)>,
}

fn into_answer<C: Client>(
    pipeline: &sync::Arc<Pipeline<C>>,
    answer: upstream::Answer<Collected<C::Body>>,
    target: Target,
    deadline: moment::Moment,
) -> Answer<C> {
    let upstream::Answer { status, headers, body, .. } = answer;
    let rest = body.rest.map(|(next, body)| Rest {
        pipeline: sync::Arc::clone(pipeline),
        next,
        body,
        deadline,
    });
    let relay = Relay::buffered(body.begin, rest, target.progress);
    Answer { status, headers, relay }
}

/// The refusal for an answer that ended before it was complete.
pub(super) fn cut_off(error: &upstream::Error) -> Refusal {
    Refusal::unknown(Code::UpstreamFailed, "relay", error.to_string())
}
