//! Whether a replica may take a request: only if every member is ready and has reported recently.
//!
//! The members serve each request together, so a replica that lacks one of them cannot answer.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{activity, assignment, id, report};

/// Default of [`View::max_age`].
pub const REPORT_MAX_AGE: time::Duration = time::Duration::from_secs(3);

/// Input of the decision.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The replica as assigned.
    pub replica: &'a assignment::Replica,
    /// The latest report of each VM.
    pub reports: &'a collections::BTreeMap<id::Vm, report::Seen>,
    /// VMs that the platform asked to leave.
    pub leaving: &'a collections::BTreeSet<id::Vm>,
    /// Whether the replica's availability zone takes new requests.
    pub zone_in: bool,
    /// Maximum age of a report at which its VM counts as present.
    pub max_age: time::Duration,
    /// Pauses of this node, which are left out of the age of a report; `None` to count them, as at a
    /// dispatch.
    pub activity: Option<&'a activity::Activity>,
}

/// Why a replica may not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason<'a> {
    /// The availability zone is out of service.
    ZoneOut,
    /// The replica is in another phase than serving.
    NotServing(assignment::Phase),
    /// The replica has no members.
    Empty,
    /// The platform asked a member to leave.
    Leaving(&'a id::Vm),
    /// There is no report of a member.
    Unreported(&'a id::Vm),
    /// The latest report of a member is older than the maximum age.
    Stale(&'a id::Vm),
    /// A member reports another replica or another epoch.
    Foreign(&'a id::Vm),
    /// A member has not finished loading.
    Loading(&'a id::Vm),
}

/// Whether the replica may take a request at `now`.
///
/// # Errors
///
/// The first reason that was found, with members in the order of the assignment.
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
    let age = now.since(seen.at);
    let age = view.activity.map_or(age, |activity| activity.ran(seen.at, now));
    if age > view.max_age {
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
