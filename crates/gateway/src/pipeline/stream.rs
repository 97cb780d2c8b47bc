//! Event streams. When an upstream fails, the stream is resumed at another one after the last event
//! that was delivered. One that is only silent is not left before another one has answered.

mod reader;

use std::{future, pin::pin, sync};

use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::delivery;
use corneltrestle_time::moment;
use corneltrestle_wire::sse;

use super::{
    Answer, Code, Pipeline, Refusal, Result,
    admit::Admitted,
    attempt::{Attempts, Failure, MOVE_CHECK_PERIOD, Stop},
    choose::Target,
    record::Record,
    relay::{self, Relay, Rest},
};
use crate::{
    request,
    tables::gates,
    upstream::{self, Call, Client, Urgency, Verdict},
};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static MOVED: metric::Metric = metric::Metric::counter(
    "streams_moved_total",
    "Streams that were resumed at another upstream.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static KEPT: metric::Metric = metric::Metric::counter(
    "streams_kept_total",
    "Streams that stayed at a silent upstream, by cause: no other upstream took them (refused), or it sent on (resumed).",
);

/// Number of events after which an upstream has survived the beginning of an answer.
const SOUND_EVENTS: u64 = 2;

/// A stream in progress.
#[derive(Debug)]
pub(super) struct Stream<C: Client> {
    transfer: Transfer<C>,
    target: Target,
    reader: reader::Reader<C::Body>,
    /// Events of the present upstream.
    events: u64,
    /// Whether the latest move away from the present upstream failed; the next one waits for a while.
    was_kept: bool,
}

/// The request of a stream, with its attempts and what was delivered so far.
#[derive(Debug)]
struct Transfer<C: Client> {
    pipeline: sync::Arc<Pipeline<C>>,
    request: request::Request,
    admitted: Admitted,
    attempts: Attempts,
    delivery: delivery::Delivery,
}

/// An answer whose head has arrived, with the upstream that sends it.
struct Connected<B> {
    target: Target,
    answer: upstream::Answer<B>,
}

/// What a stream does next.
enum Step {
    /// It decodes what has been read.
    Decode,
    /// The answer has ended.
    End,
    /// The answer has failed, and the stream is resumed at another upstream.
    Resume(Failure),
    /// The upstream has been silent for too long, and another one may go on with the stream.
    Leave(Failure),
}

/// Starts a stream at the first upstream that answers.
pub(super) async fn start<C: Client>(
    pipeline: &sync::Arc<Pipeline<C>>,
    request: request::Request,
    admitted: Admitted,
    record: Record,
) -> Result<Answer<C>> {
    let mut attempts = Attempts::new(record);
    let resume_after = request.resume_after;
    let connected = connect(pipeline, &request, &admitted, &mut attempts, resume_after)
        .await
        .inspect_err(|refusal| attempts.record.refused(refusal));
    let Connected { target, answer } = connected?;
    if !answer.status.is_success() {
        attempts.record.finished(answer.status);
        let (pipeline, deadline) = (sync::Arc::clone(pipeline), admitted.deadline);
        let rest = Rest { pipeline, next: bytes::Bytes::new(), body: answer.body, deadline };
        let relay = Relay::buffered(bytes::Bytes::new(), Some(rest), target.progress);
        return Ok(Answer { status: answer.status, headers: answer.headers, relay });
    }
    let delivery = delivery::Delivery::starting_at(&request.id, resume_after.unwrap_or(0) + 1);
    let pipeline = sync::Arc::clone(pipeline);
    let mut transfer = Transfer { pipeline, request, admitted, attempts, delivery };
    transfer.release_request(&target);
    let reader = reader::Reader::new(answer.body);
    let stream = Stream { transfer, target, reader, events: 0, was_kept: false };
    let (status, headers) = (answer.status, answer.headers);
    Ok(Answer { status, headers, relay: Relay::stream(stream) })
}

