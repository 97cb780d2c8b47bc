//! Opens, closes and dissolves the groups that have been planned or adopted.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{
    Condition, Order, Plan, Step, View, Vm, outlook,
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

/// Adopts registered groups that an earlier coordinator has formed. Those whose members are not all
/// registered are adopted after a while, to be dissolved: what is left of a group whose other
/// members were told to leave cannot serve.
fn adopt(view: &View<'_>, pass: &mut Pass<'_>, now: moment::Moment) {
    let is_own = |group: &&fleet::Group| {
        group.service == *view.service && group.id.as_str().starts_with(SERVING)
    };
    let unplanned: Vec<_> = view
        .fleet
        .groups()
        .iter()
        .filter(is_own)
        .filter(|group| !pass.known().plans().contains_key(&group.id))
        .collect();
    pass.retain_incomplete(|group| unplanned.iter().any(|other| other.id == *group));
    for group in unplanned {
        let model = model(view, group);
        let size = view.engine.model(model.as_str()).map_or(group.len(), outlook::size);
        let is_incomplete = group.len() < size;
        if is_incomplete && now.since(pass.incomplete_since(&group.id, now)) < ADOPTION_TIMEOUT {
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
            is_dissolving: is_incomplete,
        };
        pass.plans_mut().insert(group.id.clone(), plan);
    }
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
        return dissolve(name, plan, &members, pass, now, steps);
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
        return dissolve(name, plan, &members, pass, now, steps);
    }
    let Some(head) = members.first().copied().flatten() else { return true };
    let is_leaving = members.iter().flatten().any(|vm| vm.condition == Condition::Leaving);
    if is_leaving {
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
/// hardly ever be complete while some orders are lost.
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
        let is_member = member_state(Some(vm), name, plan).is_some();
        if is_member || vm.is_busy || !pass.known().is_unanswered(id.as_str()) {
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

/// Closes a group when one of its members is leaving: running requests finish, then the group is
/// dissolved.
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
/// joins another group while the head of the old one is still open.
fn dissolve(
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
    remaining == 0
        && members.iter().flatten().all(|vm| !vm.is_busy || vm.condition == Condition::Lost)
}
