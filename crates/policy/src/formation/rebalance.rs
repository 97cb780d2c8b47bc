//! Changes of the model of VMs after the first request, so that the composition follows the demand.
//!
//! A change takes whole groups of a model that can spare them, and free VMs of their fabric domain. It
//! stages the weights of the other model on their hosts, which takes seconds but disturbs nothing, then
//! closes the groups. When the VMs have left them, new groups are formed from the staged weights like
//! any others.

use std::{collections, fmt, time};

use corneltrestle_time::moment;

use super::{
    Condition, Plan, Role, Step, View, Vm,
    assemble::{self, Domain},
    load, outlook, rate,
    state::{Known, ORDER_TIMEOUT, Pass},
};
use crate::{demand, deployment, id};

/// Ratio of the groups that a model needs to those that it has from which it gets more. A wave of
/// 20 % in the demand stays below it.
const MIN_LACK: f64 = 1.2;

/// Value that each VM of a change has to add; it makes up for the loads, and for the time in which
/// the VM serves no requests. A further VM adds about twice the cube of the load of its model's
/// groups.
const COST_OF_VM: f64 = 0.5;

/// Time for which a change has to be worth its cost before it begins. The demand is a mean of 5 s, so
/// that a sudden rise shows gradually.
const HOLD: time::Duration = time::Duration::from_millis(800);

/// Time after a change was given up in which none begins from the same model.
const PAUSE: time::Duration = time::Duration::from_secs(10);

/// The same after the loss of a VM or group, which says nothing against another change. It makes use of
/// the weights that are staged by then.
const PAUSE_AFTER_LOSS: time::Duration = time::Duration::from_secs(2);

/// Time in which groups are formed from VMs that have left theirs. It takes two joins and an order to
/// open.
const FORM_LIMIT: time::Duration = time::Duration::from_secs(10);

/// VMs of a service that may stage models or form other groups, and the groups that they leave.
#[derive(Clone, Debug)]
pub(super) struct Change {
    /// The model that gives VMs.
    pub(super) from: id::Model,
    /// The model that gets them.
    pub(super) to: id::Model,
    /// Groups that are to be closed, with their epochs.
    groups: Vec<(id::Group, u64)>,
    /// VMs that are to form other groups.
    pub(super) vms: collections::BTreeSet<id::Vm>,
    begun: moment::Moment,
    /// Since when the groups are being closed; `None` while the model is staged.
    pub(super) converting: Option<moment::Moment>,
    /// Since when all VMs have left the groups.
    left: Option<moment::Moment>,
}

/// What has become of a change of the model of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The model that gives VMs.
    pub from: id::Model,
    /// The model that gets them.
    pub to: id::Model,
    /// Number of groups that are closed.
    pub groups: usize,
    /// Number of VMs that get the other model.
    pub vms: usize,
    /// What has become of it.
    pub outcome: Outcome,
    /// Time since it began.
    pub age: time::Duration,
}

/// What has become of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Staging begins.
    Begun,
    /// All weights are staged, and the groups are being closed.
    Staged,
    /// The VMs serve the other model.
    Completed,
    /// The demand has changed; the groups go on to serve.
    Unneeded,
    /// A VM or group is gone or was used otherwise.
    Disturbed,
    /// A VM refuses to stage the model.
    Refused,
    /// It took too long.
    TimedOut,
}

impl Outcome {
    /// Whether the change was given up.
    pub fn is_given_up(self) -> bool {
        !matches!(self, Self::Begun | Self::Staged | Self::Completed)
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { from, to, groups, vms, outcome, age } = self;
        let outcome = match outcome {
            Outcome::Begun => "begins to stage",
            Outcome::Staged => "closes its groups",
            Outcome::Completed => "is complete",
            Outcome::Unneeded => "was given up: no longer needed",
            Outcome::Disturbed => "was given up: a VM or group is gone",
            Outcome::Refused => "was given up: a VM refuses to stage",
            Outcome::TimedOut => "was given up: timed out",
        };
        let age = age.as_millis();
        write!(
            f,
            "change of {groups} groups of model {from} into {vms} VMs of model {to} {outcome}, age {age} ms"
        )
    }
}

impl Change {
    fn event(&self, outcome: Outcome, now: moment::Moment) -> Event {
        Event {
            from: self.from.clone(),
            to: self.to.clone(),
            groups: self.groups.len(),
            vms: self.vms.len(),
            outcome,
            age: now.since(self.begun),
        }
    }
}

