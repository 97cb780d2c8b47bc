//! State that the coordinator keeps between two decisions: planned groups, loads in progress and
//! orders without a visible effect.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{
    Order, Outlook, Role, Room, Step, Vm, rate,
    rebalance::{Change, Event},
};
use crate::{fleet, id, upstream};

/// Number of epochs reserved for each fencing token, so that the epochs of a later token are
/// higher.
const EPOCHS_PER_TOKEN: u64 = 100_000;

/// Time within which the effect of an order must show in the registration of its VM. After that the
/// order counts as lost, and the VM may get another one.
pub(super) const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time after which an order that got no answer is no longer carried out.
const LATEST_EXECUTION: time::Duration = time::Duration::from_secs(12);

/// Time for which the number of VMs of a zone is remembered. Within it, an outage of a zone has ended or
/// its load has gone elsewhere.
const ZONE_MEMORY: time::Duration = time::Duration::from_secs(30);

/// Time after which a VM that refused an order may get another one.
const REFUSED_DELAY: time::Duration = time::Duration::from_millis(400);

/// State of the coordinator for as long as it holds the lease.
#[derive(Clone, Debug)]
pub struct State {
    shared: Shared,
    services: collections::BTreeMap<id::Service, Service>,
}

/// What the VMs of all services share.
#[derive(Clone, Debug)]
struct Shared {
    /// Fencing token with which the state was created.
    term: u64,
    token: u64,
    /// Number of epochs used so far.
    used_epochs: u64,
    /// The latest order of each VM with the time when it was issued, until the registration of the
    /// VM shows its effect.
    pending: collections::BTreeMap<id::Vm, (Order, moment::Moment)>,
    /// The latest join that each VM was ordered.
    joins: collections::BTreeMap<id::Vm, Join>,
    /// Heads that may join and open a group again by orders that got no answer: the epoch of the
    /// group, and until when.
    reopening: collections::BTreeMap<id::Vm, (u64, moment::Moment)>,
    /// Start times of the loads in the last second, for the rate limit of the weight store.
    load_starts: collections::VecDeque<moment::Moment>,
    /// Number of loads started.
    loads: u64,
    /// What has become of changes of the model of VMs.
    events: Vec<Event>,
}

/// A join that a VM was ordered.
#[derive(Clone, Copy, Debug)]
struct Join {
    epoch: u64,
    issued: moment::Moment,
    /// Whether it got no answer, so that it may be carried out late or never.
    is_unanswered: bool,
    /// Until when a join of this epoch that got no answer, also an earlier one, may be carried out.
    late_until: moment::Moment,
}

/// What belongs to the VMs and groups of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    plans: collections::BTreeMap<id::Group, Plan>,
    /// VMs that load a model on their own.
    loading: collections::BTreeMap<id::Vm, Loading>,
    /// VMs that stage a model on their host.
    staging: collections::BTreeMap<id::Vm, Staging>,
    /// Changes of the model of VMs in progress.
    changes: Vec<Change>,
    /// Since when a change from one model (first) to another has been worth its cost.
    worth_since: collections::BTreeMap<(id::Model, id::Model), moment::Moment>,
    /// Largest number of VMs of each zone within [`ZONE_MEMORY`], and when that was.
    zones: collections::BTreeMap<id::Zone, (usize, moment::Moment)>,
    /// What is known of the demand for each model.
    measured: collections::BTreeMap<id::Model, rate::Measured>,
    /// Until when no change from a model begins, as one has been given up.
    paused: collections::BTreeMap<id::Model, moment::Moment>,
    /// Since when each registered group without a plan has lacked members.
    incomplete: collections::BTreeMap<id::Group, moment::Moment>,
    /// Since when each standby VM has been free.
    free_since: collections::BTreeMap<id::Vm, moment::Moment>,
    /// The latest composition of the domains.
    composed: Option<Composed>,
}

/// The state as a decision for one service changes it. What belongs to other services is out of its
/// reach, as it knows none of their VMs.
#[derive(Debug)]
pub(super) struct Pass<'s> {
    shared: &'s mut Shared,
    service: &'s mut Service,
    /// Number of VMs of other services that load or stage a model.
    loading_elsewhere: usize,
}

/// The state as a decision for one service reads it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known<'s> {
    shared: &'s Shared,
    service: &'s Service,
}

