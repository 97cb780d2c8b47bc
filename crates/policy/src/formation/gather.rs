//! Groups that are formed from free VMs, and loads that prepare them.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{
    Host, Memory, Order, Plan, Role, Step, Supply, View, compose,
    host::{SERVING, STANDBY},
};
use crate::{deployment, id};

/// Time that the members of a new group get to join, beyond the time that a join takes.
const JOIN_SLACK: time::Duration = time::Duration::from_millis(1_500);

/// Factor on the published time of a load, after which it counts as failed.
const LOAD_SLACK: f64 = 3.0;

/// Part of the rate of the weight store that is used, so that repeated orders stay under its limit.
const LOAD_RATE: f64 = 0.8;

/// The free VMs of one fabric domain.
struct Domain<'h, 'a> {
    spares: Vec<&'h Host<'a>>,
    empty: Vec<&'h Host<'a>>,
    loading: Vec<&'h Host<'a>>,
    /// Groups that serve or are being formed.
    groups: usize,
}

/// Orders that form groups and load models.
pub(super) fn steps(
    view: &View<'_>,
    hosts: &[Host<'_>],
    memory: &mut Memory,
    now: moment::Moment,
) -> Vec<Step> {
    let models = &view.engine.models;
    let mut standing: Vec<usize> = models
        .iter()
        .map(|model| {
            let plans = memory.plans().values();
            plans.filter(|plan| !plan.is_ending && plan.model == model.name).count()
        })
        .collect();
    let mut steps = Vec::new();
    let mut wanted = Vec::new();
    for domain in domains(hosts, memory).values() {
        let supply = supply(domain, models, memory);
        let counts = compose(&supply, models, &standing);
        for (place, model) in models.iter().enumerate() {
            let mut free = members_for(domain, model, now, memory);
            for _ in 0..counts[place] {
                let size = usize::try_from(model.size).unwrap_or(usize::MAX);
                if free.len() < size {
                    break;
                }
                let members: Vec<_> = free.drain(..size).collect();
                steps.extend(form(model, &members, memory, now));
            }
            standing[place] += counts[place];
        }
        wanted.extend(loads(domain, &supply, &counts, models));
    }
    // Loads that complete a group soonest go first.
    wanted.sort_by_key(|load| load.missing);
    let places = free_places(view, hosts, memory, now);
    for load in wanted.into_iter().take(places) {
        steps.push(load_step(&load, memory, now));
    }
    steps
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
            groups: 0,
        });
        match host.role {
            Role::Spare if !host.is_busy => domain.spares.push(host),
            Role::Empty if !host.is_busy => domain.empty.push(host),
            Role::Loading => domain.loading.push(host),
            Role::Member => {
                let leads = memory
                    .plans()
                    .values()
                    .any(|plan| !plan.is_ending && plan.members.first() == Some(&host.upstream.id));
                domain.groups += usize::from(leads);
            }
            _ => {}
        }
    }
    domains
}

fn supply(domain: &Domain<'_, '_>, models: &[deployment::Model], memory: &Memory) -> Supply {
    let loaded = models
        .iter()
        .map(|model| {
            let spares = domain.spares.iter().filter(|host| has_first(host, model, models));
            let coming = domain.loading.iter().filter(|host| {
                memory
                    .loading()
                    .get(&host.upstream.id)
                    .is_some_and(|loading| loading.model == model.name)
            });
            spares.count() + coming.count()
        })
        .collect();
    Supply { loaded, empty: domain.empty.len(), groups: domain.groups }
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

/// A load that is wanted.
struct Load<'h, 'a> {
    host: &'h Host<'a>,
    model: &'h deployment::Model,
    /// VMs that the group still lacks; those for spares come last.
    missing: usize,
}

/// Loads of empty VMs that the composition lacks, then those of spares.
fn loads<'h, 'a>(
    domain: &Domain<'h, 'a>,
    supply: &Supply,
    counts: &[usize],
    models: &'h [deployment::Model],
) -> Vec<Load<'h, 'a>> {
    let mut empty = domain.empty.iter().copied();
    let mut loads = Vec::new();
    let mut spare = vec![0; models.len()];
    for (place, model) in models.iter().enumerate() {
        let needed = counts[place] * usize::try_from(model.size).unwrap_or(usize::MAX);
        let missing = needed.saturating_sub(supply.loaded[place]);
        spare[place] = supply.loaded[place].saturating_sub(needed);
        for host in empty.by_ref().take(missing) {
            loads.push(Load { host, model, missing });
        }
    }
    // The other VMs stand by; each for the model of which the fewest do.
    for host in empty {
        let Some(place) = (0..models.len()).min_by_key(|place| spare[*place]) else { break };
        spare[place] += 1;
        loads.push(Load { host, model: &models[place], missing: usize::MAX });
    }
    loads
}

/// Loads that may begin now.
fn free_places(
    view: &View<'_>,
    hosts: &[Host<'_>],
    memory: &mut Memory,
    now: moment::Moment,
) -> usize {
    if !view.begun {
        return usize::MAX;
    }
    let engine = view.engine;
    let loading = hosts.iter().filter(|host| host.role == Role::Loading).count();
    let parallel = usize::try_from(engine.loads.parallel.max(1)).unwrap_or(usize::MAX);
    let rate = (engine.loads.rate * LOAD_RATE).max(1.0) as usize;
    let by_rate = rate.saturating_sub(memory.starts(now));
    parallel.saturating_sub(loading).min(by_rate)
}

fn load_step(load: &Load<'_, '_>, memory: &mut Memory, now: moment::Moment) -> Step {
    let epoch = memory.next_epoch();
    let vm = &load.host.upstream.id;
    let group: id::Group = format!("{STANDBY}{epoch}").as_str().into();
    let until = now + load.model.load.mul_f64(LOAD_SLACK);
    memory.load(vm, &load.model.name, until, now);
    let model = load.model.name.clone();
    let order = Order::Join { group, epoch, model, members: vec![vm.clone()] };
    memory.order(vm, order, now)
}
