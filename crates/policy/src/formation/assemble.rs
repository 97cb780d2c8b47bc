//! Forms new groups from free VMs, and requests the loads for later ones.

use std::collections;

use corneltrestle_time::moment;

use super::{
    Condition, Plan, Role, Step, View, Vm, lifecycle, load,
    outlook::{self, Outlook, Room},
    rebalance,
    state::{Known, Pass},
    vm::SERVING,
};
use crate::{demand, deployment, id};

/// Rate at which a VM is lost that groups have to bear, per second.
const LOSS_RATE: f64 = 0.003;

/// Fraction of the VMs that suffices for the load when the deployment starts.
const ACTIVE_FRACTION: f64 = 0.8;

/// Lower limit of the target of a model, as a fraction of its target before the first request.
const MIN_TARGET_FRACTION: f64 = 0.5;

/// VMs and groups of one fabric domain. The lists by model follow the order of the engine's models.
pub(super) struct Domain<'h, 'a> {
    /// Free VMs that have the weights of a model.
    pub(super) spares: Vec<&'h Vm<'a>>,
    /// Free VMs without the weights of any model.
    pub(super) empty: Vec<&'h Vm<'a>>,
    /// VMs that have each model, are loading it or are members of its groups; a VM with several
    /// models counts for the first.
    pub(super) counts: Vec<usize>,
    /// Free VMs that have each model.
    pub(super) loaded: Vec<usize>,
    /// VMs that are loading each model.
    pub(super) loading: Vec<usize>,
    /// Groups of each model that serve or are being formed.
    groups: Vec<Vec<id::Group>>,
    /// VMs that may be members of groups, whatever they do now.
    usable: usize,
    /// Availability zone of the domain.
    zone: &'h id::Zone,
    /// Name of the domain, if its VMs have registered one.
    pub(super) fabric: Option<&'h id::Fabric>,
}