/// A group that is being formed, serves, or is being dissolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Epoch of its membership.
    pub epoch: u64,
    /// The model.
    pub model: id::Model,
    /// The members; the first is the head.
    pub members: Vec<id::Vm>,
    /// When it was planned, or adopted from another coordinator.
    pub created: moment::Moment,
    /// When the group is dissolved if it has not been opened by then.
    pub join_deadline: moment::Moment,
    /// When the head was last registered as open, or first ordered to open; `None` while members
    /// join.
    pub opened: Option<moment::Moment>,
    /// Whether the members are being told to leave.
    pub is_dissolving: bool,
    /// The model that members are to serve next. The group is closed for that.
    pub next: Option<id::Model>,
}

impl Plan {
    /// The order to join the group, the same for each member.
    pub(super) fn join(&self, group: &id::Group) -> Order {
        Order::Join {
            group: group.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }
}

/// A VM that loads a model on its own.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub(super) model: id::Model,
    /// Until when the load counts as in progress.
    pub(super) until: moment::Moment,
}

/// A VM that stages a model on its host, beside what else it does.
#[derive(Clone, Debug)]
pub(super) struct Staging {
    pub(super) model: id::Model,
    /// When the order was issued.
    pub(super) issued: moment::Moment,
    /// Until when it counts as in progress.
    pub(super) until: moment::Moment,
    /// Identifier of the start of the VM's process.
    pub(super) incarnation: u64,
    /// Whether the order got no answer, so that it may be carried out late or never.
    pub(super) is_unanswered: bool,
    /// Whether the VM has answered that the order has no effect.
    pub(super) is_refused: bool,
}

/// How many VMs of each domain should have each model, and what this follows from.
#[derive(Clone, Debug)]
struct Composed {
    rooms: Vec<Room>,
    targets: Vec<f64>,
    counts: Vec<Vec<usize>>,
}

impl State {
    /// Creates the empty state of a coordinator that has just got the fencing token.
    pub fn new(token: u64) -> Self {
        let shared = Shared {
            term: token,
            token,
            used_epochs: 0,
            pending: collections::BTreeMap::new(),
            joins: collections::BTreeMap::new(),
            reopening: collections::BTreeMap::new(),
            load_starts: collections::VecDeque::new(),
            loads: 0,
            events: Vec::new(),
        };
        Self { shared, services: collections::BTreeMap::new() }
    }

    /// The fencing token of the orders that follow.
    pub fn token(&self) -> u64 {
        self.shared.token
    }

    /// The fencing token with which the state was created, which identifies it.
    pub fn term(&self) -> u64 {
        self.shared.term
    }

    /// Goes on with a higher fencing token, as the store has come back from an earlier copy.
    pub fn raise_token(&mut self, token: u64) {
        self.shared.token = self.shared.token.max(token);
    }

    /// The planned groups of all services with their names.
    pub fn plans(&self) -> impl Iterator<Item = (&id::Group, &Plan)> {
        self.services.values().flat_map(|service| &service.plans)
    }

    /// Number of planned groups of a service.
    pub fn planned(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |service| service.plans.len())
    }

    /// What has become of changes of the model of VMs since the last call, in order.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.shared.events)
    }

    /// Longest time for which a registered group of a service without a plan has lacked members.
    pub fn longest_incomplete(&self, service: &str, now: moment::Moment) -> Option<time::Duration> {
        self.services.get(service)?.incomplete.values().map(|since| now.since(*since)).max()
    }

    /// Number of loads from the weight store that were started with this fencing token.
    pub fn loads(&self) -> u64 {
        self.shared.loads
    }

    /// Drops the services that are no longer declared.
    pub fn retain_services(&mut self, is_declared: impl Fn(&id::Service) -> bool) {
        self.services.retain(|service, _| is_declared(service));
    }

    /// Lets the pending order of a VM end soon, after the VM has answered that it has no effect. The
    /// registration that the order followed from may be out of date for a moment.
    pub fn defer_order(&mut self, vm: &str, order: &Order, now: moment::Moment) {
        if let Order::Stage { .. } = order {
            if let Some(staging) = self.staging_mut(vm) {
                staging.is_refused = true;
            }
        } else if let Some((_, at)) = self.shared.pending.get_mut(vm) {
            *at = now.before(ORDER_TIMEOUT - REFUSED_DELAY);
        }
    }

    /// Records that the latest order of a VM was not answered. The VM may get an order again. The
    /// unanswered one may still be carried out, also after later ones; a join of an earlier epoch
    /// only as long as the VM has not carried out a later join.
    pub fn mark_unanswered(&mut self, vm: &id::Vm, order: &Order, now: moment::Moment) {
        if let Order::Stage { .. } = order {
            if let Some(staging) = self.staging_mut(vm.as_str()) {
                staging.is_unanswered = true;
            }
            return;
        }
        let Some((order, at)) = self.shared.pending.get_mut(vm) else { return };
        *at = now.before(ORDER_TIMEOUT);
        let (epoch, is_join) = match order {
            Order::Join { epoch, .. } => (*epoch, true),
            Order::Open { epoch, .. } => (*epoch, false),
            _ => return,
        };
        let Some(join) = self.shared.joins.get_mut(vm).filter(|join| join.epoch == epoch) else {
            return;
        };
        if is_join {
            join.is_unanswered = true;
            join.late_until = now + LATEST_EXECUTION;
        } else if now < join.late_until {
            self.shared.reopening.insert(vm.clone(), (epoch, join.late_until));
        }
    }

    fn staging_mut(&mut self, vm: &str) -> Option<&mut Staging> {
        self.services.values_mut().find_map(|service| service.staging.get_mut(vm))
    }

    /// The state for a decision for one service.
    pub(super) fn pass(&mut self, service: &id::Service) -> Pass<'_> {
        let others = self.services.iter().filter(|(other, _)| *other != service);
        let loads = |service: &Service| service.loading.len() + service.staging.len();
        let loading_elsewhere = others.map(|(_, other)| loads(other)).sum();
        let service = self.services.entry(service.clone()).or_default();
        Pass { shared: &mut self.shared, service, loading_elsewhere }
    }
}

