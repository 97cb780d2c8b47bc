//! Classification of the VMs of a model service: what each one does, and whether it may be a member
//! of a group.

use std::collections;

use corneltrestle_time::moment;

use super::{View, state::Known};
use crate::{id, upstream};

/// Prefix of the names of standby groups, each with a single VM.
pub(super) const STANDBY: &str = "standby-";
/// Prefix of the names of serving groups.
pub(super) const SERVING: &str = "group-";

/// Whether a VM may be a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It may be a member.
    Usable,
    /// It is draining, or its zone is evacuated; running requests may finish.
    Leaving,
    /// It no longer answers.
    Lost,
}

/// What a VM does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It neither has nor loads the weights of a model.
    Empty,
    /// It loads a model outside a serving group.
    Loading,
    /// It has the weights of a model and is free to join a group.
    Spare,
    /// It is a member of a serving group or planned as one.
    Member,
    /// It is in no group, and its condition does not allow it to join one.
    Unusable,
}

/// A VM with its condition and role.
#[derive(Clone, Debug)]
pub struct Vm<'a> {
    /// Registration of the VM.
    pub upstream: &'a upstream::Upstream,
    /// Whether it may be a member of a group.
    pub condition: Condition,
    /// What it does now.
    pub role: Role,
    /// Whether an order to it is in flight or has no visible effect yet.
    pub is_busy: bool,
}

impl Vm<'_> {
    /// Its membership in a standby or serving group.
    pub fn member(&self) -> Option<&upstream::Member> {
        self.upstream.engine.as_ref()?.member.as_ref()
    }

    /// Its fabric domain, if the VM has registered one.
    pub fn fabric(&self) -> Option<&id::Fabric> {
        self.upstream.engine.as_ref()?.fabric.as_ref()
    }

    /// Whether it has the weights of a model: loaded, or staged on its host, so that they need not
    /// be loaded from the weight store.
    pub fn has(&self, model: &id::Model) -> bool {
        self.upstream
            .engine
            .as_ref()
            .is_some_and(|engine| engine.staged.contains(model) || engine.models.contains(model))
    }

    /// Whether the weights of a model are staged on its host.
    pub fn has_staged(&self, model: &id::Model) -> bool {
        self.upstream.engine.as_ref().is_some_and(|engine| engine.staged.contains(model))
    }

    /// Whether it is registered as a member of a serving group.
    pub fn is_in_serving_group(&self) -> bool {
        self.member().is_some_and(|member| !is_standby(&member.group))
    }

    /// Whether it is registered as joining a group.
    pub fn is_joining(&self) -> bool {
        self.member().is_some_and(|member| member.state == upstream::MemberState::Joining)
    }

    /// Whether it has joined its standby group with this model loaded, so that it can join another
    /// group at once.
    pub fn is_standby(&self, model: &id::Model) -> bool {
        self.member().is_some_and(|member| member.state == upstream::MemberState::Ready)
            && self.upstream.engine.as_ref().is_some_and(|engine| engine.models.contains(model))
    }
}

/// Classifies all VMs of the service that run a model engine.
pub(super) fn classify<'a>(view: &View<'a>, known: Known<'_>, now: moment::Moment) -> Vec<Vm<'a>> {
    let plans = known.plans().values();
    let planned: collections::HashSet<&id::Vm> = plans.flat_map(|plan| &plan.members).collect();
    view.fleet
        .of_service(view.service.as_str())
        .filter(|upstream| upstream.engine.is_some())
        .map(|upstream| {
            let condition = condition(view, upstream);
            let is_busy =
                view.busy.contains(&upstream.id) || known.is_pending(upstream.id.as_str(), now);
            let mut vm = Vm { upstream, condition, role: Role::Unusable, is_busy };
            vm.role = role(view, known, &planned, &vm);
            vm
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

/// What a VM does now; `planned` are the members of all plans.
fn role(
    view: &View<'_>,
    known: Known<'_>,
    planned: &collections::HashSet<&id::Vm>,
    vm: &Vm<'_>,
) -> Role {
    if vm.is_in_serving_group() || planned.contains(&vm.upstream.id) {
        return Role::Member;
    }
    if vm.condition != Condition::Usable {
        return Role::Unusable;
    }
    if known.loading().contains_key(&vm.upstream.id) {
        return Role::Loading;
    }
    let has_model = view.engine.models.iter().any(|model| vm.has(&model.name));
    match (has_model, vm.is_joining()) {
        (true, _) => Role::Spare,
        (false, true) => Role::Loading,
        (false, false) => Role::Empty,
    }
}

/// Whether the group is a standby group.
pub(super) fn is_standby(group: &id::Group) -> bool {
    group.as_str().starts_with(STANDBY)
}