/// Returns the orders that form new groups and those that load models for later ones.
pub(super) fn steps(
    view: &View<'_>,
    vms: &[Vm<'_>],
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Vec<Step> {
    let models = &view.engine.models;
    let domains: Vec<_> = domains(vms, models, pass.known()).into_values().collect();
    let targets = targets(view, vms.len());
    let most = domains.iter().map(|domain| domain.usable).max().unwrap_or(0);
    let outlook = Outlook::new(models, &targets, LOSS_RATE, most);
    let mut steps = Vec::new();
    // Before the first request loads are short, so that VMs may change their model for a better
    // composition of their domain.
    if !view.has_traffic {
        let composition = pass.composition(&outlook, &rooms(&domains));
        for (domain, wanted) in domains.iter().zip(&composition) {
            dissolve_surplus(domain, models, wanted, pass);
            steps.extend(groups(domain, models, Some(wanted), pass, now));
        }
        let wanted = domains.iter().zip(&composition);
        let loads = wanted
            .flat_map(|(domain, wanted)| load::initial(domain, wanted, models, pass.known()))
            .collect();
        steps.extend(load::steps(view, vms, loads, pass, now));
        return steps;
    }
    for domain in &domains {
        steps.extend(groups(domain, models, None, pass, now));
    }
    let loads = load::wanted(&domains, &outlook, models, pass.known(), now);
    steps.extend(load::steps(view, vms, loads, pass, now));
    steps.extend(rebalance::steps(view, vms, &domains, &targets, pass, now));
    steps
}

fn rooms(domains: &[Domain<'_, '_>]) -> Vec<Room> {
    let zones: collections::BTreeSet<_> = domains.iter().map(|domain| domain.zone).collect();
    let number = |zone: &id::Zone| zones.iter().take_while(|other| **other < zone).count();
    let room = |domain: &Domain<'_, '_>| Room { vms: domain.usable, zone: number(domain.zone) };
    domains.iter().map(room).collect()
}

/// Forms as many groups as a domain has free VMs for; with `wanted`, no more than the VMs that
/// should have each model suffice for.
fn groups(
    domain: &Domain<'_, '_>,
    models: &[deployment::Model],
    wanted: Option<&Vec<usize>>,
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Vec<Step> {
    let mut steps = Vec::new();
    for (index, model) in models.iter().enumerate() {
        let size = outlook::size(model);
        let surplus = wanted.map_or(0, |wanted| domain.counts[index].saturating_sub(wanted[index]));
        let free = members_for(domain, model, models, now, pass.known());
        let usable = free.len().saturating_sub(surplus);
        for members in free[..usable].chunks_exact(size) {
            steps.extend(form(model, members, pass, now));
        }
    }
    steps
}

/// Dissolves the groups beyond those that the VMs which should have each model suffice for. They
/// were formed when fewer VMs had registered.
fn dissolve_surplus(
    domain: &Domain<'_, '_>,
    models: &[deployment::Model],
    wanted: &[usize],
    pass: &mut Pass<'_>,
) {
    for (index, model) in models.iter().enumerate() {
        let allowed = wanted[index] / outlook::size(model);
        for group in domain.groups[index].iter().skip(allowed) {
            if let Some(plan) = pass.plans_mut().get_mut(group) {
                plan.is_dissolving = true;
            }
        }
    }
}

/// Number of groups of each model that suffices for the load.
///
/// Before the first request, it follows from the published shares of the models, later from the
/// measured demand.
fn targets(view: &View<'_>, vms: usize) -> Vec<f64> {
    let target = |model: &deployment::Model| {
        let usual = vms as f64 * model.share * ACTIVE_FRACTION / outlook::size(model) as f64;
        if !view.has_traffic {
            return usual;
        }
        let demanded = view.demand.get(&model.name).copied().unwrap_or_default();
        demand::required_groups(view.engine, model.pace, &demanded).max(usual * MIN_TARGET_FRACTION)
    };
    view.engine.models.iter().map(target).collect()
}

fn domains<'h, 'a>(
    vms: &'h [Vm<'a>],
    models: &[deployment::Model],
    known: Known<'_>,
) -> collections::BTreeMap<Option<&'h id::Fabric>, Domain<'h, 'a>> {
    let heads: collections::BTreeMap<&id::Vm, (&id::Group, &Plan)> = known
        .plans()
        .iter()
        .filter(|(_, plan)| !plan.is_dissolving)
        .filter_map(|(group, plan)| plan.members.first().map(|head| (head, (group, plan))))
        .collect();
    let position = |name: &id::Model| models.iter().position(|model| model.name == *name);
    let mut domains = collections::BTreeMap::new();
    for vm in vms {
        let domain = domains.entry(vm.fabric()).or_insert_with(|| Domain {
            spares: Vec::new(),
            empty: Vec::new(),
            counts: vec![0; models.len()],
            loaded: vec![0; models.len()],
            loading: vec![0; models.len()],
            groups: vec![Vec::new(); models.len()],
            usable: 0,
            zone: &vm.upstream.zone,
            fabric: vm.fabric(),
        });
        domain.usable += usize::from(vm.condition == Condition::Usable);
        match vm.role {
            Role::Spare if !vm.is_busy => {
                domain.spares.push(vm);
                if let Some(index) = model_of(vm, models, known) {
                    domain.counts[index] += 1;
                    domain.loaded[index] += 1;
                }
            }
            Role::Empty if !vm.is_busy => domain.empty.push(vm),
            Role::Loading => {
                let loading = known.loading().get(&vm.upstream.id);
                if let Some(index) = loading.and_then(|loading| position(&loading.model)) {
                    domain.counts[index] += 1;
                    domain.loading[index] += 1;
                }
            }
            Role::Member => {
                let Some((group, plan)) = heads.get(&vm.upstream.id) else { continue };
                if let Some(next) = plan.next.as_ref().and_then(position) {
                    domain.counts[next] += plan.members.len();
                } else if let Some(index) = position(&plan.model) {
                    domain.counts[index] += outlook::size(&models[index]);
                    domain.groups[index].push((*group).clone());
                }
            }
            _ => {}
        }
    }
    domains
}

/// Index of the model that a free VM counts for: the one that it is to serve next, else the first that
/// it has loaded, else the first that its host has.
pub(super) fn model_of(
    vm: &Vm<'_>,
    models: &[deployment::Model],
    known: Known<'_>,
) -> Option<usize> {
    let next = known.next_model(vm.upstream.id.as_str()).filter(|next| vm.has(next));
    let next = next.and_then(|next| models.iter().position(|model| model.name == *next));
    next.or_else(|| models.iter().position(|model| vm.is_standby(&model.name)))
        .or_else(|| models.iter().position(|model| vm.has(&model.name)))
}

/// Free VMs whose first model is this one. Those that have joined a standby group with it come
/// first; they need not load it from the host to join another group.
fn members_for<'h, 'a>(
    domain: &Domain<'h, 'a>,
    model: &deployment::Model,
    models: &[deployment::Model],
    now: moment::Moment,
    known: Known<'_>,
) -> Vec<&'h Vm<'a>> {
    let mut free: Vec<_> = domain
        .spares
        .iter()
        .copied()
        .filter(|vm| model_of(vm, models, known).is_some_and(|of| models[of].name == model.name))
        .filter(|vm| !known.is_pending(vm.upstream.id.as_str(), now))
        .collect();
    free.sort_by_key(|vm| (!vm.is_standby(&model.name), vm.upstream.id.clone()));
    free
}

/// Records the plan of a new group and returns the join orders to its members.
fn form(
    model: &deployment::Model,
    members: &[&Vm<'_>],
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Vec<Step> {
    let epoch = pass.next_epoch();
    let group: id::Group = format!("{SERVING}{epoch}").as_str().into();
    let ids: Vec<id::Vm> = members.iter().map(|vm| vm.upstream.id.clone()).collect();
    let plan = Plan {
        epoch,
        model: model.name.clone(),
        members: ids.clone(),
        created: now,
        join_deadline: now + model.warm + lifecycle::JOIN_SLACK,
        opened: None,
        is_dissolving: false,
        next: None,
    };
    let join = plan.join(&group);
    pass.plans_mut().insert(group, plan);
    ids.iter().map(|vm| pass.issue(vm, join.clone(), now)).collect()
}
