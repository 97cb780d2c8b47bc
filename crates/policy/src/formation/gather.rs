//! Groups that are formed from free VMs.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{
    Host, Memory, Need, Order, Plan, Role, Step, Supply, View,
    compose::{self, compose},
    home::{self, Home},
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
    memory: &mut Memory,
    now: moment::Moment,
) -> Vec<Step> {
    let models = &view.engine.models;
    let mut needs: Vec<Need> =
        models.iter().map(|model| need(view, model, hosts.len(), memory)).collect();
    let mut steps = Vec::new();
    let mut wanted = Vec::new();
    let domains = domains(hosts, memory);
    let homes = home::assign(domains.keys().copied(), models, &needs);
    for (fabric, domain) in &domains {
        let supply = supply(domain, models, memory);
        let home = match present(&supply, models) {
            Some(home) if view.begun => home,
            _ => homes[fabric],
        };
        // VMs with another model load that of their domain while loads are short.
        let usable = if view.begun { supply.clone() } else { home.only(&supply) };
        let counts = compose(&usable, models, &needs);
        let mut left = supply;
        for (place, model) in models.iter().enumerate() {
            let mut free = members_for(domain, model, now, memory).into_iter();
            for _ in 0..counts[place] {
                let members: Vec<_> = free.by_ref().take(compose::size(model)).collect();
                if members.len() < compose::size(model) {
                    break;
                }
                steps.extend(form(model, &members, memory, now));
            }
            left.loaded[place] -= counts[place] * compose::size(model);
            left.groups[place] += counts[place];
            needs[place].standing += counts[place];
        }
        wanted.extend(load::wanted(view, domain, &left, &needs, home, memory, now));
    }
    steps.extend(load::steps(view, hosts, wanted, memory, now));
    steps
}

/// The model that the most VMs of a domain have.
fn present(supply: &Supply, models: &[deployment::Model]) -> Option<Home> {
    let vms = |place: usize| {
        supply.groups[place] * compose::size(&models[place])
            + supply.loaded[place]
            + supply.coming[place]
    };
    (0..models.len())
        .filter(|place| vms(*place) > 0)
        .max_by_key(|place| vms(*place))
        .map(Home::Model)
}

/// How many groups of a model there are and are needed.
///
/// Before requests come, the published shares of the work tell; then the demand does.
fn need(view: &View<'_>, model: &deployment::Model, vms: usize, memory: &Memory) -> Need {
    let plans = memory.plans().values();
    let standing = plans.filter(|plan| !plan.is_ending && plan.model == model.name).count();
    let usual = vms as f64 * model.share * SHARE_USED / compose::size(model) as f64;
    let target = if view.begun {
        let asked = view.demand.get(&model.name).copied().unwrap_or_default();
        demand::groups(view.engine, model.pace, &asked).max(usual * MIN_TARGET)
    } else {
        usual
    };
    Need { standing, target }
}

fn domains<'h, 'a>(
    hosts: &'h [Host<'a>],
    memory: &Memory,
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
                let led = memory.plans().values().find(|plan| {
                    !plan.is_ending && plan.members.first() == Some(&host.upstream.id)
                });
                domain.groups.extend(led.map(|plan| plan.model.clone()));
            }
            _ => {}
        }
    }
    domains
}

fn supply(domain: &Domain<'_, '_>, models: &[deployment::Model], memory: &Memory) -> Supply {
    let loaded = |model: &deployment::Model| {
        domain.spares.iter().filter(|host| has_first(host, model, models)).count()
    };
    let comes = |host: &Host<'_>, model: &deployment::Model| {
        let loading = memory.loading().get(&host.upstream.id);
        loading.is_some_and(|loading| loading.model == model.name)
    };
    let coming =
        |model: &deployment::Model| domain.loading.iter().filter(|host| comes(host, model)).count();
    let groups = |model: &deployment::Model| {
        domain.groups.iter().filter(|name| **name == model.name).count()
    };
    Supply {
        loaded: models.iter().map(loaded).collect(),
        coming: models.iter().map(coming).collect(),
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
    memory: &Memory,
) -> Vec<&'h Host<'a>> {
    let mut free: Vec<_> = domain
        .spares
        .iter()
        .copied()
        .filter(|host| host.has(&model.name))
        .filter(|host| !memory.is_ordered(host.upstream.id.as_str(), now))
        .collect();
    free.sort_by_key(|host| (!host.stands_by(&model.name), host.upstream.id.clone()));
    free
}

fn form(
    model: &deployment::Model,
    members: &[&Host<'_>],
    memory: &mut Memory,
    now: moment::Moment,
) -> Vec<Step> {
    let epoch = memory.next_epoch();
    let group: id::Group = format!("{SERVING}{epoch}").as_str().into();
    let ids: Vec<id::Vm> = members.iter().map(|host| host.upstream.id.clone()).collect();
    let plan = Plan {
        epoch,
        model: model.name.clone(),
        members: ids.clone(),
        made: now,
        due: now + model.warm + JOIN_SLACK,
        opened: None,
        is_ending: false,
    };
    memory.plans_mut().insert(group.clone(), plan);
    ids.iter()
        .map(|vm| {
            let order = Order::Join {
                group: group.clone(),
                epoch,
                model: model.name.clone(),
                members: ids.clone(),
            };
            memory.order(vm, order, now)
        })
        .collect()
}
