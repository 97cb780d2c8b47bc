//! Admission of requests to models while more arrive at all nodes than the groups serve in time.

use std::{sync, time};

use corneltrestle_kernel::{host, linkme, metric, table};
use corneltrestle_policy::{capacity, cost, deployment, fleet, gate, id, upstream};
use corneltrestle_time::moment;

use super::{Code, Pipeline, Refusal, Result, admit::Admitted};
use crate::{
    request,
    tables::{Tables, catalog, gates},
    upstream::Client,
};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static GATED: metric::Metric = metric::Metric::counter(
    "gate_requests_total",
    "Requests to models by service and by what admission did: passed (at once), waited (passed after a wait), refused-at-once and refused-waiting (their turn comes too late), or caller-left.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static WAITING: metric::Metric = metric::Metric::gauge(
    "gate_requests_waiting",
    "Requests that wait for admission at this node, by service and model.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static CAPACITY: metric::Metric = metric::Metric::gauge(
    "gate_capacity",
    "Requests per second that the groups of a model serve in time, by service and model.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static DEMAND: metric::Metric = metric::Metric::gauge(
    "gate_demand",
    "Requests per second of all known nodes for the service of a model, by service and model.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static RATE: metric::Metric = metric::Metric::gauge(
    "gate_rate",
    "Requests of mean size per second that this node admits, by service and model; infinite while it holds nothing back.",
);

#[linkme::distributed_slice(metric::GAUGES)]
#[linkme(crate = linkme)]
static READ: fn(&sync::Arc<host::Host>) = read;

fn read(host: &sync::Arc<host::Host>) {
    let tables = Tables::of(host);
    for ((service, model), status) in tables.gates.lock().status() {
        let gauge = |name: &'static str, value: f64| {
            let service = service.as_str().to_owned();
            let model = model.as_str().to_owned();
            metrics::gauge!(name, "service" => service, "model" => model).set(value);
        };
        gauge(WAITING.name, status.waiting as f64);
        gauge(CAPACITY.name, status.capacity);
        gauge(DEMAND.name, status.demand);
        gauge(RATE.name, status.rate.unwrap_or(f64::INFINITY));
    }
}

/// Age of the reports of other nodes up to which these count as known, as a fraction of the window of
/// the retry budget.
const REPORT_AGE_FRACTION: u32 = 4;

/// Fraction of the time until its deadline by which a request is sent at the latest: the time of an
/// answer is an estimate.
const MAX_ANSWER_FRACTION: f64 = 0.67;

/// A request that waits. It leaves the queue on drop.
struct Waiting<'a> {
    table: &'a table::Table<gates::Gates>,
    key: &'a gates::Key,
    ticket: gate::Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.table.lock().cancel(self.key, self.ticket) {
            count(self.key, "caller-left");
        }
    }
}

/// The task that looks at the waiting requests of a model. Another one is started if it ends early.
struct Watch<C: Client> {
    pipeline: sync::Arc<Pipeline<C>>,
    key: gates::Key,
    is_done: bool,
}

impl<C: Client> Drop for Watch<C> {
    fn drop(&mut self) {
        if !self.is_done {
            self.pipeline.tables.gates.lock().unwatch(&self.key);
        }
    }
}

impl<C: Client> Watch<C> {
    async fn run(mut self) {
        while let Some(next) = self.look() {
            tokio::time::sleep(next).await;
        }
        self.is_done = true;
    }

    /// Sends the verdicts that are due. Returns the time until the next ones may be.
    fn look(&self) -> Option<time::Duration> {
        let now = self.pipeline.now();
        let gates = &self.pipeline.tables.gates;
        let max_gap = gates.lock().max_gap(&self.key, None);
        let view = self.pipeline.view(&self.key, max_gap, now);
        let mut gates = gates.lock();
        let next = gates.watch(&self.key, &view, now);
        let status = gates.log_due(&self.key, now);
        drop(gates);
        log_status(&self.key, status);
        next
    }
}

