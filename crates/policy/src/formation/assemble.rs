//! Groups that are formed from free VMs.

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

/// Time that the members of a new group get to join, beyond the time that a join takes.
const JOIN_SLACK: time::Duration = time::Duration::from_millis(1_500);

/// Part of the VMs that the first groups use; the others stand by.
const SHARE_USED: f64 = 0.8;

/// Least target of a model, as part of the target before requests came.
const MIN_TARGET: f64 = 0.5;

/// The free VMs of one fabric domain.
pub(super) struct Domain<'h, 'a> {
    pub(super) spares: Vec<&'h Host<'a>>,
    pub(super) empty: Vec<&'h Host<'a>>,
    loading: Vec<&'h Host<'a>>,
    /// Models of the groups that serve or are being formed.
    groups: Vec<id::Model>,
}

/// Orders that form groups, and that load models for those to come.
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
        let affinity = match present(&supply, models) {
            Some(affinity) if view.has_traffic => affinity,
            _ => affinities[fabric],
        };
        // VMs with another model load that of their domain while loads are short.
        let usable = if view.has_traffic { supply.clone() } else { affinity.only(&supply) };
        let counts = allocate(&usable, models, &needs);
        let mut left = supply;
        for (place, model) in models.iter().enumerate() {
            let mut free = members_for(domain, model, now, state).into_iter();
            for _ in 0..counts[place] {
                let members: Vec<_> = free.by_ref().take(allocation::size(model)).collect();
                if members.len() < allocation::size(model) {
                    break;
                }
                steps.extend(form(model, &members, state, now));
            }
            left.loaded[place] -= counts[place] * allocation::size(model);
            left.groups[place] += counts[place];
            needs[place].current += counts[place];
        }
        wanted.extend(load::wanted(view, domain, &left, &needs, affinity, state, now));
    }
    steps.extend(load::steps(view, hosts, wanted, state, now));
    steps
}

/// The model that the most VMs of a domain have.
fn present(supply: &Supply, models: &[deployment::Model]) -> Option<Affinity> {
    let vms = |place: usize| {
        supply.groups[place] * allocation::size(&models[place])
            + supply.loaded[place]
            + supply.loading[place]
    };
    (0..models.len())
        .filter(|place| vms(*place) > 0)
        .max_by_key(|place| vms(*place))
        .map(Affinity::Model)
}

/// How many groups of a model there are and are needed.
///
/// Before requests come, the published shares of the work tell; then the demand does.
fn need(view: &View<'_>, model: &deployment::Model, vms: usize, state: &State) -> Need {
    let plans = state.plans().values();
    let current = plans.filter(|plan| !plan.is_dissolving && plan.model == model.name).count();
    let usual = vms as f64 * model.share * SHARE_USED / allocation::size(model) as f64;
    let target = if view.has_traffic {
        let asked = view.demand.get(&model.name).copied().unwrap_or_default();
        demand::required_groups(view.engine, model.pace, &asked).max(usual * MIN_TARGET)
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
                let led = state.plans().values().find(|plan| {
                    !plan.is_dissolving && plan.members.first() == Some(&host.upstream.id)
                });
                domain.groups.extend(led.map(|plan| plan.model.clone()));
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
    let comes = |host: &Host<'_>, model: &deployment::Model| {
        let loading = state.loading().get(&host.upstream.id);
        loading.is_some_and(|loading| loading.model == model.name)
    };
    let loading =
        |model: &deployment::Model| domain.loading.iter().filter(|host| comes(host, model)).count();
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

/// Whether `model` is the first of the models that the host has, so that it is counted once.
fn has_first(host: &Host<'_>, model: &deployment::Model, models: &[deployment::Model]) -> bool {
    models.iter().find(|model| host.has(&model.name)).is_some_and(|first| first.name == model.name)
}

/// Spares that have the model, those that join soonest first.
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
        .filter(|host| !state.is_ordered(host.upstream.id.as_str(), now))
        .collect();
    free.sort_by_key(|host| (!host.stands_by(&model.name), host.upstream.id.clone()));
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
            state.order(vm, order, now)
        })
        .collect()
}
