//! Relay of a streamed answer, moved to another replica when its own is lost.

use std::{sync, time};

use corneltrestle_engine::engine::{self, Engine, Stream};
use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::{burn, delivery, id, release};
use corneltrestle_time::moment;
use corneltrestle_wire::openai;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval_at};

use super::{
    Result,
    admit::Permit,
    choose,
    generate::{self, is_full, may_move},
    request,
};
use crate::{link::Link, pipeline};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static MOVED: metric::Metric = metric::Metric::counter(
    "streams_moved_total",
    "Streams that were resumed at another upstream.",
);

/// Time between two checks that the replica of an answer in progress is whole.
pub(super) const CHECK_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Data of the events delivered so far, from which a resume takes its text.
///
/// It is copied into one buffer: parts of the read buffers would keep all of these alive, with the
/// framing of each event.
#[derive(Debug, Default)]
struct Delivered {
    data: Vec<u8>,
    /// End of each event in `data`.
    ends: Vec<usize>,
}

impl Delivered {
    fn push(&mut self, event: &[u8]) {
        self.data.extend_from_slice(event);
        self.ends.push(self.data.len());
    }

    fn events(&self) -> impl Iterator<Item = &[u8]> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts.zip(&self.ends).map(|(start, end)| &self.data[start..*end])
    }
}