impl<C: Client> Pipeline<C> {
    /// Waits until there is room for a request to a model.
    ///
    /// # Errors
    ///
    /// When its turn would come too late. It has not run.
    pub(super) async fn pass_gate(
        self: &sync::Arc<Self>,
        request: &request::Request,
        admitted: &Admitted,
    ) -> Result<()> {
        let (Some(engine), Some(generation)) = (admitted.engine(), &request.generation) else {
            return Ok(());
        };
        // The caller of a resumed stream has a part of it already.
        let is_resumed = request.resume_after.is_some();
        if is_resumed || engine.model(generation.model.as_str()).is_none() {
            return Ok(());
        }
        let key: gates::Key = (admitted.service.clone(), generation.model.clone());
        let now = self.now();
        let (max_gap, sent_before) = {
            let mut gates = self.tables.gates.lock();
            let route = &admitted.route;
            if !gates.applies(&admitted.service, route.priority, now) {
                return Ok(());
            }
            let before = request.deadline.and_then(|deadline| {
                gates.sent_before(&key, &route.name, deadline.since(request.arrived), now)
            });
            (gates.max_gap(&key, route.max_gap), before)
        };
        let view = self.view(&key, max_gap, now);
        let offered = self.offered(request, admitted, engine, &view, sent_before, now);
        let limit = offered.limit;
        let (outcome, status) = {
            let mut gates = self.tables.gates.lock();
            (gates.offer(&key, offered, &view, now), gates.log_due(&key, now))
        };
        log_status(&key, status);
        let (ticket, verdict) = match outcome {
            gates::Offered::Decided(gate::Verdict::Admitted) => {
                count(&key, "passed");
                return Ok(());
            }
            gates::Offered::Decided(gate::Verdict::Refused(retry)) => {
                count(&key, "refused-at-once");
                return Err(refused(retry));
            }
            gates::Offered::Waits { ticket, verdict, needs_watch } => {
                if needs_watch {
                    let (pipeline, key) = (sync::Arc::clone(self), key.clone());
                    let watch = Watch { pipeline, key, is_done: false };
                    self.host.pool.spawn(watch.run());
                }
                (ticket, verdict)
            }
        };
        let waiting = Waiting { table: &self.tables.gates, key: &key, ticket };
        let left = limit.since(now);
        let verdict = tokio::time::timeout(left, verdict).await;
        match verdict {
            Ok(Ok(gate::Verdict::Admitted)) => {
                count(&key, "waited");
                Ok(())
            }
            Ok(Ok(gate::Verdict::Refused(retry))) => {
                count(&key, "refused-waiting");
                Err(refused(retry))
            }
            Ok(Err(_)) | Err(_) => {
                self.tables.gates.lock().cancel(&key, waiting.ticket);
                count(&key, "refused-waiting");
                Err(refused(super::RETRY_AFTER))
            }
        }
    }

    /// The request as the gate sees it. `sent_before` is the time since its client first sent it, if
    /// that was before it arrived.
    fn offered(
        &self,
        request: &request::Request,
        admitted: &Admitted,
        engine: &deployment::Engine,
        view: &gate::View,
        sent_before: Option<time::Duration>,
        now: moment::Moment,
    ) -> gate::Request {
        let route = &admitted.route;
        let organisation = admitted.organisation.as_ref();
        let events = engine.mean_answer / engine.pass_steps.max(1);
        let answer = cost::decode_pass(engine, 1.0, engine.slots)
            .saturating_mul(events)
            .saturating_add(view.capacity.first_event);
        let left = admitted.deadline.since(now);
        let answer = answer.min(left.mul_f64(MAX_ANSWER_FRACTION));
        let sent = request.arrived.before(sent_before.unwrap_or_default());
        let prompt = request.generation.as_ref().map_or(0, |generation| generation.prompt_tokens);
        gate::Request {
            priority: (admitted.priority, route.priority),
            organisation: organisation.cloned(),
            prompt,
            is_returning: sent_before.is_some(),
            due: sent + route.objective.saturating_sub(self.overhead(request, admitted)),
            limit: admitted.deadline.before(answer),
        }
    }

