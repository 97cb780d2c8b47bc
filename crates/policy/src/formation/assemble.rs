//! Forms new groups from free VMs, and requests the loads for later ones.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{
    Inventory, Order, Plan, Role, Scale, State, Step, View, Vm,
    affinity::{self, Affinity},
    allocation::{self, allocate},
    load,
    vm::SERVING,
};
use crate::{demand, deployment, id};

/// Time that the members of a new group get to join, in addition to the model's join time.
const JOIN_SLACK: time::Duration = time::Duration::from_millis(1_500);

/// Fraction of the VMs that the groups formed before the first request use; the others stay spare.
const ACTIVE_FRACTION: f64 = 0.8;

/// Lower limit of the target of a model, as a fraction of its target before the first request.
const MIN_TARGET_FRACTION: f64 = 0.5;

/// VMs and groups of one fabric domain.
pub(super) struct Domain<'h, 'a> {
    pub(super) spares: Vec<&'h Vm<'a>>,
    pub(super) empty: Vec<&'h Vm<'a>>,
    loading: Vec<&'h Vm<'a>>,
    /// Model of each group that serves or is being formed.
    groups: Vec<id::Model>,
}

/// Returns the orders that form new groups and those that load models for later groups.
pub(super) fn steps(
    view: &View<'_>,
    vms: &[Vm<'_>],
    state: &mut State,
    now: moment::Moment,
) -> Vec<Step> {
    let models = &view.engine.models;
    let mut scales: Vec<Scale> =
        models.iter().map(|model| scale(view, model, vms.len(), state)).collect();
    let mut steps = Vec::new();
    let mut wanted = Vec::new();
    let domains = domains(vms, state);
    let affinities = affinity::assign(domains.keys().copied(), models, &scales);
    for (fabric, domain) in &domains {
        let inventory = inventory(domain, models, state);
        let affinity = match prevailing_model(&inventory, models) {
            Some(affinity) if view.has_traffic => affinity,
            _ => affinities[fabric],
        };
        // Before the first request, loads are short: VMs with another model load that of their
        // domain instead of forming a group.
        let usable = if view.has_traffic { inventory.clone() } else { affinity.only(&inventory) };
        let counts = allocate(&usable, models, &scales);
        let mut left = inventory;
        for (index, model) in models.iter().enumerate() {
            let mut free = members_for(domain, model, now, state).into_iter();
            for _ in 0..counts[index] {
                let members: Vec<_> = free.by_ref().take(allocation::size(model)).collect();
                if members.len() < allocation::size(model) {
                    break;
                }
                steps.extend(form(model, &members, state, now));
            }
            left.loaded[index] -= counts[index] * allocation::size(model);
            left.groups[index] += counts[index];
            scales[index].current += counts[index];
        }
        wanted.extend(load::wanted(view, domain, &left, &scales, affinity, state, now));
    }
    steps.extend(load::steps(view, vms, wanted, state, now));
    steps
}

/// The model that most VMs of the domain have or are loading.
fn prevailing_model(inventory: &Inventory, models: &[deployment::Model]) -> Option<Affinity> {
    let vms = |index: usize| {
        inventory.groups[index] * allocation::size(&models[index])
            + inventory.loaded[index]
            + inventory.loading[index]
    };
    (0..models.len())
        .filter(|index| vms(*index) > 0)
        .max_by_key(|index| vms(*index))
        .map(Affinity::Model)
}

/// Current and target number of groups of a model.
///
/// Before the first request, the target follows from the published shares of the models, later from
/// the measured demand.
fn scale(view: &View<'_>, model: &deployment::Model, vms: usize, state: &State) -> Scale {
    let plans = state.plans().values();
    let current = plans.filter(|plan| !plan.is_dissolving && plan.model == model.name).count();
    let usual = vms as f64 * model.share * ACTIVE_FRACTION / allocation::size(model) as f64;
    let target = if view.has_traffic {
        let demanded = view.demand.get(&model.name).copied().unwrap_or_default();
        demand::required_groups(view.engine, model.pace, &demanded).max(usual * MIN_TARGET_FRACTION)
    } else {
        usual
    };
    Scale { current, target }
}

fn domains<'h, 'a>(
    vms: &'h [Vm<'a>],
    state: &State,
) -> collections::BTreeMap<Option<&'h id::Fabric>, Domain<'h, 'a>> {
    let mut domains = collections::BTreeMap::new();
    for vm in vms {
        let domain = domains.entry(vm.fabric()).or_insert_with(|| Domain {
            spares: Vec::new(),
            empty: Vec::new(),
            loading: Vec::new(),
            groups: Vec::new(),
        });
        match vm.role {
            Role::Spare if !vm.is_busy => domain.spares.push(vm),
            Role::Empty if !vm.is_busy => domain.empty.push(vm),
            Role::Loading => domain.loading.push(vm),
            Role::Member => {
                let headed = state.plans().values().find(|plan| {
                    !plan.is_dissolving && plan.members.first() == Some(&vm.upstream.id)
                });
                domain.groups.extend(headed.map(|plan| plan.model.clone()));
            }
            _ => {}
        }
    }
    domains
}