/// What a decision knows.
impl<'s> Known<'s> {
    /// The planned groups of the service by name.
    pub(super) fn plans(self) -> &'s collections::BTreeMap<id::Group, Plan> {
        &self.service.plans
    }

    /// VMs of the service that load a model on their own.
    pub(super) fn loading(self) -> &'s collections::BTreeMap<id::Vm, Loading> {
        &self.service.loading
    }

    /// VMs of the service that stage a model.
    pub(super) fn staging(self) -> &'s collections::BTreeMap<id::Vm, Staging> {
        &self.service.staging
    }

    /// Changes of the model of VMs in progress.
    pub(super) fn changes(self) -> &'s [Change] {
        &self.service.changes
    }

    /// The model that a VM is to serve next, once its weights are staged and its group is closed.
    pub(super) fn next_model(self, vm: &str) -> Option<&'s id::Model> {
        let change = self.service.changes.iter().find(|change| change.vms.contains(vm))?;
        change.converting.map(|_| &change.to)
    }

    /// What is known of the demand for a model.
    pub(super) fn measured(self, model: &id::Model) -> rate::Measured {
        self.service.measured.get(model).cloned().unwrap_or_default()
    }

    /// Whether a VM is part of a change.
    pub(super) fn is_changing(self, vm: &str) -> bool {
        self.service.changes.iter().any(|change| change.vms.contains(vm))
    }

    /// Whether no change from a model may begin, as one has been given up a short time before.
    pub(super) fn is_paused(self, from: &id::Model, now: moment::Moment) -> bool {
        self.service.paused.get(from).is_some_and(|until| now < *until)
    }

    /// Time since the VM became free; zero if it is not free.
    pub(super) fn idle_time(self, vm: &str, now: moment::Moment) -> time::Duration {
        let since = self.service.free_since.get(vm);
        since.map_or(time::Duration::ZERO, |since| now.since(*since))
    }

    /// Whether an order to the VM is pending: without a visible effect and not timed out.
    pub(super) fn is_pending(self, vm: &str, now: moment::Moment) -> bool {
        self.shared.pending.get(vm).is_some_and(|(_, at)| now < *at + ORDER_TIMEOUT)
    }

    /// Whether the latest join that the VM was ordered is of this epoch and got no answer.
    pub(super) fn is_join_unanswered(self, vm: &str, epoch: u64) -> bool {
        self.shared.joins.get(vm).is_some_and(|join| join.epoch == epoch && join.is_unanswered)
    }

    /// Whether the VM was ordered to join another group after that of this epoch.
    pub(super) fn has_later_join(self, vm: &str, epoch: u64) -> bool {
        self.shared.joins.get(vm).is_some_and(|join| join.epoch > epoch)
    }

    /// Whether the head of a group of this epoch may become its member and open it again by orders that
    /// got no answer. It no longer may once it has carried out a join of a later epoch, nor is that
    /// asked of a member of another plan, whose join has a later epoch.
    pub(super) fn may_reopen(self, head: &Vm<'_>, epoch: u64, now: moment::Moment) -> bool {
        let id = &head.upstream.id;
        let is_later = |member: &upstream::Member| member.epoch > epoch;
        let is_planned = || self.plans().values().any(|plan| plan.members.contains(id));
        let reopening = self.shared.reopening.get(id);
        reopening.is_some_and(|(of, until)| *of == epoch && now < *until)
            && !head.member().is_some_and(is_later)
            && !is_planned()
    }

    /// Whether the epoch was given by an earlier holder of the lease.
    pub(super) fn is_of_earlier_token(self, epoch: u64) -> bool {
        epoch < self.shared.token * EPOCHS_PER_TOKEN
    }
}

