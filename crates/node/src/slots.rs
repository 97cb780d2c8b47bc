//! Warm-up slots: whether this node may send one more request to a replica.
//!
//! A replica that has started recently takes a limited number of requests at a time, its slots,
//! which are divided between the nodes. The limit rises as the replica finishes requests;
//! [`warmup`] has the rules.

use std::time;

use corneltrestle_policy::{assignment, id, release, report, warmup};
use corneltrestle_time::moment;
use corneltrestle_wire::link as wire;

use crate::{identity, tables};

/// Warm-up level, in requests in progress, from which a replica counts as warm.
const WARM_LEVEL: u32 = 64;
/// Time after the borrower's deadline at which a loan ends if the slot was not returned.
const LOAN_MARGIN: time::Duration = time::Duration::from_secs(5);

/// Whether `node` has a free slot of a replica with `busy` own requests in progress.
///
/// Slots that are lent to other nodes also count as busy.
pub fn is_free(
    node: &id::Node,
    release: &release::Release,
    replica: &assignment::Replica,
    head: &report::Report,
    table: &mut tables::warmup::Warmup,
    busy: usize,
    now: moment::Moment,
) -> bool {
    // A report relayed by a peer may lack the start id, from which the slots are derived. One from
    // before the epoch would count requests of the epoch before as warm-up.
    let is_of_epoch = head.replica.as_ref() == Some(&replica.id) && head.epoch == replica.epoch;
    if head.known_start().is_none() || !is_of_epoch {
        return false;
    }
    let cold = release.sets.get(&replica.id.set).map_or(1, |set| set.cold_limit);
    let limits = warmup::Limits { cold, full: WARM_LEVEL.max(cold) };
    let busy = busy + table.lent_slots(&replica.id, now);
    let level = table.observe(replica, limits, head.start, head.finished);
    let routers = replica.routers.iter().map(id::Node::as_str);
    let ordered = warmup::order_routers(head.start, routers);
    level.permits(&ordered, node.as_str(), u32::try_from(busy).unwrap_or(u32::MAX))
}

/// Lends one of this node's slots to another node, if one is free and both nodes know the same
/// epoch and start of the replica.
///
/// The loan counts against this node's share, so the total over all routers does not grow.
pub fn lend(
    identity: &identity::Identity,
    tables: &tables::Tables,
    request: &wire::SlotRequest,
    now: moment::Moment,
) -> wire::Loan {
    let release = tables.current.load();
    let replicas = tables.replicas.lock();
    let reports = tables.reports.lock();
    let mut warmup = tables.warmup.lock();
    let dispatched = tables.dispatched.lock();
    let replica = replicas
        .zones()
        .flat_map(|(_, stored)| &stored.assignment.replicas)
        .find(|replica| replica.id == request.replica && replica.epoch == request.epoch)?;
    let head = &reports.get(replica.head()?.id.as_str())?.report;
    let busy = dispatched.in_progress(&replica.id).len();
    let is_free = head.start == request.start
        && is_free(&identity.node, &release, replica, head, &mut warmup, busy, now);
    is_free.then(|| warmup.lend(&replica.id, now + request.left + LOAN_MARGIN))
}
