//! Formation of serving groups: which VMs load which model, form a group, or leave one.
//!
//! A VM first joins a standby group of its own, which loads its model. Groups are then formed from
//! VMs of one fabric domain that have the model, which takes a fraction of a second. A lost member
//! is replaced in the same way, by a spare VM that stands by.

mod affinity;
mod allocation;
mod assemble;
mod host;
mod lifecycle;
mod load;
mod state;
mod summary;

use std::collections;

use corneltrestle_time::moment;

pub use allocation::{Need, Supply, allocate};
pub use host::{Condition, Host, Role};
pub use state::{Plan, State};
pub use summary::Summary;

use crate::{demand, deployment, fleet, id, upstream};

/// What the decision is made from.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The service whose VMs are formed into groups.
    pub service: &'a id::Service,
    /// Its engine.
    pub engine: &'a deployment::Engine,
    /// All upstreams.
    pub fleet: &'a fleet::Fleet,
    /// Zones that take no new work.
    pub evacuated: &'a collections::BTreeSet<id::Zone>,
    /// VMs that have stopped to answer.
    pub lost: &'a collections::BTreeSet<id::Vm>,
    /// VMs to which an order is under way.
    pub busy: &'a collections::BTreeSet<id::Vm>,
    /// What is asked of each model, over all nodes.
    pub demand: &'a collections::BTreeMap<id::Model, demand::Demand>,
    /// Whether requests have come: before the first one, loads are short and need no limit.
    pub has_traffic: bool,
}

/// An order to a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The VM.
    pub vm: id::Vm,
    /// The order.
    pub order: Order,
}

/// An order to the engine of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Join a group as one of its members; the first one is the head.
    Join {
        /// The group.
        group: id::Group,
        /// Epoch of the membership.
        epoch: u64,
        /// The model.
        model: id::Model,
        /// All members.
        members: Vec<id::Vm>,
    },
    /// Begin to serve, as the head of a group.
    Open {
        /// The group.
        group: id::Group,
        /// Epoch of the membership.
        epoch: u64,
    },
    /// Take no new requests, as the head of a group, and finish those that run.
    Close {
        /// The group.
        group: id::Group,
        /// Epoch of the membership.
        epoch: u64,
    },
    /// Leave a group at once.
    Leave {
        /// The group.
        group: id::Group,
        /// Epoch of the membership.
        epoch: u64,
    },
}

impl Order {
    /// Whether the effect of the order shows in the registration of its VM.
    pub fn has_effect(&self, upstream: &upstream::Upstream) -> bool {
        let member = upstream.engine.as_ref().and_then(|engine| engine.member.as_ref());
        let of = |group: &id::Group, epoch: u64| {
            member.filter(|member| member.group == *group && member.epoch == epoch)
        };
        match self {
            Self::Join { group, epoch, .. } => of(group, *epoch).is_some(),
            Self::Open { group, epoch } => {
                of(group, *epoch).is_none_or(|m| m.state == upstream::MemberState::Open)
            }
            Self::Close { group, epoch } => {
                of(group, *epoch).is_none_or(|m| m.state != upstream::MemberState::Open)
            }
            Self::Leave { group, epoch } => of(group, *epoch).is_none(),
        }
    }
}

/// Decides on the next orders and notes what they are to lead to.
pub fn decide(view: &View<'_>, state: &mut State, now: moment::Moment) -> Vec<Step> {
    state.observe(view.fleet, now);
    let hosts = host::classify(view, state, now);
    state.retain(&hosts, now);
    let mut steps = lifecycle::steps(view, &hosts, state, now);
    steps.extend(assemble::steps(view, &hosts, state, now));
    steps
}
