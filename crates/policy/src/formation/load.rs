//! Chooses which free VMs load which model, so that groups can be formed and replaced.

use std::time;

use corneltrestle_time::moment;

use super::{
    Order, Role, Step, View,
    assemble::{self, Domain},
    outlook::{self, Outlook},
    state::{Known, Pass},
    vm::{STANDBY, Vm},
};
use crate::{deployment, id};

/// Factor on the published load time after which a load counts as failed. Concurrent loads take
/// longer than the published time.
pub(super) const TIMEOUT_FACTOR: f64 = 4.0;

/// Fraction of the weight store's rate limit that is used, so that repeated orders stay below it.
const RATE_FRACTION: f64 = 0.8;

/// Time that a spare VM must be free before it may load another model.
const MIN_IDLE: time::Duration = time::Duration::from_secs(3);

/// A candidate load.
#[derive(Clone, Debug)]
pub(super) struct Load {
    vm: id::Vm,
    model: id::Model,
    /// Published load time, without concurrent loads.
    time: time::Duration,
    /// Change of the value of all groups, divided by the number of loads that it needs.
    value: f64,
}

/// Returns the candidate loads after the first request, over all domains.
///
/// Empty VMs load the models that add most value for each load. Without an empty VM, a spare VM
/// loads the model of a group that lacks a single member.
pub(super) fn wanted(
    domains: &[Domain<'_, '_>],
    outlook: &Outlook<'_>,
    models: &[deployment::Model],
    known: Known<'_>,
    now: moment::Moment,
) -> Vec<Load> {
    let expected = |index: usize| {
        domains.iter().map(|domain| outlook.groups(index, domain.counts[index])).sum::<f64>()
    };
    let mut totals: Vec<f64> = (0..models.len()).map(expected).collect();
    let mut loads = Vec::new();
    for domain in domains {
        let mut counts = domain.counts.clone();
        let mut empty = domain.empty.as_slice();
        while let Some((index, number, value)) = best_load(&counts, &totals, empty.len(), outlook) {
            let (chosen, rest) = empty.split_at(number);
            loads.extend(chosen.iter().map(|vm| load(vm, &models[index], value)));
            totals[index] += outlook.groups(index, counts[index] + number)
                - outlook.groups(index, counts[index]);
            counts[index] += number;
            empty = rest;
        }
        if domain.empty.is_empty() {
            loads.extend(switch(domain, &totals, outlook, models, known, now));
        }
    }
    loads
}

/// The model whose groups gain most value for each load by up to `empty` VMs of a domain, with the
/// number of these loads and the value of each; `None` without empty VMs.
fn best_load(
    counts: &[usize],
    totals: &[f64],
    empty: usize,
    outlook: &Outlook<'_>,
) -> Option<(usize, usize, f64)> {
    let most = empty.min(outlook.largest_group());
    let choices = (0..counts.len()).flat_map(|index| (1..=most).map(move |n| (index, n)));
    choices
        .map(|(index, number)| {
            let gain = outlook.gain(index, totals[index], counts[index], counts[index] + number);
            (index, number, gain / number as f64)
        })
        .max_by(|a, b| a.2.total_cmp(&b.2))
}

/// Loads before the first request: VMs load the models of which their domain has fewer VMs than
/// `wanted`, by model.
pub(super) fn initial(
    domain: &Domain<'_, '_>,
    wanted: &[usize],
    models: &[deployment::Model],
    known: Known<'_>,
) -> Vec<Load> {
    let mut counts = domain.counts.clone();
    let lacking = |counts: &[usize]| {
        let lacks = |index: &usize| wanted[*index].saturating_sub(counts[*index]);
        (0..models.len()).max_by_key(lacks).filter(|index| lacks(index) > 0)
    };
    let mut loads = Vec::new();
    for vm in &domain.empty {
        let Some(index) = lacking(&counts) else { break };
        counts[index] += 1;
        loads.push(load(vm, &models[index], 0.0));
    }
    for vm in &domain.spares {
        let Some(from) = assemble::model_of(vm, models, known) else { continue };
        let Some(index) = lacking(&counts) else { break };
        if counts[from] > wanted[from] {
            counts[from] -= 1;
            counts[index] += 1;
            loads.push(load(vm, &models[index], 0.0));
        }
    }
    loads
}

