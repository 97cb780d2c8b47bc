//! What the node that forms groups remembers between two decisions.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{Host, Order, Role, Step};
use crate::{fleet, id};

/// Epochs that one holder of a token may use.
const EPOCHS_PER_TOKEN: u64 = 100_000;

/// Time within which the effect of an order shows; after it the order counts as lost.
pub(super) const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Plans and orders that have not shown their effect yet.
#[derive(Clone, Debug)]
pub struct State {
    token: u64,
    used: u64,
    plans: collections::BTreeMap<id::Group, Plan>,
    /// Standby VMs that load, with the model and the time until which they may take.
    loading: collections::BTreeMap<id::Vm, Loading>,
    /// The latest order of each VM and when it was given, until the effect shows.
    ordered: collections::BTreeMap<id::Vm, (Order, moment::Moment)>,
    /// Since when each VM has stood by.
    idle: collections::BTreeMap<id::Vm, moment::Moment>,
    /// Starts of loads, for the rate of the weight store.
    starts: collections::VecDeque<moment::Moment>,
}

/// A group that is to be formed or that serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Epoch of its membership.
    pub epoch: u64,
    /// The model.
    pub model: id::Model,
    /// The members; the first is the head.
    pub members: Vec<id::Vm>,
    /// When it was made.
    pub created: moment::Moment,
    /// Until when all members are to have joined.
    pub join_deadline: moment::Moment,
    /// When the head was told to open.
    pub opened: Option<moment::Moment>,
    /// Whether it is to be dissolved.
    pub is_dissolving: bool,
}

/// A VM that loads a model on its own.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub(super) model: id::Model,
    /// Until when the load counts as in progress.
    pub(super) until: moment::Moment,
}

impl State {
    /// Opens the memory of the holder of a fencing token.
    pub fn new(token: u64) -> Self {
        Self {
            token,
            used: 0,
            plans: collections::BTreeMap::new(),
            loading: collections::BTreeMap::new(),
            ordered: collections::BTreeMap::new(),
            idle: collections::BTreeMap::new(),
            starts: collections::VecDeque::new(),
        }
    }

    /// The fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// The plans by group.
    pub fn plans(&self) -> &collections::BTreeMap<id::Group, Plan> {
        &self.plans
    }

    /// An epoch above all earlier ones, of this holder and of those before it.
    pub(super) fn next_epoch(&mut self) -> u64 {
        self.used += 1;
        self.token * EPOCHS_PER_TOKEN + self.used
    }

    pub(super) fn plans_mut(&mut self) -> &mut collections::BTreeMap<id::Group, Plan> {
        &mut self.plans
    }

    pub(super) fn loading(&self) -> &collections::BTreeMap<id::Vm, Loading> {
        &self.loading
    }

    /// Notes the order of a step; the VM gets no other one until its effect shows.
    pub(super) fn order(&mut self, vm: &id::Vm, order: Order, now: moment::Moment) -> Step {
        self.ordered.insert(vm.clone(), (order.clone(), now));
        Step { vm: vm.clone(), order }
    }

    /// Notes that a VM begins to load a model.
    pub(super) fn load(
        &mut self,
        vm: &id::Vm,
        model: &id::Model,
        until: moment::Moment,
        now: moment::Moment,
    ) {
        self.loading.insert(vm.clone(), Loading { model: model.clone(), until });
        self.starts.push_back(now);
    }

    /// Loads that have has_traffic in the second before `now`.
    pub(super) fn starts(&mut self, now: moment::Moment) -> usize {
        while self.starts.front().is_some_and(|at| now.since(*at).as_secs_f64() >= 1.0) {
            self.starts.pop_front();
        }
        self.starts.len()
    }

    /// Time for which a VM has stood by.
    pub(super) fn idle(&self, vm: &str, now: moment::Moment) -> time::Duration {
        self.idle.get(vm).map_or(time::Duration::ZERO, |since| now.since(*since))
    }

    /// Whether an order to the VM has not shown its effect yet.
    pub(super) fn is_ordered(&self, vm: &str, now: moment::Moment) -> bool {
        self.ordered.get(vm).is_some_and(|(_, at)| now < *at + ORDER_TIMEOUT)
    }

    /// Notes that the order of a VM has ended without effect.
    pub fn discard_order(&mut self, vm: &str) {
        self.ordered.remove(vm);
    }

    /// Forgets orders whose effect shows in the registrations.
    pub(super) fn observe(&mut self, fleet: &fleet::Fleet, now: moment::Moment) {
        self.ordered.retain(|vm, (order, at)| {
            now < *at + ORDER_TIMEOUT
                && fleet.get(vm.as_str()).is_some_and(|upstream| !order.has_effect(upstream))
        });
    }

    /// Forgets loads that have ended, and notes which VMs stand by.
    pub(super) fn retain(&mut self, hosts: &[Host<'_>], now: moment::Moment) {
        let known: collections::BTreeMap<&str, &Host<'_>> =
            hosts.iter().map(|host| (host.upstream.id.as_str(), host)).collect();
        self.loading.retain(|vm, load| {
            known.get(vm.as_str()).is_some_and(|host| {
                now < load.until && !host.has(&load.model) && host.role != Role::Unusable
            })
        });
        self.idle
            .retain(|vm, _| known.get(vm.as_str()).is_some_and(|host| host.role == Role::Spare));
        for host in hosts.iter().filter(|host| host.role == Role::Spare) {
            self.idle.entry(host.upstream.id.clone()).or_insert(now);
        }
    }
}