/// Sends a request to one upstream after the other until the head of a usable answer arrives;
/// `resume_after` is the last event delivered.
async fn connect<C: Client>(
    pipeline: &sync::Arc<Pipeline<C>>,
    request: &request::Request,
    admitted: &Admitted,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
) -> Result<Connected<C::Body>> {
    loop {
        let now = pipeline.now();
        pipeline.check_parts(attempts, request, now)?;
        let chosen =
            pipeline.choose(request, admitted, attempts, resume_after.is_some(), now).await;
        let now = pipeline.now();
        let Some(mut target) = chosen else {
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
            resume_after,
            urgency: Some(urgency(&target, resume_after)),
            priority: admitted.priority,
            may_reuse: attempts.may_reuse(&target, admitted),
        };
        let sent = pipeline.send(&target, &call);
        let result = {
            let sent = pin!(async {
                tokio::select! {
                    biased;
                    reply = sent => Ok(reply),
                    failure = pipeline.can_move(attempts, request, admitted, &target, Some(now)) => {
                        Err(failure)
                    }
                }
            });
            pipeline.in_time(admitted.deadline, sent).await
        };
        let failure = match result {
            Some(Err(failure)) => failure,
            Some(Ok(Ok(Verdict::Answer(answer))))
                if is_usable(&answer, attempts, &target, admitted) =>
            {
                target.progress.started(pipeline.now());
                pipeline.record_answer(&target.id, answer.status.is_success());
                return Ok(Connected { target, answer });
            }
            Some(Ok(Ok(Verdict::Answer(answer)))) => Failure::BadAnswer(answer.status),
            Some(Ok(Ok(Verdict::Rejected(rejection)))) => Failure::Rejected(rejection),
            Some(Ok(Err(error))) => Failure::Call(error),
            None => Failure::without_answer(admitted.deadline, pipeline.now()),
        };
        let now = pipeline.now();
        pipeline.record_loss(request, &target, &failure, now).await;
        pipeline.check_retry(attempts, request, admitted, &target.id, failure, now)?;
    }
}

/// The urgency to declare to the chosen upstream.
fn urgency(target: &Target, resume_after: Option<u64>) -> Urgency {
    match (resume_after, target.is_late) {
        (Some(_), _) => Urgency::Resumed,
        (None, false) => Urgency::Normal,
        (None, true) => Urgency::Late,
    }
}

/// Whether to pass an answer on: a genuine success, or a failure if no retry can follow.
fn is_usable<B>(
    answer: &upstream::Answer<B>,
    attempts: &Attempts,
    target: &Target,
    admitted: &Admitted,
) -> bool {
    match answer.status.is_success() {
        true => answer.is_genuine,
        false => attempts.is_last(&target.id, admitted) && !answer.claims_not_run(),
    }
}

impl<C: Client> Stream<C> {
    /// The next event, or `None` at the end of the complete answer.
    pub(super) async fn next(&mut self) -> Result<Option<bytes::Bytes>> {
        let event = self.next_event().await;
        match &event {
            Ok(Some(_)) => self.transfer.attempts.record.event(self.transfer.pipeline.now()),
            Ok(None) => self.finish(),
            Err(refusal) => self.transfer.attempts.record.refused(refusal),
        }
        event
    }

    /// Reads until there is an event to deliver, resuming at other upstreams as needed.
    async fn next_event(&mut self) -> Result<Option<bytes::Bytes>> {
        loop {
            self.target.progress.waits(self.transfer.pipeline.now());
            match self.reader.next_block() {
                // Bytes alone are no progress: a stalled upstream may send comments.
                Ok(Some(block)) => match self.check(&block) {
                    delivery::Verdict::Deliver => {
                        self.count_event();
                        return Ok(Some(block.raw));
                    }
                    delivery::Verdict::Drop => {
                        self.count_event();
                        continue;
                    }
                    _ => {
                        let failure = Failure::BadAnswer(hyper::StatusCode::OK);
                        self.resume(failure).await?;
                        continue;
                    }
                },
                Ok(None) => {}
                Err(_) => {
                    self.resume(Failure::BadAnswer(hyper::StatusCode::OK)).await?;
                    continue;
                }
            }
            match self.read().await? {
                Step::Decode => {}
                Step::End if self.is_complete() => return Ok(None),
                Step::End => {
                    let failure = Failure::Call(upstream::Error {
                        kind: upstream::Kind::Broken,
                        step: "read",
                        peer: self.target.address,
                        cause: "the stream ended before its last event".to_owned(),
                    });
                    self.resume(failure).await?;
                }
                Step::Resume(failure) => self.resume(failure).await?,
                Step::Leave(failure) => self.leave(failure).await,
            }
        }
    }