    /// What this node knows about a model. Tables are locked one at a time.
    fn view(
        &self,
        key: &gates::Key,
        max_gap: Option<time::Duration>,
        now: moment::Moment,
    ) -> gate::View {
        let (service, model) = key;
        let window = self.limits.retries.window;
        let snapshot = self.tables.current.load();
        let own = self.tables.retries.lock().requests(service, now);
        let (mut paces, mut work) = (Vec::new(), cost::Work::default());
        let others = {
            let activity = self.tables.activity.lock();
            for (head, pace) in heads(&snapshot, service, model) {
                paces.push(pace);
                work.add(&activity.max_work(head.as_str()));
            }
            activity.usage_of_others(service.as_str(), window / REPORT_AGE_FRACTION, now)
        };
        let engine = engine(&snapshot, service);
        let capacity = engine.map_or_else(capacity::Capacity::default, |engine| {
            let demand = self.tables.demand.lock();
            let measured = demand.of(service, model.as_str(), engine, now);
            let overhead = demand.overhead(service.as_str(), model.as_str());
            capacity::of(engine, paces, &measured, &capacity::Timing { max_gap, overhead })
        });
        let nodes = self.tables.census.lock().number().max(1);
        let known = (others.known + 1).min(nodes);
        gate::View {
            capacity,
            work,
            own_requests: f64::from(own),
            known_requests: f64::from(own) + f64::from(others.usage.requests),
            window,
            // The clock starts with the process.
            own_window: now.since(moment::Moment::ZERO).min(window),
            known_nodes: known as f64 / nodes as f64,
        }
    }
}

fn engine<'a>(
    snapshot: &'a catalog::Snapshot,
    service: &id::Service,
) -> Option<&'a deployment::Engine> {
    snapshot.deployment.as_ref()?.services.get(service)?.engine.as_ref()
}

/// Heads of the groups that serve a model, with their paces.
fn heads<'a>(
    snapshot: &'a catalog::Snapshot,
    service: &'a id::Service,
    model: &'a id::Model,
) -> impl Iterator<Item = (&'a id::Vm, f64)> {
    let engine = engine(snapshot, service);
    let declared = engine.and_then(|engine| Some((engine, engine.model(model.as_str())?)));
    let groups = snapshot.fleet.groups().iter();
    groups.filter_map(move |group: &fleet::Group| {
        let (engine, declared) = declared?;
        let serves = group.service == *service
            && group.model.as_ref() == Some(model)
            && snapshot.fleet.is_serving(group, declared);
        let head = snapshot.fleet.head(group).filter(|_| serves)?;
        let is_ready = head.state == upstream::State::Ready;
        let is_usable = is_ready && !snapshot.evacuated.contains(&head.zone);
        is_usable.then(|| (&head.id, snapshot.fleet.pace(group, engine)))
    })
}

fn refused(retry: time::Duration) -> Refusal {
    let message = "more requests wait for this model than its groups serve in time";
    Refusal::not_run(Code::Overloaded, "gate", message).retry_after(retry)
}

fn count(key: &gates::Key, result: &'static str) {
    let service = key.0.as_str().to_owned();
    metrics::counter!(GATED.name, "service" => service, "result" => result).increment(1);
}

fn log_status(key: &gates::Key, status: Option<gates::Status>) {
    let Some(status) = status else { return };
    log::warn!(
        service = key.0.as_str(), model = key.1.as_str(), capacity = status.capacity,
        demand = status.demand, rate = status.rate.unwrap_or(f64::INFINITY),
        waiting = status.waiting, admitted = status.counts.admitted,
        refused = status.counts.refused;
        "route: requests to a model are held back"
    );
}
