//! Load balancing: chooses the upstream with the least predicted time for a request.

mod target;

use std::{sync, time};

use corneltrestle_kernel::{linkme, metric, table};
use corneltrestle_policy::{
    cost, deployment, fleet, id, kv, pacing, spread, upstream as registered,
};
use corneltrestle_time::moment;

use super::{Pipeline, admit::Admitted, attempt::Attempts};
use crate::{
    request,
    tables::{self, activity, catalog, census, health, pacing as sent, quotas, stalls},
    upstream::Client,
};

pub(super) use target::{InProgress, Target};

/// Added to the predicted time of an upstream that fails all requests, in multiples of the route's
/// objective; less in proportion to a lower failure rate.
const FAILURE_PENALTY_OBJECTIVES: f64 = 4.0;

/// Time by which the picture of the load is older than its latest report: requests that a peer sent
/// just after its previous heartbeat are not in it.
const REPORT_LAG: time::Duration = time::Duration::from_millis(40);

/// Assumed time for which a request occupies one slot of an upstream without models.
const PLAIN_SERVICE_TIME: time::Duration = time::Duration::from_millis(20);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static EXCEEDED: metric::Metric = metric::Metric::counter(
    "upstream_tokens_exceeded_total",
    "Requests that were sent to an upstream without room for their tokens, as no other one had more, by service.",
);

/// How an upstream is to be chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Manner {
    /// Whether a stream is resumed.
    pub(super) is_resumed: bool,
    /// Whether to choose one without a limit, or with a permit, while there is one.
    pub(super) avoids_limits: bool,
}

/// An upstream that may take the request, with its predicted time and penalties.
struct Candidate<'a> {
    upstream: &'a registered::Upstream,
    time: time::Duration,
    /// Whether it has a free slot by what is known of its requests.
    has_room: bool,
    /// Time until it has one, and room for the tokens of the request.
    slot_wait: time::Duration,
    /// Whether no events of its group have arrived for too long.
    is_stalled: bool,
    /// Tokens for which it has room; `None` if that is not known.
    free_tokens: Option<u64>,
}

impl<'a> Candidate<'a> {
    fn id(&self) -> &'a str {
        self.upstream.id.as_str()
    }
}

/// The tables that a choice reads, locked.
struct Locked<'a> {
    activity: table::Guard<'a, activity::Activity>,
    stalls: table::Guard<'a, stalls::Stalls>,
    health: table::Guard<'a, health::Health>,
    pacing: table::Guard<'a, sent::Pacing>,
    census: table::Guard<'a, census::Census>,
    quotas: table::Guard<'a, quotas::Quotas>,
}

impl<'a> Locked<'a> {
    /// Locks the tables in the order of their ranks.
    fn lock(tables: &'a tables::Tables) -> Self {
        Self {
            activity: tables.activity.lock(),
            stalls: tables.stalls.lock(),
            health: tables.health.lock(),
            pacing: tables.pacing.lock(),
            census: tables.census.lock(),
            quotas: tables.quotas.lock(),
        }
    }

    fn view<'s>(&self, snapshot: &'s catalog::Snapshot) -> View<'s, '_> {
        View {
            snapshot,
            activity: &self.activity,
            stalls: &self.stalls,
            health: &self.health,
            pacing: &self.pacing.sent,
            census: &self.census,
            quotas: &self.quotas,
        }
    }
}

/// What a choice reads: facts of the platform, and the [`Locked`] tables.
struct View<'s, 't> {
    snapshot: &'s catalog::Snapshot,
    activity: &'t activity::Activity,
    stalls: &'t stalls::Stalls,
    health: &'t health::Health,
    pacing: &'t pacing::Pacing,
    census: &'t census::Census,
    quotas: &'t quotas::Quotas,
}