/// Groups that each model needs and has; the lists follow the order of the engine's models.
struct Balance {
    /// Groups that the demand needs at least: by its rate, or as requests occupy the slots of so many,
    /// which all nodes report.
    needed: Vec<f64>,
    /// Groups that a model keeps when it gives others away.
    kept: Vec<f64>,
    /// Groups that serve and are not to be closed.
    serving: Vec<usize>,
    /// Groups that the VMs which have or load the model suffice for, and those that changes will form.
    expected: Vec<f64>,
}

impl Balance {
    fn of(
        view: &View<'_>,
        domains: &[Domain<'_, '_>],
        targets: &[f64],
        changes: &[Change],
        known: Known<'_>,
    ) -> Self {
        let models = &view.engine.models;
        let required = |model: &deployment::Model, rate: f64| {
            if rate <= 0.0 {
                return 0.0;
            }
            let demand = view.demand.get(&model.name).copied().unwrap_or_default();
            let demand = demand::Demand { rate, ..demand };
            demand::required_groups(view.engine, model.pace, &demand)
        };
        let occupied = |measured: &rate::Measured| {
            measured.in_progress() / f64::from(view.engine.slots.max(1))
        };
        let needed = |model: &deployment::Model| {
            let measured = known.measured(&model.name);
            let required = required(model, measured.least()).max(occupied(&measured));
            if required > 0.0 { required.max(1.0) } else { 0.0 }
        };
        let kept = |(index, model): (usize, &deployment::Model)| {
            let measured = known.measured(&model.name);
            targets[index].max(required(model, measured.most())).max(occupied(&measured))
        };
        let serves =
            |plan: &&Plan| plan.opened.is_some() && !plan.is_dissolving && plan.next.is_none();
        let serving = |model: &deployment::Model| {
            known.plans().values().filter(serves).filter(|plan| plan.model == model.name).count()
        };
        let expected = |(index, model): (usize, &deployment::Model)| {
            let size = outlook::size(model);
            let staged = changes.iter().filter(|change| change.converting.is_none());
            let coming = staged.filter(|change| change.to == model.name);
            let coming: usize = coming.map(|change| change.vms.len() / size).sum();
            let formed: usize = domains.iter().map(|domain| domain.counts[index] / size).sum();
            (formed + coming) as f64
        };
        Self {
            needed: models.iter().map(needed).collect(),
            kept: models.iter().enumerate().map(kept).collect(),
            serving: models.iter().map(serving).collect(),
            expected: models.iter().enumerate().map(expected).collect(),
        }
    }

    /// Number of groups that a model can give and then still lose one.
    fn spare(&self, model: usize) -> Option<usize> {
        let spare = self.serving[model] as f64 - 1.0 - self.kept[model];
        (spare >= 0.0).then_some(spare as usize)
    }
}

