//! Relay of a streamed response; if its replica fails, the stream resumes at another one.

use std::{sync, time};

use corneltrestle_engine::engine::{self, Engine, Stream};
use corneltrestle_kernel::{host, linkme, memory, metric};
use corneltrestle_policy::{burn, delivery, id, release, retry};
use corneltrestle_time::moment;
use corneltrestle_wire::openai;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval_at};

use super::{
    Result,
    admit::Permit,
    choose,
    generate::{self, may_try_another},
    request,
};
use crate::{link::Link, pipeline};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static STREAMS_MOVED: metric::Metric = metric::Metric::counter(
    "streams_moved_total",
    "Streams that were resumed at another upstream.",
);

/// Time between two checks that the replica of a response in progress can still serve.
pub(super) const CHECK_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Smallest capacity of the buffers of [`Delivered`], which most streams do not exceed.
const MIN_DELIVERED_CAPACITY: usize = 256;

/// Data of the events delivered so far; a resume sends their text to the new replica.
///
/// The data is copied into one buffer. Slices of the read buffers would keep those alive, including
/// the framing of each event. It counts in the memory budget of the node; without memory it is dropped,
/// and the stream can no longer be resumed.
#[derive(Debug)]
struct Delivered {
    data: Vec<u8>,
    /// End offset of each event in `data`.
    ends: Vec<usize>,
    holding: memory::Holding,
    is_complete: bool,
}

impl Delivered {
    fn new(host: &host::Host) -> Self {
        let holding = host.memory.hold(memory::Caller::NODE, memory::Kind::Answer, host.now());
        Self { data: Vec::new(), ends: Vec::new(), holding, is_complete: true }
    }

    fn push(&mut self, event: &[u8], now: moment::Moment) {
        if !self.is_complete {
            return;
        }
        let ends = size_of::<usize>();
        let data = grown(&self.data, event.len());
        let (before, after) = (self.ends.capacity(), grown(&self.ends, 1));
        let more = (data - self.data.capacity()) + (after - before) * ends;
        if more > 0 {
            // Both buffers exist while the bytes move.
            let old = [self.data.capacity(), before * ends];
            let moved = usize::from(data > old[0]) * old[0] + usize::from(after > before) * old[1];
            if !self.holding.try_grow(more + moved, now) {
                (self.data, self.ends, self.is_complete) = (Vec::new(), Vec::new(), false);
                self.holding.shrink(usize::MAX);
                return;
            }
            self.data.reserve_exact(data - self.data.len());
            self.ends.reserve_exact(after - self.ends.len());
            self.holding.shrink(moved);
        }
        self.data.extend_from_slice(event);
        self.ends.push(self.data.len());
    }

    fn events(&self) -> impl Iterator<Item = &[u8]> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts.zip(&self.ends).map(|(start, end)| &self.data[start..*end])
    }
}

/// The capacity with which `items` takes `more` further ones.
fn grown<T>(items: &Vec<T>, more: usize) -> usize {
    let needed = items.len() + more;
    if needed <= items.capacity() {
        items.capacity()
    } else {
        needed.max(2 * items.capacity()).max(MIN_DELIVERED_CAPACITY)
    }
}

