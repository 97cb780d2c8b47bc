//! Groups that are opened, closed or dissolved.

use std::time;

use corneltrestle_time::moment;

use super::{Condition, Host, Order, Plan, State, Step, View, host::SERVING};
use crate::{fleet, id, upstream};

/// Time that a group which another node has formed gets to become complete.
const ADOPTED: time::Duration = time::Duration::from_secs(3);

/// Orders for groups that exist or are being formed.
pub(super) fn steps(
    view: &View<'_>,
    hosts: &[Host<'_>],
    state: &mut State,
    now: moment::Moment,
) -> Vec<Step> {
    adopt(view, state, now);
    let mut steps = Vec::new();
    let names: Vec<id::Group> = state.plans().keys().cloned().collect();
    for name in names {
        let Some(mut plan) = state.plans_mut().remove(&name) else { continue };
        let is_over = advance(&name, &mut plan, hosts, state, now, &mut steps);
        if !is_over {
            state.plans_mut().insert(name, plan);
        }
    }
    steps
}

/// Takes over groups that another node has formed.
fn adopt(view: &View<'_>, state: &mut State, now: moment::Moment) {
    for group in view.fleet.groups() {
        let is_ours = group.service == *view.service && group.id.as_str().starts_with(SERVING);
        if !is_ours || state.plans().contains_key(&group.id) {
            continue;
        }
        let members: Vec<id::Vm> =
            view.fleet.members(group).map(|member| member.id.clone()).collect();
        let plan = Plan {
            epoch: group.epoch,
            model: model(view, group),
            members,
            created: now,
            join_deadline: now + ADOPTED,
            opened: group.is_open.then_some(now),
            is_dissolving: false,
        };
        state.plans_mut().insert(group.id.clone(), plan);
    }
}

/// The model of a group; that of its size if no member has loaded it yet.
fn model(view: &View<'_>, group: &fleet::Group) -> id::Model {
    let found = group.model.clone();
    found
        .or_else(|| view.engine.models.first().map(|model| model.name.clone()))
        .unwrap_or_else(|| "".into())
}

/// Moves a plan on; returns whether it is over.
fn advance(
    name: &id::Group,
    plan: &mut Plan,
    hosts: &[Host<'_>],
    state: &mut State,
    now: moment::Moment,
    steps: &mut Vec<Step>,
) -> bool {
    let members: Vec<Option<&Host<'_>>> =
        plan.members.iter().map(|id| hosts.iter().find(|host| host.upstream.id == *id)).collect();
    if plan.is_dissolving {
        return end(name, plan, &members, state, now, steps);
    }
    let is_damaged = members.iter().any(|member| {
        member.is_none_or(|host| {
            host.condition == Condition::Lost || has_left(host, name, plan, state, now)
        })
    });
    let states: Vec<_> = members.iter().map(|member| member_state(*member, name, plan)).collect();
    let is_broken = states.first() == Some(&Some(upstream::MemberState::Broken));
    let is_late = plan.opened.is_none() && now >= plan.join_deadline;
    if is_damaged || is_broken || is_late {
        plan.is_dissolving = true;
        return end(name, plan, &members, state, now, steps);
    }
    let Some(head) = members.first().copied().flatten() else { return true };
    let leaves = members.iter().flatten().any(|host| host.condition == Condition::Leaving);
    if leaves {
        return leave(name, plan, head, &states, state, now, steps);
    }
    let is_ready = |state: &Option<upstream::MemberState>| {
        matches!(state, Some(upstream::MemberState::Ready | upstream::MemberState::Open))
    };
    let is_open = states.first() == Some(&Some(upstream::MemberState::Open));
    if !is_open && states.iter().all(is_ready) && !head.is_busy {
        plan.opened = Some(now);
        let order = Order::Open { group: name.clone(), epoch: plan.epoch };
        steps.push(state.order(&head.upstream.id, order, now));
    }
    false
}

/// The state of a member in this group, or `None` if it names another one.
fn member_state(
    member: Option<&Host<'_>>,
    name: &id::Group,
    plan: &Plan,
) -> Option<upstream::MemberState> {
    let member = member?.member()?;
    (member.group == *name && member.epoch == plan.epoch).then_some(member.state)
}

/// Whether a VM that was a member is one no longer.
fn has_left(
    host: &Host<'_>,
    name: &id::Group,
    plan: &Plan,
    state: &State,
    now: moment::Moment,
) -> bool {
    let is_member = member_state(Some(host), name, plan).is_some();
    let is_coming = now < plan.join_deadline
        && (host.is_busy
            || state.is_ordered(host.upstream.id.as_str(), now)
            || plan.opened.is_none());
    !is_member && !is_coming
}

/// Closes a group of which a member leaves: requests in progress finish, then it is dissolved.
fn leave(
    name: &id::Group,
    plan: &mut Plan,
    head: &Host<'_>,
    states: &[Option<upstream::MemberState>],
    state: &mut State,
    now: moment::Moment,
    steps: &mut Vec<Step>,
) -> bool {
    match states.first() {
        Some(Some(upstream::MemberState::Open)) if !head.is_busy => {
            let order = Order::Close { group: name.clone(), epoch: plan.epoch };
            steps.push(state.order(&head.upstream.id, order, now));
        }
        Some(Some(upstream::MemberState::Open | upstream::MemberState::Closing)) => {}
        _ => plan.is_dissolving = true,
    }
    false
}

/// Dissolves a group: the head leaves first, so that no member joins another group while the head
/// of its own one is open.
fn end(
    name: &id::Group,
    plan: &Plan,
    members: &[Option<&Host<'_>>],
    state: &mut State,
    now: moment::Moment,
    steps: &mut Vec<Step>,
) -> bool {
    let mut remaining = 0;
    for (rank, member) in members.iter().enumerate() {
        let Some(host) = member else { continue };
        if host.condition == Condition::Lost || member_state(Some(host), name, plan).is_none() {
            continue;
        }
        remaining += 1;
        if !host.is_busy {
            let order = Order::Leave { group: name.clone(), epoch: plan.epoch };
            steps.push(state.order(&host.upstream.id, order, now));
        }
        if rank == 0 {
            break;
        }
    }
    remaining == 0
        && members.iter().flatten().all(|host| !host.is_busy || host.condition == Condition::Lost)
}