/// Returns the orders to stage models for changes. Takes the next step of each change, and begins
/// those that are worth their cost.
pub(super) fn steps(
    view: &View<'_>,
    vms: &[Vm<'_>],
    domains: &[Domain<'_, '_>],
    targets: &[f64],
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Vec<Step> {
    let models = &view.engine.models;
    if models.len() < 2 || view.engine.staged_models == 0 {
        return Vec::new();
    }
    let has_all_zones = pass.has_all_zones(vms, now);
    if !view.may_rebalance && pass.known().changes().is_empty() {
        return Vec::new();
    }
    let is_calm = has_all_zones && is_calm(view, vms, pass.known());
    for model in models {
        let rate = view.demand.get(&model.name).map_or(0.0, |demand| demand.rate);
        let error = view.uncertainty.get(&model.name).copied().unwrap_or(0.0);
        let in_progress = view.in_progress.get(&model.name).copied().unwrap_or(0.0);
        let measured = pass.measured_mut().entry(model.name.clone()).or_default();
        measured.record((rate, error), in_progress, now);
    }
    let index: Index<'_, '_> = vms.iter().map(|vm| (&vm.upstream.id, vm)).collect();
    let changes = std::mem::take(pass.changes_mut());
    let balance = Balance::of(view, domains, targets, &changes, pass.known());
    for mut change in changes {
        match advance(view, &mut change, &index, &balance, is_calm, pass, now) {
            Some(outcome) => {
                let pause = match outcome {
                    Outcome::Disturbed => PAUSE_AFTER_LOSS,
                    _ => PAUSE,
                };
                if outcome.is_given_up() {
                    pass.pause(&change.from, now + pause);
                }
                pass.record(change.event(outcome, now));
            }
            None => pass.changes_mut().push(change),
        }
    }
    begin(view, domains, &index, &balance, is_calm, pass, now);
    if !view.may_rebalance {
        return Vec::new();
    }
    stage(view, vms, &index, pass, now)
}

/// The VMs of a service by id.
type Index<'v, 'a> = collections::HashMap<&'a id::Vm, &'v Vm<'a>>;

/// Whether the facts are complete and no group is being repaired, so that groups may be closed.
fn is_calm(view: &View<'_>, vms: &[Vm<'_>], known: Known<'_>) -> bool {
    let is_settled =
        |plan: &Plan| plan.next.is_some() || (plan.opened.is_some() && !plan.is_dissolving);
    view.may_rebalance
        && view.evacuated.is_empty()
        && view.lost.is_empty()
        && known.plans().values().all(is_settled)
        && vms.iter().all(|vm| vm.role != Role::Member || vm.condition == Condition::Usable)
}

/// Takes the next step of a change; returns what has become of it once it has ended.
fn advance(
    view: &View<'_>,
    change: &mut Change,
    vms: &Index<'_, '_>,
    balance: &Balance,
    is_calm: bool,
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Option<Outcome> {
    let plans = pass.known().plans();
    let serves_next = |vm: &id::Vm| {
        plans.values().any(|plan| {
            plan.model == change.to
                && plan.opened.is_some()
                && !plan.is_dissolving
                && plan.members.contains(vm)
        })
    };
    let members: Vec<_> = change.vms.iter().map(|id| vms.get(id).copied()).collect();
    if change.vms.iter().all(serves_next) {
        return Some(Outcome::Completed);
    }
    if change.converting.is_some() {
        if change.groups.iter().any(|(name, _)| plans.contains_key(name)) {
            return None;
        }
        let left = *change.left.get_or_insert(now);
        let is_gone = |vm: &Option<&Vm<'_>>| vm.is_none_or(|vm| vm.condition != Condition::Usable);
        return match now >= left + FORM_LIMIT {
            true if members.iter().any(is_gone) => Some(Outcome::Disturbed),
            true => Some(Outcome::TimedOut),
            false => None,
        };
    }
    let is_standing = |(name, epoch): &(id::Group, u64)| {
        plans.get(name).is_some_and(|plan| {
            plan.epoch == *epoch && plan.opened.is_some() && !plan.is_dissolving
        })
    };
    let is_available = |vm: &&Vm<'_>| {
        let plan = plans.iter().find(|(_, plan)| plan.members.contains(&vm.upstream.id));
        vm.condition == Condition::Usable
            && match plan {
                Some((name, plan)) => {
                    plan.model == change.to || change.groups.iter().any(|(group, _)| group == name)
                }
                None => vm.role == Role::Spare,
            }
    };
    let are_available = members.iter().all(|vm| vm.as_ref().is_some_and(is_available));
    if !change.groups.iter().all(is_standing) || !are_available {
        return Some(Outcome::Disturbed);
    }
    let staging = pass.known().staging();
    if change.vms.iter().any(|vm| staging.get(vm).is_some_and(|staging| staging.is_refused)) {
        return Some(Outcome::Refused);
    }
    let load = view.engine.model(change.to.as_str())?.load;
    if now >= change.begun + load.mul_f64(load::TIMEOUT_FACTOR) {
        return Some(Outcome::TimedOut);
    }
    if !members.iter().flatten().all(|vm| vm.has(&change.to)) {
        return None;
    }
    if !is_still_worth(view, change, balance) {
        return Some(Outcome::Unneeded);
    }
    if is_calm {
        for (name, _) in &change.groups {
            if let Some(plan) = pass.plans_mut().get_mut(name) {
                plan.next = Some(change.to.clone());
            }
        }
        change.converting = Some(now);
        pass.record(change.event(Outcome::Staged, now));
    }
    None
}

/// Whether a model still lacks the groups of a change, and the other one can still spare them.
fn is_still_worth(view: &View<'_>, change: &Change, balance: &Balance) -> bool {
    let models = &view.engine.models;
    let position = |name: &id::Model| models.iter().position(|model| model.name == *name);
    let (Some(from), Some(to)) = (position(&change.from), position(&change.to)) else {
        return false;
    };
    let formed = change.vms.len() / outlook::size(&models[to]);
    // The groups of this change are among those that are expected.
    let others = balance.expected[to] - formed as f64;
    balance.needed[to] > others
        && balance.spare(from).is_some_and(|spare| spare >= change.groups.len())
}

/// A change that may begin.
struct Candidate<'a> {
    groups: Vec<(id::Group, u64)>,
    vms: Vec<&'a id::Vm>,
    /// Change of the value of all groups, less the cost.
    gain: f64,
}

