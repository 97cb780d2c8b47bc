//! Opens, closes and dissolves the groups that have been planned or adopted.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{
    Condition, Order, Plan, Step, View, Vm, load, outlook,
    state::{Known, Pass},
    vm::SERVING,
};
use crate::{fleet, id, upstream};

/// Time that a group formed by an earlier coordinator gets to become complete.
const ADOPTION_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time that the members of a new group get to join, in addition to the model's join time.
pub(super) const JOIN_SLACK: time::Duration = time::Duration::from_millis(1_500);

/// Time within which a head that was ordered to open must register that it serves. It takes a
/// fraction of a second.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The VMs of a service by id.
type Index<'v, 'a> = collections::HashMap<&'a id::Vm, &'v Vm<'a>>;

/// Returns the orders for groups that exist or are being formed.
pub(super) fn steps(
    view: &View<'_>,
    vms: &[Vm<'_>],
    pass: &mut Pass<'_>,
    now: moment::Moment,
) -> Vec<Step> {
    adopt(view, pass, now);
    let mut steps = Vec::new();
    let vms: Index<'_, '_> = vms.iter().map(|vm| (&vm.upstream.id, vm)).collect();
    let names: Vec<id::Group> = pass.known().plans().keys().cloned().collect();
    for name in names {
        let Some(mut plan) = pass.plans_mut().remove(&name) else { continue };
        let is_over = advance(view, &name, &mut plan, &vms, pass, now, &mut steps);
        if !is_over {
            pass.plans_mut().insert(name, plan);
        }
    }
    steps
}

/// Adopts registered groups without a plan: those that an earlier coordinator has formed, and those
/// that orders formed which were carried out late. Outdated groups are adopted to be dissolved, and
/// so are those whose members are not all registered: what is left of a group whose other members
/// were told to leave cannot serve. The members of a group that was never seen complete get a while
/// to register.
fn adopt(view: &View<'_>, pass: &mut Pass<'_>, now: moment::Moment) {
    let is_own = |group: &&fleet::Group| {
        group.service == *view.service && group.id.as_str().starts_with(SERVING)
    };
    let (known, unplanned): (Vec<_>, Vec<_>) = view
        .fleet
        .groups()
        .iter()
        .filter(is_own)
        .partition(|group| pass.known().plans().contains_key(&group.id));
    for group in known {
        add_members(view, group, pass);
    }
    if unplanned.is_empty() {
        pass.retain_incomplete(|_| false);
        return;
    }
    let plans = pass.known().plans().values();
    let planned = plans.flat_map(|plan| plan.members.iter().cloned()).collect();
    pass.retain_incomplete(|group| unplanned.iter().any(|other| other.id == *group));
    for group in unplanned {
        let model = model(view, group);
        let size = view.engine.model(model.as_str()).map_or(group.len(), outlook::size);
        let is_outdated = is_outdated(view, group, &planned, pass.known());
        let is_incomplete = group.len() < size;
        if !is_outdated
            && is_incomplete
            && !view.complete.contains(group)
            && now.since(pass.incomplete_since(&group.id, now)) < ADOPTION_TIMEOUT
        {
            continue;
        }
        let members: Vec<id::Vm> =
            view.fleet.members(group).map(|member| member.id.clone()).collect();
        let plan = Plan {
            epoch: group.epoch,
            model,
            members,
            created: now,
            join_deadline: now + ADOPTION_TIMEOUT,
            opened: group.is_open.then_some(now),
            is_dissolving: is_outdated || is_incomplete,
            next: None,
        };
        pass.plans_mut().insert(group.id.clone(), plan);
    }
}

/// Adds members that have registered since their group was adopted to be dissolved, the head as the
/// first one.
fn add_members(view: &View<'_>, group: &fleet::Group, pass: &mut Pass<'_>) {
    let Some(plan) = pass.plans_mut().get_mut(&group.id) else { return };
    if !plan.is_dissolving || plan.epoch != group.epoch {
        return;
    }
    let mut members: Vec<id::Vm> =
        view.fleet.members(group).map(|member| member.id.clone()).collect();
    if members.iter().all(|id| plan.members.contains(id)) {
        return;
    }
    let is_registered = |id: &id::Vm| view.fleet.group_of(id.as_str()) == Some(group);
    members.extend(plan.members.drain(..).filter(|id| !is_registered(id)));
    plan.members = members;
}

/// Whether a registered group without a plan was formed by orders that were carried out late, or may
/// have been: a member is in another plan, was ordered to join another group since, or may have been
/// ordered so by an earlier coordinator, if that one never opened the group. That join may be carried
/// out at any time, also while the head of this group is open.
fn is_outdated(
    view: &View<'_>,
    group: &fleet::Group,
    planned: &collections::HashSet<id::Vm>,
    known: Known<'_>,
) -> bool {
    let has_other =
        |id: &id::Vm| known.has_later_join(id.as_str(), group.epoch) || planned.contains(id);
    let head = view.fleet.head(group).and_then(|head| head.engine.as_ref()?.member.as_ref());
    let was_never_open = head.is_some_and(|head| {
        matches!(head.state, upstream::MemberState::Joining | upstream::MemberState::Ready)
    });
    (was_never_open && known.is_of_earlier_token(group.epoch))
        || view.fleet.members(group).any(|member| has_other(&member.id))
}

/// The model of a group; the engine's first one if no member has loaded a model yet.
fn model(view: &View<'_>, group: &fleet::Group) -> id::Model {
    let found = group.model.clone();
    found
        .or_else(|| view.engine.models.first().map(|model| model.name.clone()))
        .unwrap_or_else(|| "".into())
}

/// Takes the next step of a plan; returns whether the plan has ended.
fn advance(
    view: &View<'_>,
    name: &id::Group,
    plan: &mut Plan,
    vms: &Index<'_, '_>,
    pass: &mut Pass<'_>,
    now: moment::Moment,
    steps: &mut Vec<Step>,
) -> bool {
    let members: Vec<Option<&Vm<'_>>> =
        plan.members.iter().map(|id| vms.get(id).copied()).collect();
    if plan.is_dissolving {
        return dissolve(view, name, plan, &members, pass, now, steps);
    }
    let is_damaged = members.iter().any(|member| {
        member.is_none_or(|vm| {
            vm.condition == Condition::Lost || has_left(vm, name, plan, pass.known(), now)
        })
    });
    let states: Vec<_> = members.iter().map(|member| member_state(*member, name, plan)).collect();
    let is_broken = states.first() == Some(&Some(upstream::MemberState::Broken));
    let is_open = states.first() == Some(&Some(upstream::MemberState::Open));
    let is_late = match plan.opened {
        None => now >= plan.join_deadline,
        Some(ordered) => !is_open && !is_closing(&states) && now >= ordered + OPEN_TIMEOUT,
    };
    if is_damaged || is_broken || is_late {
        plan.is_dissolving = true;
        return dissolve(view, name, plan, &members, pass, now, steps);
    }
    let Some(head) = members.first().copied().flatten() else { return true };
    let is_leaving = members.iter().flatten().any(|vm| vm.condition == Condition::Leaving);
    if is_leaving || plan.next.is_some() {
        return close(name, plan, head, &states, pass, now, steps);
    }
    let is_ready = |state: &Option<upstream::MemberState>| {
        matches!(state, Some(upstream::MemberState::Ready | upstream::MemberState::Open))
    };
    if plan.opened.is_none() {
        repeat_joins(view, name, plan, &members, pass, now, steps);
    }
    if is_open {
        plan.opened = Some(now);
    } else if states.iter().all(is_ready) && !head.is_busy {
        plan.opened.get_or_insert(now);
        let order = Order::Open { group: name.clone(), epoch: plan.epoch };
        steps.push(pass.issue(&head.upstream.id, order, now));
    }
    false
}

/// Orders the members again to join whose order was not answered. Without it, a large group would
/// hardly ever be complete while some orders are lost. A member that a late order has made a member
/// of another serving group has to leave it first, as the head of that group may be open.
fn repeat_joins(
    view: &View<'_>,
    name: &id::Group,
    plan: &mut Plan,
    members: &[Option<&Vm<'_>>],
    pass: &mut Pass<'_>,
    now: moment::Moment,
    steps: &mut Vec<Step>,
) {
    for vm in members.iter().flatten() {
        let id = &vm.upstream.id;
        let is_unanswered = pass.known().is_join_unanswered(id.as_str(), plan.epoch);
        if vm.is_in_serving_group() || vm.is_busy || !is_unanswered {
            continue;
        }
        let warm = view.engine.model(plan.model.as_str()).map(|model| model.warm);
        plan.join_deadline = now + warm.unwrap_or_default() + JOIN_SLACK;
        steps.push(pass.issue(id, plan.join(name), now));
    }
}

fn is_closing(states: &[Option<upstream::MemberState>]) -> bool {
    states.first() == Some(&Some(upstream::MemberState::Closing))
}

/// The state that a VM registered as a member of this group; `None` if it is in no group or in
/// another one.
fn member_state(
    member: Option<&Vm<'_>>,
    name: &id::Group,
    plan: &Plan,
) -> Option<upstream::MemberState> {
    let member = member?.member()?;
    (member.group == *name && member.epoch == plan.epoch).then_some(member.state)
}

/// Whether a planned member is not registered in the group and is not about to join it.
fn has_left(
    vm: &Vm<'_>,
    name: &id::Group,
    plan: &Plan,
    known: Known<'_>,
    now: moment::Moment,
) -> bool {
    let is_member = member_state(Some(vm), name, plan).is_some();
    let is_joining = now < plan.join_deadline
        && (vm.is_busy || known.is_pending(vm.upstream.id.as_str(), now) || plan.opened.is_none());
    !is_member && !is_joining
}

/// Closes a group when one of its members is leaving, or when it is to serve another model: running
/// requests finish, then the group is dissolved.
fn close(
    name: &id::Group,
    plan: &mut Plan,
    head: &Vm<'_>,
    states: &[Option<upstream::MemberState>],
    pass: &mut Pass<'_>,
    now: moment::Moment,
    steps: &mut Vec<Step>,
) -> bool {
    match states.first() {
        Some(Some(upstream::MemberState::Open)) if !head.is_busy => {
            let order = Order::Close { group: name.clone(), epoch: plan.epoch };
            steps.push(pass.issue(&head.upstream.id, order, now));
        }
        Some(Some(upstream::MemberState::Open | upstream::MemberState::Closing)) => {}
        _ => plan.is_dissolving = true,
    }
    false
}

/// Dissolves a group; returns whether no member is left. The head leaves first, so that no member
/// joins another group while the head of the old one is still open. A head that unanswered orders may
/// make open the group again joins a standby group before the plan ends, so that it refuses them.
fn dissolve(
    view: &View<'_>,
    name: &id::Group,
    plan: &Plan,
    members: &[Option<&Vm<'_>>],
    pass: &mut Pass<'_>,
    now: moment::Moment,
    steps: &mut Vec<Step>,
) -> bool {
    let mut remaining = 0;
    for (rank, member) in members.iter().enumerate() {
        let Some(vm) = member else { continue };
        if vm.condition == Condition::Lost || member_state(Some(vm), name, plan).is_none() {
            continue;
        }
        remaining += 1;
        if !vm.is_busy {
            let order = Order::Leave { group: name.clone(), epoch: plan.epoch };
            steps.push(pass.issue(&vm.upstream.id, order, now));
        }
        if rank == 0 {
            break;
        }
    }
    let head = members.first().copied().flatten();
    if remaining == 0
        && let Some(head) = head.filter(|head| head.condition != Condition::Lost)
        && pass.known().may_reopen(head, plan.epoch, now)
    {
        if !head.is_busy && !head.is_in_serving_group() {
            steps.extend(load::standby(view, &head.upstream.id, &plan.model, pass, now));
        }
        return false;
    }
    remaining == 0
        && members.iter().flatten().all(|vm| !vm.is_busy || vm.condition == Condition::Lost)
}
