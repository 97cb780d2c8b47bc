//! Whether a replica may take a request: only with every member present.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{assignment, id, report};

/// Longest age of a report at which its VM still counts as present, by default.
pub const REPORT_MAX_AGE: time::Duration = time::Duration::from_secs(3);

/// What the decision is made from.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The replica as assigned.
    pub replica: &'a assignment::Replica,
    /// The latest report of each VM.
    pub reports: &'a collections::BTreeMap<id::Vm, report::Seen>,
    /// VMs that were asked to leave.
    pub leaving: &'a collections::BTreeSet<id::Vm>,
    /// Whether the replica's availability zone takes new work.
    pub zone_in: bool,
    /// Longest age of a report at which its VM counts as present.
    pub max_age: time::Duration,
}

/// Why a replica may not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason<'a> {
    /// The availability zone is out of service.
    ZoneOut,
    /// The assignment does not have the replica in phase serving.
    NotServing(assignment::Phase),
    /// The replica has no members.
    Empty,
    /// A member was asked to leave.
    Leaving(&'a id::Vm),
    /// A member has not reported.
    Unreported(&'a id::Vm),
    /// The latest report of a member is older than the bound.
    Stale(&'a id::Vm),
    /// A member reports another replica or epoch.
    Foreign(&'a id::Vm),
    /// A member is not ready.
    Loading(&'a id::Vm),
}

/// Whether the replica may take a request at `now`.
///
/// # Errors
///
/// The first reason against it.
pub fn check<'a>(view: &View<'a>, now: moment::Moment) -> Result<(), Reason<'a>> {
    if !view.zone_in {
        return Err(Reason::ZoneOut);
    }
    if view.replica.phase != assignment::Phase::Serving {
        return Err(Reason::NotServing(view.replica.phase));
    }
    if view.replica.vms.is_empty() {
        return Err(Reason::Empty);
    }
    view.replica.vms.iter().try_for_each(|member| check_member(view, &member.id, now))
}

fn check_member<'a>(
    view: &View<'a>,
    vm: &'a id::Vm,
    now: moment::Moment,
) -> Result<(), Reason<'a>> {
    if view.leaving.contains(vm) {
        return Err(Reason::Leaving(vm));
    }
    let Some(seen) = view.reports.get(vm) else {
        return Err(Reason::Unreported(vm));
    };
    if now.since(seen.at) > view.max_age {
        return Err(Reason::Stale(vm));
    }
    let report = &seen.report;
    if report.replica.as_ref() != Some(&view.replica.id) || report.epoch != view.replica.epoch {
        return Err(Reason::Foreign(vm));
    }
    if report.phase != report::Phase::Ready {
        return Err(Reason::Loading(vm));
    }
    Ok(())
}