/// Begins a change from each model that has none, if one has been worth its cost for long enough.
fn begin(
    view: &View<'_>,
    domains: &[Domain<'_, '_>],
    vms: &Index<'_, '_>,
    balance: &Balance,
    is_calm: bool,
    pass: &mut Pass<'_>,
    now: moment::Moment,
) {
    let models = &view.engine.models;
    let lacks = |to: usize| {
        balance.needed[to] > 0.0 && balance.needed[to] >= MIN_LACK * balance.expected[to]
    };
    let mut found = Vec::new();
    for (from, model) in models.iter().enumerate() {
        let is_changing = pass.known().changes().iter().any(|change| change.from == model.name);
        if is_changing || pass.known().is_paused(&model.name, now) {
            continue;
        }
        let others = (0..models.len()).filter(|to| *to != from && lacks(*to));
        let candidates = others.flat_map(|to| {
            let known = pass.known();
            let candidate = move |domain| best(view, domain, (from, to), vms, balance, known, now);
            domains.iter().filter_map(candidate).map(move |candidate| (to, candidate))
        });
        let best = candidates.max_by(|(_, a), (_, b)| a.gain.total_cmp(&b.gain));
        found.extend(best.map(|(to, candidate)| (from, to, candidate)));
    }
    let name = |index: usize| models[index].name.clone();
    let pairs: Vec<_> = found.iter().map(|(from, to, _)| (name(*from), name(*to))).collect();
    let since = pass.worth_since(&pairs, now);
    let is_due: Vec<bool> = pairs.iter().map(|pair| now.since(since[pair]) >= HOLD).collect();
    for ((from, to, candidate), is_due) in found.into_iter().zip(is_due) {
        if !is_due || !is_calm {
            continue;
        }
        let change = Change {
            from: name(from),
            to: name(to),
            groups: candidate.groups,
            vms: candidate.vms.into_iter().cloned().collect(),
            begun: now,
            converting: None,
            left: None,
        };
        pass.record(change.event(Outcome::Begun, now));
        pass.changes_mut().push(change);
    }
}

/// The change of VMs of a domain from one model to another that gains most, if any is worth its cost.
fn best<'a>(
    view: &View<'_>,
    domain: &Domain<'_, 'a>,
    (from, to): (usize, usize),
    vms: &Index<'_, 'a>,
    balance: &Balance,
    known: Known<'_>,
    now: moment::Moment,
) -> Option<Candidate<'a>> {
    let models = &view.engine.models;
    let (sizes, next) = ([from, to].map(|model| outlook::size(&models[model])), &models[to].name);
    let groups = groups(domain, &models[from].name, next, vms, known);
    let free = |index: usize| {
        let spares = domain.spares.iter().copied();
        spares.filter(move |vm| {
            assemble::model_of(vm, models, known) == Some(index)
                && !known.is_pending(vm.upstream.id.as_str(), now)
                && !known.is_changing(vm.upstream.id.as_str())
        })
    };
    let (own, others): (Vec<_>, Vec<_>) = (free(to).collect(), free(from).collect());
    let parallel = usize::try_from(view.engine.load_limits.parallel).unwrap_or(usize::MAX);
    let mut found: Option<Candidate<'a>> = None;
    for given in 0..=balance.spare(from)?.min(groups.len()) {
        let members = groups[..given].iter().flat_map(|(_, _, members)| members.iter().copied());
        let mut chosen: Vec<&Vm<'a>> = own.iter().copied().chain(members).collect();
        chosen.extend(others.iter().copied());
        let formed = chosen.len() / sizes[1];
        chosen.truncate(formed * sizes[1]);
        let taken = chosen.iter().filter(|vm| vm.role == Role::Spare).count();
        let taken = taken.saturating_sub(own.len()) + given * sizes[0];
        let loads = chosen.iter().filter(|vm| !vm.has(next)).count();
        if formed == 0 || taken == 0 {
            continue;
        }
        if found.is_some() && loads > parallel {
            break;
        }
        let value = |model: usize, target: f64, before: f64, after: f64| {
            let size = sizes[usize::from(model == to)];
            outlook::value(target, size, after) - outlook::value(target, size, before)
        };
        let serving = balance.serving[from] as f64;
        let expected = balance.expected[to] + formed as f64;
        let gain = value(to, balance.needed[to], balance.expected[to], expected)
            + value(from, balance.kept[from], serving, serving - given as f64)
            - COST_OF_VM * taken as f64;
        if gain > found.as_ref().map_or(0.0, |found| found.gain) {
            let groups = groups[..given].iter().map(|(name, epoch, _)| ((*name).clone(), *epoch));
            let vms = chosen.iter().map(|vm| &vm.upstream.id).collect();
            found = Some(Candidate { groups: groups.collect(), vms, gain });
        }
        if expected >= balance.needed[to] {
            break;
        }
    }
    found
}

