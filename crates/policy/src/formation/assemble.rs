//! Forms new groups from free VMs, and requests the loads for later ones.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{
    Host, Need, Order, Plan, Role, State, Step, Supply, View,
    affinity::{self, Affinity},
    allocation::{self, allocate},
    host::SERVING,
    load,
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
    pub(super) spares: Vec<&'h Host<'a>>,
    pub(super) empty: Vec<&'h Host<'a>>,
    loading: Vec<&'h Host<'a>>,
    /// Model of each group that serves or is being formed.
    groups: Vec<id::Model>,
}

/// Returns the orders that form new groups and those that load models for later groups.
pub(super) fn steps(
    view: &View<'_>,
    hosts: &[Host<'_>],
    state: &mut State,
    now: moment::Moment,
) -> Vec<Step> {
    let models = &view.engine.models;
    let mut needs: Vec<Need> =
        models.iter().map(|model| need(view, model, hosts.len(), state)).collect();
    let mut steps = Vec::new();
    let mut wanted = Vec::new();
    let domains = domains(hosts, state);
    let affinities = affinity::assign(domains.keys().copied(), models, &needs);
    for (fabric, domain) in &domains {
        let supply = supply(domain, models, state);
        let affinity = match prevailing_model(&supply, models) {
            Some(affinity) if view.has_traffic => affinity,
            _ => affinities[fabric],
        };
        // Before the first request, loads are short: VMs with another model load that of their
        // domain instead of forming a group.
        let usable = if view.has_traffic { supply.clone() } else { affinity.only(&supply) };
        let counts = allocate(&usable, models, &needs);
        let mut left = supply;
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
            needs[index].current += counts[index];
        }
        wanted.extend(load::wanted(view, domain, &left, &needs, affinity, state, now));
    }
    steps.extend(load::steps(view, hosts, wanted, state, now));
    steps
}

/// The model that most VMs of the domain have or are loading.
fn prevailing_model(supply: &Supply, models: &[deployment::Model]) -> Option<Affinity> {
    let vms = |index: usize| {
        supply.groups[index] * allocation::size(&models[index])
            + supply.loaded[index]
            + supply.loading[index]
    };
    (0..models.len())
        .filter(|index| vms(*index) > 0)
        .max_by_key(|index| vms(*index))
        .map(Affinity::Model)
}

/// Existing and needed groups of a model.
///
/// Before the first request, the target follows from the published shares of the models, later from
/// the measured demand.
fn need(view: &View<'_>, model: &deployment::Model, vms: usize, state: &State) -> Need {
    let plans = state.plans().values();
    let current = plans.filter(|plan| !plan.is_dissolving && plan.model == model.name).count();
    let usual = vms as f64 * model.share * ACTIVE_FRACTION / allocation::size(model) as f64;
    let target = if view.has_traffic {
        let demanded = view.demand.get(&model.name).copied().unwrap_or_default();
        demand::required_groups(view.engine, model.pace, &demanded).max(usual * MIN_TARGET_FRACTION)
    } else {
        usual
    };
    Need { current, target }
}

fn domains<'h, 'a>(
    hosts: &'h [Host<'a>],
    state: &State,
) -> collections::BTreeMap<Option<&'h id::Fabric>, Domain<'h, 'a>> {
    let mut domains = collections::BTreeMap::new();
    for host in hosts {
        let domain = domains.entry(host.fabric()).or_insert_with(|| Domain {
            spares: Vec::new(),
            empty: Vec::new(),
            loading: Vec::new(),
            groups: Vec::new(),
        });
        match host.role {
            Role::Spare if !host.is_busy => domain.spares.push(host),
            Role::Empty if !host.is_busy => domain.empty.push(host),
            Role::Loading => domain.loading.push(host),
            Role::Member => {
                let headed = state.plans().values().find(|plan| {
                    !plan.is_dissolving && plan.members.first() == Some(&host.upstream.id)
                });
                domain.groups.extend(headed.map(|plan| plan.model.clone()));
            }
            _ => {}
        }
    }
    domains
}

fn supply(domain: &Domain<'_, '_>, models: &[deployment::Model], state: &State) -> Supply {
    let loaded = |model: &deployment::Model| {
        domain.spares.iter().filter(|host| has_first(host, model, models)).count()
    };
    let is_loading = |host: &Host<'_>, model: &deployment::Model| {
        let loading = state.loading().get(&host.upstream.id);
        loading.is_some_and(|loading| loading.model == model.name)
    };
    let loading = |model: &deployment::Model| {
        domain.loading.iter().filter(|host| is_loading(host, model)).count()
    };
    let groups = |model: &deployment::Model| {
        domain.groups.iter().filter(|name| **name == model.name).count()
    };
    Supply {
        loaded: models.iter().map(loaded).collect(),
        loading: models.iter().map(loading).collect(),
        empty: domain.empty.len(),
        groups: models.iter().map(groups).collect(),
    }
}

/// Whether `model` is the first one of the engine's models that the host has, so that each host is
/// counted once.
fn has_first(host: &Host<'_>, model: &deployment::Model, models: &[deployment::Model]) -> bool {
    models.iter().find(|model| host.has(&model.name)).is_some_and(|first| first.name == model.name)
}

/// Free VMs that have the model, those that can join a group without loading from the host first.
fn members_for<'h, 'a>(
    domain: &Domain<'h, 'a>,
    model: &deployment::Model,
    now: moment::Moment,
    state: &State,
) -> Vec<&'h Host<'a>> {
    let mut free: Vec<_> = domain
        .spares
        .iter()
        .copied()
        .filter(|host| host.has(&model.name))
        .filter(|host| !state.is_pending(host.upstream.id.as_str(), now))
        .collect();
    free.sort_by_key(|host| (!host.is_standby(&model.name), host.upstream.id.clone()));
    free
}

fn form(
    model: &deployment::Model,
    members: &[&Host<'_>],
    state: &mut State,
    now: moment::Moment,
) -> Vec<Step> {
    let epoch = state.next_epoch();
    let group: id::Group = format!("{SERVING}{epoch}").as_str().into();
    let ids: Vec<id::Vm> = members.iter().map(|host| host.upstream.id.clone()).collect();
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
