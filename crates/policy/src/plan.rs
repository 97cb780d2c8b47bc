//! The plan for one availability zone: which VMs form which replica next.
//!
//! The holder of the zone lease observes the stored assignment ([`Observations::observe`]), plans, writes
//! the next assignment by compare-and-swap and sends the orders only after the write took effect.

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

use crate::{assignment, id, release, report, vm};

pub use observations::Observations;
pub use orders::{Kind, Order};

/// Longest time that an order is in flight before its sender gives up.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Routers among which the slots of a cold replica are divided: few, so that each has a slot at a
/// low level, and more than one, so that the loss of a node leaves slots in use.
pub const ROUTERS: usize = 4;

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The availability zone.
    pub zone: &'a id::Zone,
    /// The declared state.
    pub release: &'a release::Release,
    /// The assignment as it is stored.
    pub assignment: &'a assignment::Assignment,
    /// The VM list; it lags.
    pub vms: &'a [vm::Vm],
    /// The latest report of each VM.
    pub reports: &'a collections::BTreeMap<id::Vm, report::Seen>,
    /// What the holder has observed.
    pub observations: &'a Observations,
    /// The live nodes that may route to the zone's replicas.
    pub routers: &'a [&'a str],
    /// Fencing token of the holder.
    pub token: u64,
    /// Replicas that the weight store allows to load at the same time.
    pub max_loads: usize,
    /// Longest age of a report at which its VM counts as present.
    pub max_age: time::Duration,
}

/// The result of planning.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The assignment to write, or `None` if the stored one stays.
    pub next: Option<assignment::Assignment>,
    /// Orders to send once the assignment is stored; repeated in each round until they show effect.
    pub orders: Vec<Order>,
}

/// Plans for the zone at `now`.
///
/// A holder whose token is older than the stored one gets an empty plan.
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
