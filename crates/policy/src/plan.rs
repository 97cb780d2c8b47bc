//! Planning of one availability zone: which VMs form which replica.
//!
//! In each round, the holder of the zone lease observes the stored assignment
//! ([`Observations::observe`]), computes a plan, writes the next assignment by compare-and-swap,
//! and sends orders to the engines only after the write succeeded.
//!
//! VMs of one fabric domain form a replica. A VM that leaves a replica is used again only after it
//! confirmed its release, or, if it does not report, after [`ORDER_TIMEOUT`] and the maximum age of
//! a report have passed.

mod consolidate;
mod draft;
mod health;
mod observations;
mod orders;
mod phases;
mod repair;
mod scale_up;

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{activity, assignment, id, release, report, vm};

pub use observations::Observations;
pub use orders::{Kind, Order};

/// Time after which the sender of an order gives up.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Number of nodes among which the warm-up slots of a cold replica are divided. It is small, so
/// that each node has a slot while there are few slots, and above one, so that slots remain in use
/// after the loss of a node.
pub const ROUTERS: usize = 4;

/// Input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The availability zone to plan for.
    pub zone: &'a id::Zone,
    /// The declared state.
    pub release: &'a release::Release,
    /// The stored assignment.
    pub assignment: &'a assignment::Assignment,
    /// The VM list, which may be out of date.
    pub vms: &'a [vm::Vm],
    /// The latest report of each VM.
    pub reports: &'a collections::BTreeMap<id::Vm, report::Seen>,
    /// The observations of the lease holder.
    pub observations: &'a Observations,
    /// The live nodes that may route to the zone's replicas.
    pub routers: &'a [&'a str],
    /// Fencing token of the lease holder.
    pub token: u64,
    /// Maximum number of replicas that load at the same time, as the weight store allows.
    pub max_loads: usize,
    /// Maximum age of a report at which its VM counts as present, without the pauses of this node.
    pub max_age: time::Duration,
    /// Pauses of this node. A VM whose report it could not receive is not lost.
    pub activity: &'a activity::Activity,
}

/// The result of planning.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The assignment to write, or `None` if the stored one stays.
    pub next: Option<assignment::Assignment>,
    /// Orders to send once the assignment is stored. Each round repeats an order until the reports
    /// show its effect.
    pub orders: Vec<Order>,
}

/// Plans for the zone at `now`.
///
/// The plan is empty if the fencing token is lower than the stored one, because another holder has
/// taken over the lease.
pub fn plan(view: &View<'_>, now: moment::Moment) -> Plan {
    if view.token < view.assignment.token {
        return Plan::default();
    }
    let mut draft = draft::Draft::new(view, now);
    draft.update_phases();
    draft.repair();
    draft.scale_up();
    draft.consolidate();
    draft.choose_routers();
    let orders = draft.orders();
    let next = (draft.next != *view.assignment).then(|| {
        draft.next.token = view.token;
        draft.next
    });
    Plan { next, orders }
}
