//! Which VMs load which model, so that groups can be formed and repaired.

use std::time;

use corneltrestle_time::moment;

use super::{
    Need, Order, Role, State, Step, Supply, View,
    affinity::Affinity,
    allocation::size,
    assemble::Domain,
    host::{Host, STANDBY},
};
use crate::{deployment, id};

/// Factor on the published time of a load, after which it counts as failed. Loads that run together
/// take longer.
const LOAD_SLACK: f64 = 4.0;

/// Part of the rate of the weight store that is used, so that repeated orders stay under its limit.
const LOAD_RATE: f64 = 0.8;

/// Time for which a VM has to stand by unused before it may load another model.
const SWITCH_AFTER: time::Duration = time::Duration::from_secs(3);

/// Value of a load that takes a spare of another model, against that of an empty VM.
const SWITCH_VALUE: f64 = 0.6;

/// A load that is wanted.
#[derive(Clone, Debug)]
pub(super) struct Load {
    vm: id::Vm,
    model: id::Model,
    /// Time that it takes alone.
    time: time::Duration,
    /// Value of what it completes, by each load.
    worth: f64,
}

/// Loads of the VMs of a domain.
///
/// Each empty VM goes to the group that gains most by it; those that complete no group stand by.
/// Without an empty VM, a spare whose model lacks too many others for a group loads another model.
/// Before requests come, loads are short, and all VMs load the model that the domain is for.
pub(super) fn wanted(
    view: &View<'_>,
    domain: &Domain<'_, '_>,
    supply: &Supply,
    needs: &[Need],
    affinity: Affinity,
    state: &State,
    now: moment::Moment,
) -> Vec<Load> {
    let models = &view.engine.models;
    if !view.has_traffic {
        return first(domain, supply, affinity, models, state, now);
    }
    if supply.empty == 0 {
        return switch(domain, supply, needs, models, state, now).into_iter().collect();
    }
    let mut left = supply.clone();
    let mut empty = domain.empty.iter();
    let mut loads = Vec::new();
    while let Some((place, missing)) = next_group(&left, needs, models) {
        let worth = needs[place].gain() / missing as f64;
        loads.extend(empty.by_ref().take(missing).map(|host| load(host, &models[place], worth)));
        left.empty -= missing;
        left.loaded[place] = 0;
        left.loading[place] = 0;
        left.groups[place] += 1;
    }
    for host in empty {
        let Some(place) = standby(&left, affinity, models) else { break };
        left.loading[place] += 1;
        loads.push(load(host, &models[place], 0.0));
    }
    loads
}

/// Loads before requests come: of empty VMs, and of spares that have another model than the one
/// that the domain is for.
fn first(
    domain: &Domain<'_, '_>,
    supply: &Supply,
    affinity: Affinity,
    models: &[deployment::Model],
    state: &State,
    now: moment::Moment,
) -> Vec<Load> {
    let mut left = supply.clone();
    let mut loads = Vec::new();
    for host in &domain.empty {
        let Some(place) = standby(&left, affinity, models) else { break };
        left.loading[place] += 1;
        loads.push(load(host, &models[place], 0.0));
    }
    // Those that a new group takes in this round are no longer in the supply.
    let free = |host: &&&Host<'_>| !state.is_ordered(host.upstream.id.as_str(), now);
    for host in domain.spares.iter().filter(free) {
        let Some(from) = models.iter().position(|model| host.has(&model.name)) else { continue };
        left.loaded[from] -= 1;
        match standby(&left, affinity, models) {
            Some(place)
                if place != from
                    && (affinity != Affinity::Shared || is_better(&left, from, place, models)) =>
            {
                left.loading[place] += 1;
                loads.push(load(host, &models[place], 0.0));
            }
            _ => left.loaded[from] += 1,
        }
    }
    loads
}

/// Whether a VM is of more use with the model `to` than with `from`: the domain has at least half a
/// group more of `from`.
fn is_better(supply: &Supply, from: usize, to: usize, models: &[deployment::Model]) -> bool {
    part(supply, from, models) - part(supply, to, models) >= 0.5
}