/// Timer of the checks; after a late tick the next one follows a full period later.
fn check_timer() -> Interval {
    let mut timer = interval_at(Instant::now() + CHECK_PERIOD, CHECK_PERIOD);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

/// A streamed response in progress; dropping it before its end cancels the work upstream.
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
    /// `None` while another replica is sought to resume the stream, as is `upstream`.
    in_progress: Option<choose::InProgress<L>>,
    upstream: Option<E::Stream>,
    tried: retry::Tried,
    delivery: delivery::Delivery,
    delivered: Delivered,
    has_delivered: bool,
    /// When the replica was last checked.
    checked_at: moment::Moment,
    check_timer: Interval,
    /// When the last event arrived; before the first one, when the first stream started.
    last_event_at: moment::Moment,
    targets: release::Targets,
    /// Service-level counts of this request, which are added to the node's at its end.
    counts: burn::Counts,
    /// Whether the response was complete and in time; `None` until it has ended.
    is_complete: Option<bool>,
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
                    let delivered = Delivered::new(&pipeline.host);
                    return Ok(Self {
                        pipeline,
                        delivery: delivery::Delivery::new(&request.id),
                        request,
                        target,
                        in_progress: Some(in_progress),
                        upstream: Some(upstream),
                        tried: attempts.tried,
                        delivered,
                        has_delivered: false,
                        checked_at: now,
                        check_timer: check_timer(),
                        last_event_at: now,
                        targets,
                        counts: burn::Counts::default(),
                        is_complete: None,
                        _permit: permit,
                    });
                }
                Err(e) => {
                    drop(in_progress);
                    let retried = pipeline.retry(&request, &mut attempts, &target, e).await;
                    if let Err(refusal) = retried {
                        return Err((request, refusal));
                    }
                }
            }
        }
    }

    /// Data of the next event, or `None` after the last one of a complete response.
    ///
    /// # Errors
    ///
    /// When the response cannot be completed; the events delivered so far are a part of it.
    pub async fn next(&mut self) -> Result<Option<bytes::Bytes>> {
        loop {
            let Some(upstream) = &mut self.upstream else {
                let message = "the response has ended without being complete";
                let code = pipeline::Code::UpstreamFailed;
                return Err(pipeline::Refusal::unknown(code, "relay", message));
            };
            // The timer detects the loss of a member VM even while the head sends nothing. One
            // timer serves all events, because a timeout for each is expensive.
            let event = tokio::select! {
                biased;
                event = upstream.next() => event,
                _ = self.check_timer.tick() => {
                    self.check().await?;
                    continue;
                }
            };
            match event {
                Ok(Some(token)) => {
                    let now = self.pipeline.now();
                    if now.since(self.checked_at) >= CHECK_PERIOD {
                        self.check().await?;
                    }
                    let event = delivery::Event { request: &self.request.id, index: token.index };
                    if self.delivery.check(&event) == delivery::Verdict::Deliver {
                        self.observe(now);
                        self.delivered.push(&token.data, now);
                        self.has_delivered = true;
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

    /// The zone of the replica that currently sends the response.
    pub fn zone(&self) -> &id::Zone {
        &self.target.zone
    }

    /// Resumes the stream elsewhere if its replica can no longer serve, or ends it after the
    /// deadline.
    async fn check(&mut self) -> Result<()> {
        let now = self.pipeline.now();
        self.checked_at = now;
        self.check_timer.reset();
        if now >= self.request.deadline {
            self.end(false);
            let message = "the deadline passed before the response was complete";
            return Err(pipeline::Refusal::unknown(
                pipeline::Code::DeadlineExceeded,
                "relay",
                message,
            )
            .at(self.target.head));
        }
        if self.pipeline.is_eligible(&self.target, now) {
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
        let mut attempts = generate::Attempts::resumed(std::mem::take(&mut self.tried));
        while may_try_another(&error) {
            // A replica that has refused the stream has not run any part of it, so trying another one
            // does not count as moving the stream.
            if retry::may_have_run(generate::failure(&error)) {
                let now = self.pipeline.now();
                if self.delivery.resume(self.request.deadline, now).is_none() {
                    break;
                }
                metrics::counter!(STREAMS_MOVED.name).increment(1);
            }
            let next = self.delivery.next_index();
            // The failed attempt ends here. A stream that kept its slot of a cold replica while it
            // waits for another slot of the same replica would wait until its deadline.
            (self.upstream, self.in_progress) = (None, None);
            self.pipeline.retry(&self.request, &mut attempts, &self.target, error).await?;
            let (target, in_progress) = self.pipeline.target(&self.request, &attempts).await?;
            let resume = (next > 0).then_some(engine::Resume { text: &text, next });
            let call = target.generate(&self.request, self.pipeline.now(), resume);
            let started = self.pipeline.engine.stream(target.head, &call).await;
            self.target = target;
            self.in_progress = Some(in_progress);
            match started {
                Ok(upstream) => {
                    self.upstream = Some(upstream);
                    self.tried = attempts.tried;
                    self.checked_at = self.pipeline.now();
                    return Ok(());
                }
                Err(e) => error = e,
            }
        }
        Err(attempts.refusal("relay", &error))
    }

    fn text(&self) -> Result<String> {
        if !self.delivered.is_complete {
            let message = "the node had no memory to keep what is needed to resume the stream";
            let code = pipeline::Code::UpstreamFailed;
            return Err(pipeline::Refusal::unknown(code, "resume", message).at(self.target.head));
        }
        let mut text = String::new();
        for data in self.delivered.events() {
            openai::append_text(&mut text, data).map_err(|e| {
                let message = format!("cannot decode an event that was already delivered: {e}");
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
        if !self.has_delivered {
            let taken = now.since(self.request.arrived);
            self.counts.first_token(Some(taken), &self.targets);
            let mut warmup = self.pipeline.tables.warmup.lock();
            if let Some(level) = warmup.get_mut(&self.target.replica.id) {
                level.first_token(now.since(self.last_event_at), self.targets.first_token);
            }
        } else {
            self.counts.gap(now.since(self.last_event_at), &self.targets);
        }
        self.last_event_at = now;
    }

    fn end(&mut self, complete: bool) {
        if self.is_complete.is_some() {
            return;
        }
        self.is_complete = Some(complete);
        if !self.has_delivered {
            self.counts.first_token(None, &self.targets);
        }
        self.counts.request(complete);
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
        if self.is_complete == Some(true) {
            return;
        }
        // Dropping the stream closes its connection. The explicit call also stops an engine that
        // does not notice the close.
        let pipeline = sync::Arc::clone(&self.pipeline);
        let (head, id) = (self.target.head, self.request.id.clone());
        self.pipeline.host.pool.spawn(async move {
            if let Err(e) = pipeline.engine.cancel(head, &id).await {
                log::debug!(id = id; "route: cannot cancel: {e}");
            }
        });
    }
}