    /// Reads the next part of the answer. Ends early if the upstream stalls and another one can take
    /// over; fails at the deadline.
    async fn read(&mut self) -> Result<Step> {
        let left = self
            .transfer
            .pipeline
            .time_left(self.transfer.admitted.deadline)
            .map_err(|e| self.at_target(e))?;
        let can_move = async {
            if self.was_kept {
                tokio::time::sleep(MOVE_CHECK_PERIOD).await;
            }
            self.transfer.can_move(&self.target).await
        };
        let next = async {
            tokio::select! {
                biased;
                read = self.reader.read() => match read {
                    reader::Read::Part => Step::Decode,
                    reader::Read::End => Step::End,
                    reader::Read::Failed(failure) => Step::Resume(failure),
                },
                failure = can_move => Step::Leave(failure),
            }
        };
        let next = tokio::time::timeout(left, next).await;
        next.map_err(|_| self.at_target(relay::out_of_time()))
    }

    /// Records that the upstream has sent an event, new or not.
    fn count_event(&mut self) {
        let now = self.transfer.pipeline.now();
        self.target.progress.progressed(now);
        (self.events, self.was_kept) = (self.events + 1, false);
        if self.events == 1 {
            self.record_first_event(now);
        }
        if self.events == SOUND_EVENTS {
            self.transfer.pipeline.record_sound(&self.transfer.request, now);
        }
    }

    /// Compares the first event with its prediction. Only admission makes use of it.
    fn record_first_event(&self, now: moment::Moment) {
        if self.transfer.pipeline.tables.gates.lock().mode() == gates::Mode::Open {
            return;
        }
        let generation = self.transfer.request.generation.as_ref();
        let Some((generation, predicted)) = generation.zip(self.target.expected) else { return };
        let actual = now.since(self.target.chosen);
        let (service, model) = (&self.transfer.admitted.service, &generation.model);
        let tables = &self.transfer.pipeline.tables;
        tables.demand.lock().record_first_event(service, model, predicted, actual);
        let is_in_time =
            now.since(self.transfer.request.arrived) <= self.transfer.admitted.route.objective;
        tables.gates.lock().record_first_event(&(service.clone(), model.clone()), is_in_time);
    }

    /// Whether the answer may end here. Without an event of this upstream, only an empty answer to a
    /// resumed stream is one: its caller has all events already. Other text is none of the stream,
    /// and an answer that ends with its connection also ends where its upstream crashes.
    fn is_complete(&self) -> bool {
        let Self { transfer, reader, events, .. } = self;
        let has_all =
            transfer.delivery.next_index() > 1 && reader.is_delimited() && !reader.has_bytes();
        reader.is_empty() && (*events > 0 || has_all)
    }

    fn check(&mut self, block: &sse::Block) -> delivery::Verdict {
        let index = std::str::from_utf8(&block.event.id).ok().and_then(|id| id.parse().ok());
        match index {
            Some(index) => self
                .transfer
                .delivery
                .check(&delivery::Event { request: &self.transfer.request.id, index }),
            None => delivery::Verdict::Gap,
        }
    }

    /// Resumes the stream at another upstream.
    async fn resume(&mut self, failure: Failure) -> Result<()> {
        let connected = self.transfer.connect(&self.target, self.events, failure).await?;
        self.go_on_at(connected);
        Ok(())
    }

