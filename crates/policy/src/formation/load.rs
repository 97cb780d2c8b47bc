//! Chooses which free VMs load which model, so that groups can be formed and replaced.

use std::time;

use corneltrestle_time::moment;

use super::{
    Inventory, Order, Role, Scale, State, Step, View,
    affinity::Affinity,
    allocation::size,
    assemble::Domain,
    vm::{STANDBY, Vm},
};
use crate::{deployment, id};

/// Factor on the published load time after which a load counts as failed. Concurrent loads take
/// longer than the published time.
const TIMEOUT_FACTOR: f64 = 4.0;

/// Fraction of the weight store's rate limit that is used, so that repeated orders stay below it.
const RATE_FRACTION: f64 = 0.8;

/// Time that a spare VM must be free before it may load another model.
const MIN_IDLE: time::Duration = time::Duration::from_secs(3);

/// Factor on the value of a load that replaces the model of a spare VM; 1 for an empty VM.
const SWITCH_FACTOR: f64 = 0.6;

/// A candidate load.
#[derive(Clone, Debug)]
pub(super) struct Load {
    vm: id::Vm,
    model: id::Model,
    /// Published load time, without concurrent loads.
    time: time::Duration,
    /// Value of the group that it completes, divided by the number of loads which that group needs.
    value: f64,
}

/// Returns the candidate loads for the VMs of a domain.
///
/// Empty VMs load the models of the groups with the highest value for each load; the remaining ones
/// become standby VMs. Without an empty VM, a spare VM loads the model of a group that lacks a
/// single member. Before the first request, loads are short, and all VMs load the domain's model.
pub(super) fn wanted(
    view: &View<'_>,
    domain: &Domain<'_, '_>,
    inventory: &Inventory,
    scales: &[Scale],
    affinity: Affinity,
    state: &State,
    now: moment::Moment,
) -> Vec<Load> {
    let models = &view.engine.models;
    if !view.has_traffic {
        return initial(domain, inventory, affinity, models, state, now);
    }
    if inventory.empty == 0 {
        return switch(domain, inventory, scales, models, state, now).into_iter().collect();
    }
    let mut left = inventory.clone();
    let mut empty = domain.empty.iter();
    let mut loads = Vec::new();
    while let Some((index, missing)) = next_group(&left, scales, models) {
        let value = scales[index].gain() / missing as f64;
        loads.extend(empty.by_ref().take(missing).map(|vm| load(vm, &models[index], value)));
        left.empty -= missing;
        left.loaded[index] = 0;
        left.loading[index] = 0;
        left.groups[index] += 1;
    }
    for vm in empty {
        let Some(index) = standby(&left, affinity, models) else { break };
        left.loading[index] += 1;
        loads.push(load(vm, &models[index], 0.0));
    }
    loads
}

/// Loads before the first request: of empty VMs, and of spare VMs that have a model other than the
/// domain's one.
fn initial(
    domain: &Domain<'_, '_>,
    inventory: &Inventory,
    affinity: Affinity,
    models: &[deployment::Model],
    state: &State,
    now: moment::Moment,
) -> Vec<Load> {
    let mut left = inventory.clone();
    let mut loads = Vec::new();
    for vm in &domain.empty {
        let Some(index) = standby(&left, affinity, models) else { break };
        left.loading[index] += 1;
        loads.push(load(vm, &models[index], 0.0));
    }
    // VMs that have just been ordered to join a new group are no longer in the inventory.
    let free = |vm: &&&Vm<'_>| !state.is_pending(vm.upstream.id.as_str(), now);
    for vm in domain.spares.iter().filter(free) {
        let Some(from) = models.iter().position(|model| vm.has(&model.name)) else { continue };
        left.loaded[from] -= 1;
        match standby(&left, affinity, models) {
            Some(index)
                if index != from
                    && (affinity != Affinity::Shared || is_better(&left, from, index, models)) =>
            {
                left.loading[index] += 1;
                loads.push(load(vm, &models[index], 0.0));
            }
            _ => left.loaded[from] += 1,
        }
    }
    loads
}

/// Whether a VM with the model `from` should load `to`: the domain has VMs for at least half a
/// group more of `from`.
fn is_better(inventory: &Inventory, from: usize, to: usize, models: &[deployment::Model]) -> bool {
    group_units(inventory, from, models) - group_units(inventory, to, models) >= 0.5
}