/// A timer that does not catch up on checks that were late.
fn check_timer() -> Interval {
    let mut timer = interval_at(Instant::now() + CHECK_PERIOD, CHECK_PERIOD);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

/// A streamed answer in progress; dropping it cancels the work upstream.
#[derive(Debug)]
pub struct Relay<E, P, S, L>
where
    E: Engine,
    P: Send + Sync + 'static,
    S: Send + Sync + 'static,
    L: Link,
{
    pipeline: sync::Arc<pipeline::Pipeline<E, P, S, L>>,
    request: request::Generation,
    target: choose::Target,
    in_progress: choose::InProgress<L>,
    upstream: E::Stream,
    delivery: delivery::Delivery,
    delivered: Delivered,
    /// When the replica was last checked, and the timer of the next check.
    checked: moment::Moment,
    due: Interval,
    latest: moment::Moment,
    targets: release::Targets,
    counts: burn::Counts,
    /// Whether the answer was whole, once it has ended.
    ended: Option<bool>,
    _permit: Permit,
}

impl<E, P, S, L> Relay<E, P, S, L>
where
    E: Engine,
    P: Send + Sync + 'static,
    S: Send + Sync + 'static,
    L: Link,
{
    pub(super) async fn start(
        pipeline: sync::Arc<pipeline::Pipeline<E, P, S, L>>,
        permit: Permit,
        request: request::Generation,
    ) -> std::result::Result<Self, (request::Generation, pipeline::Refusal)> {
        let mut attempts = generate::Attempts::default();
        loop {
            let (target, in_progress) = match pipeline.target(&request, &attempts).await {
                Ok(chosen) => chosen,
                Err(refusal) => return Err((request, refusal)),
            };
            let now = pipeline.now();
            let call = target.generate(&request, now, None);
            match pipeline.engine.stream(target.head, &call).await {
                Ok(upstream) => {
                    let targets = pipeline.targets(&request.service);
                    return Ok(Self {
                        pipeline,
                        delivery: delivery::Delivery::new(&request.id),
                        request,
                        target,
                        in_progress,
                        upstream,
                        delivered: Delivered::default(),
                        checked: now,
                        due: check_timer(),
                        latest: now,
                        targets,
                        counts: burn::Counts::default(),
                        ended: None,
                        _permit: permit,
                    });
                }
                Err(e) => {
                    let retried = pipeline.retry(&request, &mut attempts, &target, e).await;
                    if let Err(refusal) = retried {
                        return Err((request, refusal));
                    }
                }
            }
        }
    }

    /// The next event's data, or `None` after the complete answer.
    ///
    /// # Errors
    ///
    /// When the answer cannot be completed; what was delivered is then a part of it.
    pub async fn next(&mut self) -> Result<Option<bytes::Bytes>> {
        loop {
            // The period bounds the time until the loss of a member VM is noticed while the head
            // is silent. One timer serves all events, since setting one for each is expensive.
            let event = tokio::select! {
                biased;
                event = self.upstream.next() => event,
                _ = self.due.tick() => {
                    self.check().await?;
                    continue;
                }
            };
            match event {
                Ok(Some(token)) => {
                    let now = self.pipeline.now();
                    if now.since(self.checked) >= CHECK_PERIOD {
                        self.check().await?;
                    }
                    let event = delivery::Event { request: &self.request.id, index: token.index };
                    if self.delivery.check(&event) == delivery::Verdict::Deliver {
                        self.observe(now);
                        self.delivered.push(&token.data);
                        return Ok(Some(token.data));
                    }
                }
                Ok(None) => {
                    self.delivery.end();
                    self.end(self.pipeline.now() <= self.request.deadline);
                    return Ok(None);
                }
                Err(e) => self.resume(e).await?,
            }
        }
    }

    /// The zone of the replica that serves the answer.
    pub fn zone(&self) -> &id::Zone {
        &self.target.zone
    }

    /// Moves the stream if its replica is no longer whole, or ends it after the deadline.
    async fn check(&mut self) -> Result<()> {
        let now = self.pipeline.now();
        self.checked = now;
        self.due.reset();
        if now >= self.request.deadline {
            self.end(false);
            let message = "the deadline passed before the answer was complete";
            return Err(pipeline::Refusal::unknown(
                pipeline::Code::DeadlineExceeded,
                "relay",
                message,
            )
            .at(self.target.head));
        }
        if self.pipeline.is_served(&self.target, now) {
            return Ok(());
        }
        let cause = format!("a member of replica {} is missing", self.target.replica.id);
        let error = engine::Error {
            kind: engine::Kind::Broken,
            step: "relay",
            peer: self.target.head,
            cause,
        };
        self.resume(error).await
    }

    async fn resume(&mut self, error: engine::Error) -> Result<()> {
        let resumed = self.try_resume(error).await;
        if resumed.is_err() {
            self.end(false);
        }
        resumed
    }

    async fn try_resume(&mut self, mut error: engine::Error) -> Result<()> {
        let text = self.text()?;
        let mut attempts = generate::Attempts::resumed();
        while may_move(&error) {
            // A replica with a full queue has not taken the stream, so that is no move.
            if !is_full(&error) {
                let now = self.pipeline.now();
                if self.delivery.resume(self.request.deadline, now).is_none() {
                    break;
                }
                metrics::counter!(MOVED.name).increment(1);
            }
            let next = self.delivery.next_index();
            self.pipeline.retry(&self.request, &mut attempts, &self.target, error).await?;
            let (target, in_progress) = self.pipeline.target(&self.request, &attempts).await?;
            let resume = (next > 0).then_some(engine::Resume { text: &text, next });
            let call = target.generate(&self.request, self.pipeline.now(), resume);
            let started = self.pipeline.engine.stream(target.head, &call).await;
            self.target = target;
            self.in_progress = in_progress;
            match started {
                Ok(upstream) => {
                    self.upstream = upstream;
                    self.checked = self.pipeline.now();
                    return Ok(());
                }
                Err(e) => error = e,
            }
        }
        Err(attempts.refusal("relay", &error))
    }

    fn text(&self) -> Result<String> {
        let mut text = String::new();
        for data in self.delivered.events() {
            openai::append_text(&mut text, data).map_err(|e| {
                let message = format!("an event that was delivered cannot be read: {e}");
                pipeline::Refusal::unknown(pipeline::Code::UpstreamFailed, "resume", message)
                    .at(self.target.head)
            })?;
        }
        Ok(text)
    }
}

/// Service-level counts.
impl<E, P, S, L> Relay<E, P, S, L>
where
    E: Engine,
    P: Send + Sync + 'static,
    S: Send + Sync + 'static,
    L: Link,
{
    fn observe(&mut self, now: moment::Moment) {
        if self.delivered.ends.is_empty() {
            let taken = now.since(self.request.arrived);
            self.counts.first_token(Some(taken), &self.targets);
            let mut warmup = self.pipeline.tables.warmup.lock();
            if let Some(level) = warmup.get_mut(&self.target.replica.id) {
                level.first_token(now.since(self.latest), self.targets.first_token);
            }
        } else {
            self.counts.gap(now.since(self.latest), &self.targets);
        }
        self.latest = now;
    }

    fn end(&mut self, whole: bool) {
        if self.ended.is_some() {
            return;
        }
        self.ended = Some(whole);
        if self.delivered.ends.is_empty() {
            self.counts.first_token(None, &self.targets);
        }
        self.counts.request(whole);
        let counts = std::mem::take(&mut self.counts);
        self.pipeline.count(&self.request.service, &self.request.organisation, &counts);
    }
}

impl<E, P, S, L> Drop for Relay<E, P, S, L>
where
    E: Engine,
    P: Send + Sync + 'static,
    S: Send + Sync + 'static,
    L: Link,
{
    fn drop(&mut self) {
        if self.ended == Some(true) {
            return;
        }
        // Dropping the stream closes its connection; the explicit call also reaches an engine
        // that does not notice the close.
        let pipeline = sync::Arc::clone(&self.pipeline);
        let (head, id) = (self.target.head, self.request.id.clone());
        self.pipeline.host.pool.spawn(async move {
            if let Err(e) = pipeline.engine.cancel(head, &id).await {
                log::debug!(request = id; "route: cannot cancel: {e}");
            }
        });
    }
}
