//! Scheduling of serving groups: which VMs load which model, form a group, or leave one.
//!
//! A group is a number of VMs that serve a model together; its first member, the head, receives the
//! requests. The coordinator, one node of the deployment, calls [`decide`] periodically and sends
//! the returned orders to the VMs.
//!
//! Loading weights takes seconds, joining a group with loaded weights a fraction of one. A VM
//! therefore first joins a standby group of its own, which loads the model. Serving groups are then
//! formed from standby VMs of one fabric domain that have the same model. When a member is lost,
//! its group is dissolved and a new one is formed with a standby VM in its place.

mod assemble;
mod complete;
mod lifecycle;
mod load;
mod outlook;
mod rate;
mod rebalance;
mod state;
mod summary;
mod vm;

use std::{collections, fmt};

use corneltrestle_time::moment;

pub use complete::CompleteGroups;
pub use outlook::{Outlook, Room};
pub use rebalance::{Event, Outcome};
pub use state::{Plan, State};
pub use summary::Summary;
pub use vm::{Condition, Role, Vm};

use crate::{demand, deployment, fleet, id, upstream};

/// Input of [`decide`]: what the coordinator knows at the time of the decision.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The service whose VMs are formed into groups.
    pub service: &'a id::Service,
    /// The engine that all VMs of the service run.
    pub engine: &'a deployment::Engine,
    /// All registered upstreams, also those of other services.
    pub fleet: &'a fleet::Fleet,
    /// Registered groups that this node has seen complete, also before it was the coordinator.
    pub complete: &'a CompleteGroups,
    /// Zones that take no new work.
    pub evacuated: &'a collections::BTreeSet<id::Zone>,
    /// VMs that no longer answer; their registrations may still be present.
    pub lost: &'a collections::BTreeSet<id::Vm>,
    /// VMs with an order in flight, that is, one that has not been answered yet.
    pub busy: &'a collections::BTreeSet<id::Vm>,
    /// Requests for each model, summed over all nodes.
    pub demand: &'a collections::BTreeMap<id::Model, demand::Demand>,
    /// Relative standard errors of these rates; a rate without one is exact.
    pub uncertainty: &'a collections::BTreeMap<id::Model, f64>,
    /// Requests of all nodes in progress at the groups of each model.
    pub in_progress: &'a collections::BTreeMap<id::Model, f64>,
    /// Whether any request has arrived yet. Loads before the first request are short and are not
    /// limited.
    pub has_traffic: bool,
    /// Whether groups may be changed to another model: the service is set to do so, the store answers,
    /// and no zone is cut off.
    pub may_rebalance: bool,
}

/// An order with the VM that receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Receiver of the order.
    pub vm: id::Vm,
    /// What the VM is to do.
    pub order: Order,
}

/// An order to the engine of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Join a group as one of its members, and load the model if its weights are not staged on the
    /// VM's host.
    Join {
        /// Name of the group.
        group: id::Group,
        /// Epoch of the membership; higher than that of every earlier membership of the VM.
        epoch: u64,
        /// The model.
        model: id::Model,
        /// All members in the order of their ranks; the first is the head.
        members: Vec<id::Vm>,
    },
    /// Start to serve requests; for the head of a group only.
    Open {
        /// Name of the group.
        group: id::Group,
        /// Epoch of the membership.
        epoch: u64,
    },
    /// Accept no new requests and finish the running ones; for the head of a group only.
    Close {
        /// Name of the group.
        group: id::Group,
        /// Epoch of the membership.
        epoch: u64,
    },
    /// Leave a group without waiting for running requests.
    Leave {
        /// Name of the group.
        group: id::Group,
        /// Epoch of the membership.
        epoch: u64,
    },
    /// Load the weights of a model to the VM's host, so that a later join finds them there. The VM
    /// stays in its group and serves on.
    Stage {
        /// The model.
        model: id::Model,
    },
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Join { group, epoch, model, members } => {
                let size = members.len();
                write!(f, "join {group} at epoch {epoch} with {size} members for model {model}")
            }
            Self::Open { group, epoch } => write!(f, "open {group} at epoch {epoch}"),
            Self::Close { group, epoch } => write!(f, "close {group} at epoch {epoch}"),
            Self::Leave { group, epoch } => write!(f, "leave {group} at epoch {epoch}"),
            Self::Stage { model } => write!(f, "stage model {model}"),
        }
    }
}

impl Order {
    /// Whether the registration of the receiving VM already shows the effect of the order.
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
            Self::Stage { model } => {
                upstream.engine.as_ref().is_some_and(|engine| engine.staged.contains(model))
            }
        }
    }
}

/// Returns the orders to send now to the VMs of one service, and records them in `state` with the groups
/// that they form.
pub fn decide(view: &View<'_>, state: &mut State, now: moment::Moment) -> Vec<Step> {
    let mut pass = state.pass(view.service);
    pass.observe(view.fleet, now);
    let vms = vm::classify(view, pass.known(), now);
    pass.retain(&vms, now);
    let mut steps = lifecycle::steps(view, &vms, &mut pass, now);
    steps.extend(assemble::steps(view, &vms, &mut pass, now));
    steps
}