/// The load by which one idle spare VM completes a group of another model, if that adds value.
fn switch(
    domain: &Domain<'_, '_>,
    totals: &[f64],
    outlook: &Outlook<'_>,
    models: &[deployment::Model],
    known: Known<'_>,
    now: moment::Moment,
) -> Option<Load> {
    let counts = &domain.counts;
    let completes = |index: usize| {
        let size = outlook::size(&models[index]);
        domain.loaded[index] + 1 == size && domain.loading[index] == 0
    };
    let spare = |from: usize| {
        domain.spares.iter().find(|vm| {
            assemble::model_of(vm, models, known) == Some(from)
                && !known.is_changing(vm.upstream.id.as_str())
                && known.idle_time(vm.upstream.id.as_str(), now) >= MIN_IDLE
        })
    };
    let pairs = (0..models.len()).flat_map(|from| (0..models.len()).map(move |to| (from, to)));
    let (from, to, value) = pairs
        .filter(|(from, to)| from != to && completes(*to) && spare(*from).is_some())
        .map(|(from, to)| {
            let lost = outlook.gain(from, totals[from], counts[from], counts[from] - 1);
            let won = outlook.gain(to, totals[to], counts[to], counts[to] + 1);
            (from, to, lost + won)
        })
        .filter(|(.., value)| *value > 0.0)
        .max_by(|a, b| a.2.total_cmp(&b.2))?;
    spare(from).map(|vm| load(vm, &models[to], value))
}

fn load(vm: &Vm<'_>, model: &deployment::Model, value: f64) -> Load {
    let (vm, time) = (vm.upstream.id.clone(), model.load);
    Load { vm, model: model.name.clone(), time, value }
}

/// Returns the orders for the most valuable loads that may start now.
pub(super) fn steps(
    view: &View<'_>,
    vms: &[Vm<'_>],
    mut wanted: Vec<Load>,
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Vec<Step> {
    wanted.sort_by(|a, b| b.value.total_cmp(&a.value));
    let own = vms.iter().filter(|vm| vm.role == Role::Loading).count();
    let mut loading = own + pass.known().staging().len() + pass.loading_elsewhere();
    let mut steps = Vec::new();
    for load in wanted {
        // A VM that has just been ordered to join a new group is still among the candidates.
        if pass.known().is_pending(load.vm.as_str(), now) {
            continue;
        }
        if view.has_traffic && !may_start(loading, &view.engine.load_limits, pass, now) {
            continue;
        }
        loading += 1;
        steps.push(step(&load, pass, now));
    }
    steps
}

/// Orders a VM that has the weights of a model to join a standby group with it, which makes the VM
/// refuse joins of earlier epochs; `None` while the weight store allows no load, as the VM may have
/// lost the weights.
pub(super) fn standby(
    view: &View<'_>,
    vm: &id::Vm,
    model: &id::Model,
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Option<Step> {
    let limits = &view.engine.load_limits;
    let known = pass.known();
    let loading = pass.loading_elsewhere() + known.loading().len() + known.staging().len();
    if view.has_traffic && !may_start(loading, limits, pass, now) {
        return None;
    }
    let time = view.engine.model(model.as_str())?.load;
    let load = Load { vm: vm.clone(), model: model.clone(), time, value: 0.0 };
    Some(step(&load, pass, now))
}

/// Whether the limits of the weight store allow one more load beside `loading` running ones.
pub(super) fn may_start(
    loading: usize,
    limits: &deployment::LoadLimits,
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> bool {
    let parallel = usize::try_from(limits.parallel.max(1)).unwrap_or(usize::MAX);
    let rate = (limits.rate * RATE_FRACTION).max(1.0) as usize;
    loading < parallel && pass.recent_loads(now) < rate
}

fn step(load: &Load, pass: &mut Pass<'_>, now: moment::Moment) -> Step {
    let epoch = pass.next_epoch();
    let group: id::Group = format!("{STANDBY}{epoch}").as_str().into();
    pass.start_load(&load.vm, &load.model, now + load.time.mul_f64(TIMEOUT_FACTOR), now);
    let model = load.model.clone();
    let order = Order::Join { group, epoch, model, members: vec![load.vm.clone()] };
    pass.issue(&load.vm, order, now)
}