    /// Leaves a silent upstream for another one. It may only be slow: the stream stays there if it sends
    /// an event or ends its answer before the other one answers, or if no other one takes the stream.
    async fn leave(&mut self, failure: Failure) {
        let current = self.transfer.attempts.record.current();
        let moved = tokio::select! {
            biased;
            () = self.reader.wait() => None,
            moved = self.transfer.connect(&self.target, self.events, failure) => Some(moved),
        };
        let cause = match moved {
            Some(Ok(connected)) => return self.go_on_at(connected),
            Some(Err(refusal)) => {
                log::info!(
                    id = self.transfer.request.id.as_str(), upstream = self.target.id.as_str();
                    "route: the stream stays at its upstream: {refusal}"
                );
                "refused"
            }
            None => {
                self.transfer.attempts.withdraw(&self.target.id, self.transfer.pipeline.now());
                "resumed"
            }
        };
        self.transfer.attempts.record.went_back(current);
        metrics::counter!(KEPT.name, "cause" => cause).increment(1);
        self.was_kept = true;
    }

    fn go_on_at(&mut self, connected: Connected<C::Body>) {
        metrics::counter!(MOVED.name).increment(1);
        let Connected { target, answer } = connected;
        self.transfer.release_request(&target);
        self.reader = reader::Reader::new(answer.body);
        (self.target, self.events, self.was_kept) = (target, 0, false);
    }

    fn finish(&mut self) {
        let events = self.transfer.delivery.next_index() - 1;
        if let Some(generation) = &self.transfer.request.generation {
            let mut demand = self.transfer.pipeline.tables.demand.lock();
            demand.meter(&self.transfer.admitted.service).record_answer(&generation.model, events);
        }
        self.transfer.pipeline.record_sound(&self.transfer.request, self.transfer.pipeline.now());
        self.transfer.attempts.record.finished(hyper::StatusCode::OK);
    }

    fn at_target(&self, refusal: Refusal) -> Refusal {
        refusal.at(self.target.address)
    }
}

impl<C: Client> Transfer<C> {
    /// Waits until the stream can move from a silent upstream to another one; returns why.
    async fn can_move(&self, target: &Target) -> Failure {
        let Self { pipeline, request, admitted, attempts, delivery } = self;
        let failure = pipeline.can_move(attempts, request, admitted, target, None).await;
        if !delivery.may_resume(admitted.deadline, pipeline.now()) {
            future::pending::<()>().await;
        }
        failure
    }

    /// Sends the request to another upstream after the failure of `target`, which sent `events`; it goes
    /// on after the last event delivered.
    async fn connect(
        &mut self,
        target: &Target,
        events: u64,
        failure: Failure,
    ) -> Result<Connected<C::Body>> {
        let Self { pipeline, request, admitted, attempts, delivery } = self;
        let now = pipeline.now();
        if events < SOUND_EVENTS {
            pipeline.record_loss(request, target, &failure, now).await;
        }
        pipeline.check_retry(attempts, request, admitted, &target.id, failure, now)?;
        let Some(next) = delivery.resume(admitted.deadline, now) else {
            return Err(relay::out_of_time().at(target.address));
        };
        let resume_after = next.checked_sub(1).filter(|last| *last > 0);
        let connected = connect(pipeline, request, admitted, attempts, resume_after).await?;
        let status = connected.answer.status;
        if !status.is_success() {
            let (upstream, failure) = (&connected.target.id, Failure::BadAnswer(status));
            pipeline.record_failure(attempts, request, upstream, &failure, pipeline.now());
            let message = format!("the upstream answered the resumed stream with status {status}");
            return Err(Refusal::unknown(Code::UpstreamFailed, "resume", message));
        }
        Ok(connected)
    }

    /// Releases the memory of the request's body if the stream can no longer be resumed.
    fn release_request(&mut self, target: &Target) {
        if !self.attempts.may_follow(&target.id, &self.admitted) {
            self.request.body = bytes::Bytes::new();
        }
    }
}