impl<C: Client> Pipeline<C> {
    /// Chooses an upstream that may be tried, and counts the request there. Upstreams that fail are
    /// avoided while there is another one. If the upstream limits its requests, a permit is still to be
    /// taken.
    pub(super) fn pick(
        &self,
        request: &request::Request,
        admitted: &Admitted,
        attempts: &Attempts,
        Manner { is_resumed, avoids_limits }: Manner,
        now: moment::Moment,
    ) -> Option<Target> {
        let snapshot = self.tables.current.load();
        let mut locked = Locked::lock(&self.tables);
        let view = locked.view(&snapshot);
        let mut found = self.candidates(&view, request, admitted, attempts, now);
        let is_open = |candidate: &Candidate<'_>| view.quotas.is_open(candidate.id(), now);
        if avoids_limits && found.iter().any(is_open) {
            found.retain(is_open);
        }
        let is_near = |zone: &id::Zone| *zone == self.identity.zone;
        let times: Vec<_> = found
            .iter()
            .map(|&Candidate { upstream, time, .. }| spread::Candidate {
                time,
                is_near: is_near(&upstream.zone),
            })
            .collect();
        let unseen = self.unseen(&view, admitted, found.first()?.upstream, found.len(), now);
        let Candidate { upstream: chosen, time: predicted, free_tokens, .. } =
            &found[spread::pick(&times, &unseen, &mut rand::rng())?];
        if snapshot.cold.contains_key(&chosen.id) {
            locked.pacing.sent.count(&chosen.id, now);
        }
        let is_late =
            !is_resumed && now.since(request.arrived) + *predicted > admitted.route.objective;
        let unread = request.generation.as_ref().map_or(0, |generation| generation.prompt_tokens);
        let late = u32::from(is_late);
        let work = cost::Work { requests: 1, unread, late, late_unread: u64::from(late) * unread };
        let stalls = locked.activity.begin(&chosen.id, &work, now);
        let tokens = tokens(request, admitted);
        locked.activity.hold(chosen.id.as_str(), tokens);
        if free_tokens.is_some_and(|free| free < tokens) {
            let service = admitted.service.as_str().to_owned();
            metrics::counter!(EXCEEDED.name, "service" => service).increment(1);
        }
        Some(Target {
            id: chosen.id.clone(),
            address: chosen.address,
            incarnation: chosen.incarnation,
            chosen: now,
            has_alternative: found.iter().filter(|candidate| !candidate.is_stalled).count() > 1,
            predicted: *predicted,
            is_late,
            expected: (!is_late && !is_resumed).then_some(*predicted),
            progress: InProgress {
                table: sync::Arc::clone(&self.tables.activity),
                upstream: chosen.id.clone(),
                work,
                tokens,
                is_waiting: false,
                stalls,
            },
        })
    }

    /// Time by which first events come later than predicted for the model of a request.
    pub(super) fn overhead(
        &self,
        request: &request::Request,
        admitted: &Admitted,
    ) -> time::Duration {
        request.generation.as_ref().map_or(time::Duration::ZERO, |generation| {
            let demand = self.tables.demand.lock();
            demand.overhead(admitted.service.as_str(), generation.model.as_str())
        })
    }

    /// Whether an upstream other than `current` that may be tried can take the request now.
    pub(super) fn has_alternative(
        &self,
        request: &request::Request,
        admitted: &Admitted,
        attempts: &Attempts,
        current: &id::Vm,
        now: moment::Moment,
    ) -> bool {
        let snapshot = self.tables.current.load();
        let locked = Locked::lock(&self.tables);
        let view = locked.view(&snapshot);
        let found = self.candidates(&view, request, admitted, attempts, now);
        found.iter().any(|candidate| {
            let is_open = view.quotas.is_open(candidate.id(), now);
            !candidate.is_stalled && is_open && candidate.upstream.id != *current
        })
    }