fn inventory(domain: &Domain<'_, '_>, models: &[deployment::Model], state: &State) -> Inventory {
    let loaded = |model: &deployment::Model| {
        domain.spares.iter().filter(|vm| has_first(vm, model, models)).count()
    };
    let is_loading = |vm: &Vm<'_>, model: &deployment::Model| {
        let loading = state.loading().get(&vm.upstream.id);
        loading.is_some_and(|loading| loading.model == model.name)
    };
    let loading = |model: &deployment::Model| {
        domain.loading.iter().filter(|vm| is_loading(vm, model)).count()
    };
    let groups = |model: &deployment::Model| {
        domain.groups.iter().filter(|name| **name == model.name).count()
    };
    Inventory {
        loaded: models.iter().map(loaded).collect(),
        loading: models.iter().map(loading).collect(),
        empty: domain.empty.len(),
        groups: models.iter().map(groups).collect(),
    }
}

/// Whether `model` is the first one of the engine's models that the VM has, so that each VM is
/// counted once.
fn has_first(vm: &Vm<'_>, model: &deployment::Model, models: &[deployment::Model]) -> bool {
    models.iter().find(|model| vm.has(&model.name)).is_some_and(|first| first.name == model.name)
}

/// Free VMs that have the model. Those that have joined a standby group with it come first; they
/// need not load it from the host to join another group.
fn members_for<'h, 'a>(
    domain: &Domain<'h, 'a>,
    model: &deployment::Model,
    now: moment::Moment,
    state: &State,
) -> Vec<&'h Vm<'a>> {
    let mut free: Vec<_> = domain
        .spares
        .iter()
        .copied()
        .filter(|vm| vm.has(&model.name))
        .filter(|vm| !state.is_pending(vm.upstream.id.as_str(), now))
        .collect();
    free.sort_by_key(|vm| (!vm.is_standby(&model.name), vm.upstream.id.clone()));
    free
}

/// Records the plan of a new group and returns the join orders to its members.
fn form(
    model: &deployment::Model,
    members: &[&Vm<'_>],
    state: &mut State,
    now: moment::Moment,
) -> Vec<Step> {
    let epoch = state.next_epoch();
    let group: id::Group = format!("{SERVING}{epoch}").as_str().into();
    let ids: Vec<id::Vm> = members.iter().map(|vm| vm.upstream.id.clone()).collect();
    let plan = Plan {
        epoch,
        model: model.name.clone(),
        members: ids.clone(),
        created: now,
        join_deadline: now + model.warm + JOIN_SLACK,
        opened: None,
        is_dissolving: false,
    };
    state.plans_mut().insert(group.clone(), plan);
    ids.iter()
        .map(|vm| {
            let order = Order::Join {
                group: group.clone(),
                epoch,
                model: model.name.clone(),
                members: ids.clone(),
            };
            state.issue(vm, order, now)
        })
        .collect()
}
