//! VMs as the formation of groups sees them.

use corneltrestle_time::moment;

use super::{State, View};
use crate::{id, upstream};

/// Begin of the names of groups in which one VM stands by.
pub(super) const STANDBY: &str = "standby-";
/// Begin of the names of groups that serve.
pub(super) const SERVING: &str = "group-";

/// Whether a VM may be a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It may.
    Usable,
    /// It leaves, or its zone takes no new work.
    Leaving,
    /// It has stopped to answer.
    Lost,
}

/// What a VM does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has no model and loads none.
    Empty,
    /// It loads a model on its own.
    Loading,
    /// It has a model and is free to join a group.
    Spare,
    /// It is a member of a group, or is to become one.
    Member,
    /// It may not be used.
    Unusable,
}

/// A VM with its condition and role.
#[derive(Clone, Debug)]
pub struct Host<'a> {
    /// The VM as it registered itself.
    pub upstream: &'a upstream::Upstream,
    /// Its condition.
    pub condition: Condition,
    /// Its role.
    pub role: Role,
    /// Whether an order to it is under way or has not shown its effect yet.
    pub is_busy: bool,
}

impl Host<'_> {
    /// The group that it is a member of.
    pub fn member(&self) -> Option<&upstream::Member> {
        self.upstream.engine.as_ref()?.member.as_ref()
    }

    /// Its fabric domain.
    pub fn fabric(&self) -> Option<&id::Fabric> {
        self.upstream.engine.as_ref()?.fabric.as_ref()
    }

    /// Whether its host has the weights of a model.
    pub fn has(&self, model: &id::Model) -> bool {
        self.upstream
            .engine
            .as_ref()
            .is_some_and(|engine| engine.staged.contains(model) || engine.models.contains(model))
    }

    /// Whether it has joined a group of the model on its own, so that it joins another one at once.
    pub fn stands_by(&self, model: &id::Model) -> bool {
        self.member().is_some_and(|member| member.state == upstream::MemberState::Ready)
            && self.upstream.engine.as_ref().is_some_and(|engine| engine.models.contains(model))
    }
}

/// The VMs of the service with a role.
pub(super) fn classify<'a>(view: &View<'a>, state: &State, now: moment::Moment) -> Vec<Host<'a>> {
    view.fleet
        .of_service(view.service.as_str())
        .filter(|upstream| upstream.engine.is_some())
        .map(|upstream| {
            let condition = condition(view, upstream);
            let is_busy =
                view.busy.contains(&upstream.id) || state.is_ordered(upstream.id.as_str(), now);
            let mut host = Host { upstream, condition, role: Role::Unusable, is_busy };
            host.role = role(view, state, &host);
            host
        })
        .collect()
}

fn condition(view: &View<'_>, upstream: &upstream::Upstream) -> Condition {
    if view.lost.contains(&upstream.id) {
        Condition::Lost
    } else if upstream.state == upstream::State::Draining || view.evacuated.contains(&upstream.zone)
    {
        Condition::Leaving
    } else {
        Condition::Usable
    }
}

fn role(view: &View<'_>, state: &State, host: &Host<'_>) -> Role {
    let is_planned = state.plans().values().any(|plan| plan.members.contains(&host.upstream.id));
    let in_group = host.member().is_some_and(|member| !is_standby(&member.group));
    if is_planned || in_group {
        return Role::Member;
    }
    if host.condition != Condition::Usable {
        return Role::Unusable;
    }
    if state.loading().contains_key(&host.upstream.id) {
        return Role::Loading;
    }
    let has_model = view.engine.models.iter().any(|model| host.has(&model.name));
    let joins = host.member().is_some_and(|m| m.state == upstream::MemberState::Joining);
    match (has_model, joins) {
        (true, _) => Role::Spare,
        (false, true) => Role::Loading,
        (false, false) => Role::Empty,
    }
}

/// Whether one VM stands by in this group.
pub(super) fn is_standby(group: &id::Group) -> bool {
    group.as_str().starts_with(STANDBY)
}