/// Groups of a model that serve in a domain, with their epochs and members; first those whose members
/// have most of the weights of the next model.
fn groups<'k, 'v, 'a>(
    domain: &Domain<'_, '_>,
    model: &id::Model,
    next: &id::Model,
    vms: &Index<'v, 'a>,
    known: Known<'k>,
) -> Vec<(&'k id::Group, u64, Vec<&'v Vm<'a>>)> {
    let serves = |plan: &Plan| {
        plan.model == *model && plan.opened.is_some() && !plan.is_dissolving && plan.next.is_none()
    };
    let members = |plan: &Plan| -> Option<Vec<&'v Vm<'a>>> {
        let members: Option<Vec<_>> = plan.members.iter().map(|id| vms.get(id).copied()).collect();
        let is_here = |vm: &&Vm<'_>| {
            vm.fabric() == domain.fabric && vm.condition == Condition::Usable && !vm.is_busy
        };
        members.filter(|members| members.iter().all(is_here))
    };
    // The other members are looked up only for groups of this domain, as there may be many domains.
    let begins_here = |plan: &Plan| {
        let head = plan.members.first().and_then(|head| vms.get(head));
        head.is_some_and(|head| head.fabric() == domain.fabric)
    };
    let all = known.plans().iter().filter(|(_, plan)| serves(plan) && begins_here(plan));
    let mut found: Vec<_> =
        all.filter_map(|(name, plan)| Some((name, plan.epoch, members(plan)?))).collect();
    found.sort_by_key(|(_, _, members)| members.iter().filter(|vm| !vm.has(next)).count());
    found
}

/// Returns the orders to stage models that may be sent now.
fn stage(
    view: &View<'_>,
    vms: &[Vm<'_>],
    index: &Index<'_, '_>,
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Vec<Step> {
    let loads = pass.known().loading();
    let loads = vms
        .iter()
        .filter(|vm| vm.role == Role::Loading || loads.contains_key(&vm.upstream.id))
        .count();
    let staged = pass.known().changes().iter().filter(|change| change.converting.is_none());
    let wanted: Vec<_> = staged
        .flat_map(|change| change.vms.iter().map(|vm| (vm.clone(), change.to.clone())))
        .collect();
    let mut steps = Vec::new();
    for (id, model) in wanted {
        let (Some(vm), Some(declared)) = (index.get(&id), view.engine.model(model.as_str())) else {
            continue;
        };
        let known = pass.known();
        let staging = known.staging().get(&id);
        // An order without an answer is repeated; if it was carried out, the second one has no effect.
        let is_under_way = staging
            .is_some_and(|staging| !staging.is_unanswered || now < staging.issued + ORDER_TIMEOUT);
        if vm.has(&model) || is_under_way || vm.is_busy || known.is_pending(id.as_str(), now) {
            continue;
        }
        let others = known.staging().len() - usize::from(staging.is_some());
        let loading = loads + others + pass.loading_elsewhere();
        if !load::may_start(loading, &view.engine.load_limits, pass, now) {
            break;
        }
        let until = now + declared.load.mul_f64(load::TIMEOUT_FACTOR);
        steps.push(pass.stage(vm, &model, until, now));
    }
    steps
}