/// The load of one spare that completes a group of another model.
fn switch(
    domain: &Domain<'_, '_>,
    supply: &Supply,
    needs: &[Need],
    models: &[deployment::Model],
    state: &State,
    now: moment::Moment,
) -> Option<Load> {
    let lacks_one = |place: usize| {
        supply.loaded[place] + supply.loading[place] + 1 == size(&models[place])
            && supply.loading[place] == 0
            && needs[place].gain() >= 1.0
    };
    let place = (0..models.len()).find(|place| lacks_one(*place))?;
    let from = (0..models.len())
        .filter(|other| *other != place && supply.loaded[*other] > 0)
        .min_by_key(|other| supply.groups[*other])?;
    let spare = domain.spares.iter().find(|host| {
        host.has(&models[from].name)
            && !host.has(&models[place].name)
            && state.idle(host.upstream.id.as_str(), now) >= SWITCH_AFTER
    })?;
    Some(load(spare, &models[place], needs[place].gain() * SWITCH_VALUE))
}

fn load(host: &Host<'_>, model: &deployment::Model, worth: f64) -> Load {
    let (vm, time) = (host.upstream.id.clone(), model.load);
    Load { vm, model: model.name.clone(), time, worth }
}

/// The model of which a group can be completed with the loads that gain most, and their number.
fn next_group(
    supply: &Supply,
    needs: &[Need],
    models: &[deployment::Model],
) -> Option<(usize, usize)> {
    let missing = |place: usize| {
        size(&models[place]).saturating_sub(supply.loaded[place] + supply.loading[place])
    };
    (0..models.len())
        .map(|place| (place, missing(place)))
        .filter(|(_, missing)| (1..=supply.empty).contains(missing))
        .max_by(|(a, m), (b, n)| {
            let worth = |place: usize, missing: usize| needs[place].gain() / missing as f64;
            worth(*a, *m).total_cmp(&worth(*b, *n))
        })
}

/// The model for which one more VM is to stand by: the one that the domain is for. In a shared
/// domain it is the one with the fewest VMs for its size.
fn standby(supply: &Supply, affinity: Affinity, models: &[deployment::Model]) -> Option<usize> {
    if let Affinity::Model(place) = affinity {
        return Some(place);
    }
    (0..models.len()).min_by(|a, b| part(supply, *a, models).total_cmp(&part(supply, *b, models)))
}

/// Groups of a model that a domain has, with parts of groups.
fn part(supply: &Supply, place: usize, models: &[deployment::Model]) -> f64 {
    let size = size(&models[place]);
    let vms = supply.groups[place] * size + supply.loading[place] + supply.loaded[place];
    vms as f64 / size as f64
}

/// Orders for the loads that may begin now.
pub(super) fn steps(
    view: &View<'_>,
    hosts: &[Host<'_>],
    mut wanted: Vec<Load>,
    state: &mut State,
    now: moment::Moment,
) -> Vec<Step> {
    wanted.sort_by(|a, b| b.worth.total_cmp(&a.worth));
    let mut loading = hosts.iter().filter(|host| host.role == Role::Loading).count();
    let mut steps = Vec::new();
    for load in wanted {
        // A VM that a new group takes in this round is still among the free ones.
        if state.is_ordered(load.vm.as_str(), now) {
            continue;
        }
        if view.has_traffic && !may_begin(loading, &view.engine.load_limits, state, now) {
            continue;
        }
        loading += 1;
        steps.push(step(&load, state, now));
    }
    steps
}

/// Whether a load may begin beside those that run.
fn may_begin(
    loading: usize,
    limits: &deployment::LoadLimits,
    state: &mut State,
    now: moment::Moment,
) -> bool {
    let parallel = usize::try_from(limits.parallel.max(1)).unwrap_or(usize::MAX);
    let rate = (limits.rate * LOAD_RATE).max(1.0) as usize;
    loading < parallel && state.starts(now) < rate
}

fn step(load: &Load, state: &mut State, now: moment::Moment) -> Step {
    let epoch = state.next_epoch();
    let group: id::Group = format!("{STANDBY}{epoch}").as_str().into();
    state.load(&load.vm, &load.model, now + load.time.mul_f64(LOAD_SLACK), now);
    let model = load.model.clone();
    let order = Order::Join { group, epoch, model, members: vec![load.vm.clone()] };
    state.order(&load.vm, order, now)
}