/// The load by which one spare VM completes a group of another model, if there is any.
fn switch(
    domain: &Domain<'_, '_>,
    inventory: &Inventory,
    scales: &[Scale],
    models: &[deployment::Model],
    state: &State,
    now: moment::Moment,
) -> Option<Load> {
    let lacks_one = |index: usize| {
        inventory.loaded[index] + inventory.loading[index] + 1 == size(&models[index])
            && inventory.loading[index] == 0
            && scales[index].gain() >= 1.0
    };
    let index = (0..models.len()).find(|index| lacks_one(*index))?;
    let from = (0..models.len())
        .filter(|other| *other != index && inventory.loaded[*other] > 0)
        .min_by_key(|other| inventory.groups[*other])?;
    let spare = domain.spares.iter().find(|vm| {
        vm.has(&models[from].name)
            && !vm.has(&models[index].name)
            && state.idle_time(vm.upstream.id.as_str(), now) >= MIN_IDLE
    })?;
    Some(load(spare, &models[index], scales[index].gain() * SWITCH_FACTOR))
}

fn load(vm: &Vm<'_>, model: &deployment::Model, value: f64) -> Load {
    let (vm, time) = (vm.upstream.id.clone(), model.load);
    Load { vm, model: model.name.clone(), time, value }
}

/// The model whose next group has the highest value for each load, with the number of loads that
/// complete it. Only groups that the empty VMs suffice for are considered.
fn next_group(
    inventory: &Inventory,
    scales: &[Scale],
    models: &[deployment::Model],
) -> Option<(usize, usize)> {
    let missing = |index: usize| {
        size(&models[index]).saturating_sub(inventory.loaded[index] + inventory.loading[index])
    };
    (0..models.len())
        .map(|index| (index, missing(index)))
        .filter(|(_, missing)| (1..=inventory.empty).contains(missing))
        .max_by(|(a, m), (b, n)| {
            let value = |index: usize, missing: usize| scales[index].gain() / missing as f64;
            value(*a, *m).total_cmp(&value(*b, *n))
        })
}

/// The model that the next standby VM loads: the domain's one. In a shared domain it is the model
/// with the fewest VMs in proportion to its group size.
fn standby(
    inventory: &Inventory,
    affinity: Affinity,
    models: &[deployment::Model],
) -> Option<usize> {
    if let Affinity::Model(index) = affinity {
        return Some(index);
    }
    (0..models.len()).min_by(|a, b| {
        group_units(inventory, *a, models).total_cmp(&group_units(inventory, *b, models))
    })
}

/// VMs of the domain that have or load a model, in units of its group size.
fn group_units(inventory: &Inventory, index: usize, models: &[deployment::Model]) -> f64 {
    let size = size(&models[index]);
    let vms = inventory.groups[index] * size + inventory.loading[index] + inventory.loaded[index];
    vms as f64 / size as f64
}

/// Returns the orders for the most valuable loads that may start now.
pub(super) fn steps(
    view: &View<'_>,
    vms: &[Vm<'_>],
    mut wanted: Vec<Load>,
    state: &mut State,
    now: moment::Moment,
) -> Vec<Step> {
    wanted.sort_by(|a, b| b.value.total_cmp(&a.value));
    let mut loading = vms.iter().filter(|vm| vm.role == Role::Loading).count();
    let mut steps = Vec::new();
    for load in wanted {
        // A VM that has just been ordered to join a new group is still among the candidates.
        if state.is_pending(load.vm.as_str(), now) {
            continue;
        }
        if view.has_traffic && !may_start(loading, &view.engine.load_limits, state, now) {
            continue;
        }
        loading += 1;
        steps.push(step(&load, state, now));
    }
    steps
}

/// Whether the limits of the weight store allow one more load beside `loading` running ones.
fn may_start(
    loading: usize,
    limits: &deployment::LoadLimits,
    state: &mut State,
    now: moment::Moment,
) -> bool {
    let parallel = usize::try_from(limits.parallel.max(1)).unwrap_or(usize::MAX);
    let rate = (limits.rate * RATE_FRACTION).max(1.0) as usize;
    loading < parallel && state.recent_loads(now) < rate
}

fn step(load: &Load, state: &mut State, now: moment::Moment) -> Step {
    let epoch = state.next_epoch();
    let group: id::Group = format!("{STANDBY}{epoch}").as_str().into();
    state.start_load(&load.vm, &load.model, now + load.time.mul_f64(TIMEOUT_FACTOR), now);
    let model = load.model.clone();
    let order = Order::Join { group, epoch, model, members: vec![load.vm.clone()] };
    state.issue(&load.vm, order, now)
}