    /// Time until the first upstream takes requests and has a free slot, by what is known of them;
    /// `None` if there is no upstream.
    pub(super) fn has_room_in(
        &self,
        request: &request::Request,
        admitted: &Admitted,
        now: moment::Moment,
    ) -> Option<time::Duration> {
        let snapshot = self.tables.current.load();
        let locked = Locked::lock(&self.tables);
        let view = locked.view(&snapshot);
        let found = self.serving(&view, request, admitted);
        let wait = |Candidate { upstream, slot_wait, .. }: &Candidate<'_>| {
            let id = upstream.id.as_str();
            let closed = view.health.closed_for(id, now).unwrap_or_default();
            let dry = view.quotas.dry_for(id, now).unwrap_or_default();
            closed.max(dry).max(*slot_wait)
        };
        found.iter().filter(|candidate| !candidate.is_stalled).map(wait).min()
    }

    /// Time until the first permit is expected for the upstreams that could take the request if they had
    /// permits; `None` if there is no such upstream.
    pub(super) fn permit_wait(
        &self,
        request: &request::Request,
        admitted: &Admitted,
        attempts: &Attempts,
        now: moment::Moment,
    ) -> Option<time::Duration> {
        let snapshot = self.tables.current.load();
        let locked = Locked::lock(&self.tables);
        let view = locked.view(&snapshot);
        let found = self.serving(&view, request, admitted);
        let may_try = |candidate: &&Candidate<'_>| {
            let id = &candidate.upstream.id;
            attempts.may_try(id, admitted) && view.health.closed_for(id.as_str(), now).is_none()
        };
        let dry = found.iter().filter(may_try);
        dry.filter_map(|candidate| view.quotas.dry_for(candidate.upstream.id.as_str(), now)).min()
    }

    /// Upstreams that serve such requests and are not leaving.
    fn serving<'a>(
        &self,
        view: &View<'a, '_>,
        request: &request::Request,
        admitted: &Admitted,
    ) -> Vec<Candidate<'a>> {
        let mut found = match (admitted.engine(), &request.generation) {
            (Some(engine), Some(generation)) => {
                self.group_heads(view, admitted, engine, generation)
            }
            _ => self.plain_upstreams(view, admitted),
        };
        found.retain(|Candidate { upstream, .. }| !view.health.is_leaving(upstream));
        found
    }

    /// Upstreams that may take the request. Those that are stalled are left out while there is another
    /// one: missing events may have been lost, or read late by this node.
    fn candidates<'a>(
        &self,
        view: &View<'a, '_>,
        request: &request::Request,
        admitted: &Admitted,
        attempts: &Attempts,
        now: moment::Moment,
    ) -> Vec<Candidate<'a>> {
        let serving = self.serving(view, request, admitted).into_iter();
        let (stalled, found) = serving.partition(|candidate| candidate.is_stalled);
        let mut found = self.eligible(view, found, admitted, attempts, now);
        if found.is_empty() {
            found = self.eligible(view, stalled, admitted, attempts, now);
        }
        let is_retry = attempts.record.dispatches() > 0 && !attempts.may_have_run;
        let free = found.iter().map(|candidate| candidate.free_tokens);
        match kv::needed(free, tokens(request, admitted), is_retry) {
            Some(needed) => {
                found.retain(|candidate| candidate.free_tokens.is_none_or(|free| free >= needed));
            }
            None => found.clear(),
        }
        found
    }

    /// Those of these upstreams that may take the request. Those that fail are left out while there is
    /// another one. After a rejection by a full upstream, so are those without a free slot; if the
    /// request may have run, they are left out only while there is another one, as it cannot be refused
    /// as not run.
    fn eligible<'a>(
        &self,
        view: &View<'a, '_>,
        mut found: Vec<Candidate<'a>>,
        admitted: &Admitted,
        attempts: &Attempts,
        now: moment::Moment,
    ) -> Vec<Candidate<'a>> {
        found.retain(|Candidate { upstream, .. }| {
            let id = upstream.id.as_str();
            view.health.closed_for(id, now).is_none() && view.quotas.dry_for(id, now).is_none()
        });
        let is_avoided = |candidate: &Candidate<'_>| {
            view.health.of(candidate.upstream.id.as_str()).is_avoided(now)
        };
        if !found.iter().all(is_avoided) {
            found.retain(|candidate| !is_avoided(candidate));
        }
        for candidate in &mut found {
            let rate = view.health.of(candidate.upstream.id.as_str()).failure_rate(now);
            candidate.time += admitted.route.objective.mul_f64(rate * FAILURE_PENALTY_OBJECTIVES);
        }
        if !view.snapshot.cold.is_empty() {
            let position = view.census.position(now);
            found.retain(|candidate| {
                accepts_while_cold(view, admitted, candidate.upstream, position, now)
            });
        }
        found.retain(|candidate| attempts.may_try(&candidate.upstream.id, admitted));
        let has_room = |candidate: &Candidate<'_>| candidate.has_room;
        if attempts.was_rejected_as_full() && (!attempts.may_have_run || found.iter().any(has_room))
        {
            found.retain(has_room);
        }
        found
    }

    /// Heads of the serving groups that serve the requested model.
    fn group_heads<'a>(
        &self,
        view: &View<'a, '_>,
        admitted: &Admitted,
        engine: &deployment::Engine,
        generation: &request::Generation,
    ) -> Vec<Candidate<'a>> {
        let snapshot = view.snapshot;
        let Some(model) = engine.model(generation.model.as_str()) else { return Vec::new() };
        let serves = |group: &&fleet::Group| {
            group.service == admitted.service
                && group.model.as_ref() == Some(&model.name)
                && snapshot.fleet.is_serving(group, model)
        };
        let groups = snapshot.fleet.groups().iter().filter(serves);
        groups
            .filter_map(|group| {
                let head = snapshot.fleet.head(group)?;
                let stall = view.stalls.get(head.id.as_str(), group.epoch);
                if !self.may_serve(snapshot, admitted, head)
                    || stall.is_some_and(|stall| stall.has_lost_member)
                {
                    return None;
                }
                let is_stalled = stall.is_some();
                let pace = snapshot.fleet.pace(group, engine);
                let work = view.activity.estimated_work(head.id.as_str());
                let time = cost::first_event(engine, pace, &work, generation.prompt_tokens, false);
                let free_tokens = kv::free(engine, &view.activity.kv_load(head.id.as_str()));
                let size = kv::size(engine, generation.prompt_tokens, generation.max_tokens);
                let slot_wait = cost::slot_wait(engine, pace, &work).max(kv::wait(
                    engine,
                    pace,
                    free_tokens,
                    size,
                ));
                let has_room = work.requests < engine.slots.max(1);
                Some(Candidate {
                    upstream: head,
                    time,
                    has_room,
                    slot_wait,
                    is_stalled,
                    free_tokens,
                })
            })
            .collect()
    }

    /// Upstreams of a service without an engine.
    fn plain_upstreams<'a>(&self, view: &View<'a, '_>, admitted: &Admitted) -> Vec<Candidate<'a>> {
        let all = view.snapshot.fleet.of_service(admitted.service.as_str());
        all.filter(|upstream| self.may_serve(view.snapshot, admitted, upstream))
            .map(|upstream| {
                let work = view.activity.estimated_work(upstream.id.as_str());
                let slots = upstream.slots.max(1);
                let time = PLAIN_SERVICE_TIME * work.requests / slots;
                let ahead = (work.requests + 1).saturating_sub(slots);
                let slot_wait = PLAIN_SERVICE_TIME * ahead / slots;
                let has_room = work.requests < slots;
                Candidate {
                    upstream,
                    time,
                    has_room,
                    slot_wait,
                    is_stalled: false,
                    free_tokens: None,
                }
            })
            .collect()
    }

    /// Requests of all nodes to `candidates` upstreams like `upstream` that the loads reported by
    /// other nodes do not show yet. All nodes are taken to see the same mix of models as this one, and
    /// the groups of a model to get as many requests each.
    fn unseen(
        &self,
        view: &View<'_, '_>,
        admitted: &Admitted,
        upstream: &registered::Upstream,
        candidates: usize,
        now: moment::Moment,
    ) -> spread::Unseen {
        let snapshot = view.snapshot;
        let window = self.limits.retries.window;
        let others = view.activity.usage_of_others(admitted.service.as_str(), window, now).usage;
        let own = self.tables.retries.lock().requests(&admitted.service, now);
        let group = snapshot.fleet.group_of(upstream.id.as_str());
        let (share, each) = match (admitted.engine(), group) {
            (Some(engine), Some(group)) => {
                let pace = snapshot.fleet.pace(group, engine);
                let each = cost::prefill(engine, pace, u64::from(engine.mean_prompt));
                (self.share_of(view, admitted, engine, group, candidates, now), each)
            }
            _ => (1.0, PLAIN_SERVICE_TIME / upstream.slots.max(1)),
        };
        let age = view.activity.view_age(now).map_or(time::Duration::ZERO, |age| {
            time::Duration::from_millis(u64::from(age)) + REPORT_LAG
        });
        let rate = f64::from(own + others.requests) / window.as_secs_f64() * share;
        spread::Unseen { rate, age, each }
    }

    /// Fraction of the requests of a service that go to `candidates` groups with the model of `group`.
    fn share_of(
        &self,
        view: &View<'_, '_>,
        admitted: &Admitted,
        engine: &deployment::Engine,
        group: &fleet::Group,
        candidates: usize,
        now: moment::Moment,
    ) -> f64 {
        let Some(model) = &group.model else { return 1.0 };
        let fleet = &view.snapshot.fleet;
        let (mut serving, mut of_model) = (0, 0);
        for other in fleet.groups().iter().filter(|other| other.service == admitted.service) {
            let declared = other.model.as_ref().and_then(|model| engine.model(model.as_str()));
            if declared.is_some_and(|declared| fleet.is_serving(other, declared)) {
                serving += 1;
                of_model += usize::from(other.model.as_ref() == Some(model));
            }
        }
        let of_model = of_model.max(candidates) as f64;
        let assumed = of_model / f64::from(serving).max(of_model);
        let demand = self.tables.demand.lock();
        let measured = demand.fraction(&admitted.service, model.as_str(), assumed, now);
        measured * candidates as f64 / of_model
    }

    /// Whether an upstream is ready, in a zone that is not evacuated and in an allowed region.
    fn may_serve(
        &self,
        snapshot: &catalog::Snapshot,
        admitted: &Admitted,
        upstream: &registered::Upstream,
    ) -> bool {
        upstream.state == registered::State::Ready
            && !snapshot.evacuated.contains(&upstream.zone)
            && admitted.allows(self.identity.region(upstream.zone.as_str()))
    }
}

/// Tokens that a request takes in the KV cache of an upstream; 0 if it does not generate with a model.
fn tokens(request: &request::Request, admitted: &Admitted) -> u64 {
    match (admitted.engine(), &request.generation) {
        (Some(engine), Some(generation)) => {
            kv::size(engine, generation.prompt_tokens, generation.max_tokens)
        }
        _ => 0,
    }
}

/// Whether an upstream is warm, or cold and able to take another request of the node at
/// `position`; it takes none of a node without a share of its rate.
fn accepts_while_cold(
    view: &View<'_, '_>,
    admitted: &Admitted,
    upstream: &registered::Upstream,
    position: Option<pacing::Position>,
    now: moment::Moment,
) -> bool {
    let Some(until) = view.snapshot.cold.get(&upstream.id).filter(|until| now < **until) else {
        return true;
    };
    let service = admitted.deployment.services.get(&admitted.service);
    service.is_none_or(|service| {
        view.pacing.allows(&upstream.id, &service.cold, position, *until, now)
    })
}