/// What a decision changes.
impl Pass<'_> {
    pub(super) fn known(&self) -> Known<'_> {
        Known { shared: self.shared, service: self.service }
    }

    pub(super) fn plans_mut(&mut self) -> &mut collections::BTreeMap<id::Group, Plan> {
        &mut self.service.plans
    }

    /// Number of VMs of other services that load or stage a model from the weight store, which all
    /// share.
    pub(super) fn loading_elsewhere(&self) -> usize {
        self.loading_elsewhere
    }

    /// Returns an epoch above all earlier ones, including those of earlier fencing tokens.
    pub(super) fn next_epoch(&mut self) -> u64 {
        self.shared.used_epochs += 1;
        self.shared.token * EPOCHS_PER_TOKEN + self.shared.used_epochs
    }

    /// Since when a registered group without a plan has lacked members; `now` if it was complete
    /// or unknown before.
    pub(super) fn incomplete_since(
        &mut self,
        group: &id::Group,
        now: moment::Moment,
    ) -> moment::Moment {
        *self.service.incomplete.entry(group.clone()).or_insert(now)
    }

    /// Forgets the groups without a plan that `keep` rejects.
    pub(super) fn retain_incomplete(&mut self, mut keep: impl FnMut(&id::Group) -> bool) {
        self.service.incomplete.retain(|group, _| keep(group));
    }

    /// The composition of the domains by [`Outlook::compose`]. It is computed again only when the
    /// domains or the targets have changed, as it takes long with many domains.
    pub(super) fn composition(&mut self, outlook: &Outlook<'_>, rooms: &[Room]) -> Vec<Vec<usize>> {
        let is_current =
            |known: &&Composed| known.rooms == rooms && known.targets == outlook.targets();
        if let Some(known) = self.service.composed.as_ref().filter(is_current) {
            return known.counts.clone();
        }
        let counts = outlook.compose(rooms);
        self.service.composed = Some(Composed {
            rooms: rooms.to_vec(),
            targets: outlook.targets().to_vec(),
            counts: counts.clone(),
        });
        counts
    }

    /// Records an order as issued; the VM gets no other one until the effect shows or the time-out
    /// has passed.
    pub(super) fn issue(&mut self, vm: &id::Vm, order: Order, now: moment::Moment) -> Step {
        if let Order::Join { epoch, .. } = order {
            let earlier = self.shared.joins.get(vm).filter(|join| join.epoch == epoch);
            let late_until = earlier.map_or(moment::Moment::ZERO, |join| join.late_until);
            let join = Join { epoch, issued: now, is_unanswered: false, late_until };
            self.shared.joins.insert(vm.clone(), join);
        }
        self.shared.pending.insert(vm.clone(), (order.clone(), now));
        Step { vm: vm.clone(), order }
    }

    /// Records that a VM starts to load a model.
    pub(super) fn start_load(
        &mut self,
        vm: &id::Vm,
        model: &id::Model,
        until: moment::Moment,
        now: moment::Moment,
    ) {
        self.service.loading.insert(vm.clone(), Loading { model: model.clone(), until });
        self.shared.load_starts.push_back(now);
        self.shared.loads += 1;
    }

    /// Records that a VM starts to stage a model, and returns the order. The VM may get other orders
    /// meanwhile.
    pub(super) fn stage(
        &mut self,
        vm: &Vm<'_>,
        model: &id::Model,
        until: moment::Moment,
        now: moment::Moment,
    ) -> Step {
        let staging = Staging {
            model: model.clone(),
            issued: now,
            until,
            incarnation: vm.upstream.incarnation,
            is_unanswered: false,
            is_refused: false,
        };
        self.service.staging.insert(vm.upstream.id.clone(), staging);
        self.shared.load_starts.push_back(now);
        self.shared.loads += 1;
        Step { vm: vm.upstream.id.clone(), order: Order::Stage { model: model.clone() } }
    }

    /// What is known of the demand for each model.
    pub(super) fn measured_mut(&mut self) -> &mut collections::BTreeMap<id::Model, rate::Measured> {
        &mut self.service.measured
    }

    /// Changes of the model of VMs in progress.
    pub(super) fn changes_mut(&mut self) -> &mut Vec<Change> {
        &mut self.service.changes
    }

    /// Whether each zone has at least half of the VMs that it had lately; otherwise, it may be cut off
    /// from the store.
    pub(super) fn has_all_zones(&mut self, vms: &[Vm<'_>], now: moment::Moment) -> bool {
        let mut counts = collections::BTreeMap::<&id::Zone, usize>::new();
        for vm in vms {
            *counts.entry(&vm.upstream.zone).or_default() += 1;
        }
        let zones = &mut self.service.zones;
        zones.retain(|_, (_, at)| now.since(*at) < ZONE_MEMORY);
        for (zone, count) in &counts {
            let known = zones.get(*zone).is_some_and(|(largest, _)| largest > count);
            if !known {
                zones.insert((*zone).clone(), (*count, now));
            }
        }
        let present = |zone: &id::Zone| counts.get(zone).copied().unwrap_or(0);
        zones.iter().all(|(zone, (largest, _))| present(zone) * 2 >= *largest)
    }

    /// Records what has become of a change.
    pub(super) fn record(&mut self, event: Event) {
        self.shared.events.push(event);
    }

    /// Lets no change from a model begin until a time.
    pub(super) fn pause(&mut self, from: &id::Model, until: moment::Moment) {
        self.service.paused.insert(from.clone(), until);
    }

    /// Since when a change from one model to another has been worth its cost; forgets the pairs that
    /// are not among `worth`.
    pub(super) fn worth_since(
        &mut self,
        worth: &[(id::Model, id::Model)],
        now: moment::Moment,
    ) -> &collections::BTreeMap<(id::Model, id::Model), moment::Moment> {
        let since = &mut self.service.worth_since;
        since.retain(|pair, _| worth.contains(pair));
        for pair in worth {
            since.entry(pair.clone()).or_insert(now);
        }
        since
    }

    /// Number of loads that were started in the second before `now`, for all services.
    pub(super) fn recent_loads(&mut self, now: moment::Moment) -> usize {
        let starts = &mut self.shared.load_starts;
        while starts.front().is_some_and(|at| now.since(*at).as_secs_f64() >= 1.0) {
            starts.pop_front();
        }
        starts.len()
    }

    /// Drops pending orders whose effect shows in the registrations, and those that have timed out.
    pub(super) fn observe(&mut self, fleet: &fleet::Fleet, now: moment::Moment) {
        self.shared.pending.retain(|vm, (order, at)| {
            now < *at + ORDER_TIMEOUT
                && fleet.get(vm.as_str()).is_some_and(|upstream| !order.has_effect(upstream))
        });
        self.shared.reopening.retain(|_, (_, until)| now < *until);
        self.shared.joins.retain(|vm, join| {
            fleet.get(vm.as_str()).is_some() || now.since(join.issued) < LATEST_EXECUTION
        });
    }

    /// Drops loads that have ended or did not begin, and records since when VMs are free. `vms` are all
    /// VMs of the service.
    pub(super) fn retain(&mut self, vms: &[Vm<'_>], now: moment::Moment) {
        let known: collections::BTreeMap<&str, &Vm<'_>> =
            vms.iter().map(|vm| (vm.upstream.id.as_str(), vm)).collect();
        let Self { shared, service, .. } = self;
        let is_pending =
            |vm: &id::Vm| shared.pending.get(vm).is_some_and(|(_, at)| now < *at + ORDER_TIMEOUT);
        service.loading.retain(|id, load| {
            known.get(id.as_str()).is_some_and(|vm| {
                now < load.until
                    && !vm.has(&load.model)
                    && vm.role != Role::Unusable
                    && (vm.is_joining() || is_pending(id))
            })
        });
        let changes = &service.changes;
        let is_changing = |id: &id::Vm| changes.iter().any(|change| change.vms.contains(id));
        service.staging.retain(|id, staging| {
            known.get(id.as_str()).is_some_and(|vm| {
                let lasts = now < staging.until && vm.upstream.incarnation == staging.incarnation;
                // An order without an answer may still be carried out, but may be repeated.
                let is_over = staging.is_refused && !is_changing(id);
                lasts && !is_over && !vm.has_staged(&staging.model)
            })
        });
        service
            .free_since
            .retain(|id, _| known.get(id.as_str()).is_some_and(|vm| vm.role == Role::Spare));
        for vm in vms.iter().filter(|vm| vm.role == Role::Spare) {
            service.free_since.entry(vm.upstream.id.clone()).or_insert(now);
        }
    }
}
