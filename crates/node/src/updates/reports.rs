//! The reports of a zone's VMs in a digest.
//!
//! Digests refer to VMs by their position in the assignment, so reports can be merged only if both
//! nodes have the same version of it.

use std::{collections, time};

use corneltrestle_policy::{assignment, id, release, report};
use corneltrestle_time::moment;
use corneltrestle_wire::link as wire;

use crate::tables;

/// This node's reports of the member VMs of a zone.
#[derive(Debug)]
pub struct ZoneReports {
    /// Version of the assignment that the positions refer to.
    pub version: u64,
    /// Age of the report of each member; `None` without a report that the member is ready in the
    /// replica and epoch that it is assigned to.
    pub ages: Vec<Option<time::Duration>>,
    /// Start id and load of each replica, from the report of its head.
    pub loads: Vec<wire::ReplicaLoad>,
}

impl ZoneReports {
    /// Reads the reports from the tables.
    pub fn read(tables: &tables::Tables, zone: &id::Zone, now: moment::Moment) -> Self {
        let stored = tables.replicas.lock().zone(zone.as_str());
        let reports = tables.reports.lock();
        let replicas = &stored.assignment.replicas;
        let ages = members(replicas)
            .map(|(replica, member)| {
                let seen = reports.get(member.id.as_str())?;
                is_joined(&seen.report, replica).then(|| now.since(seen.at))
            })
            .collect();
        let loads = replicas.iter().map(|replica| {
            let head = replica.head().and_then(|head| reports.get(head.id.as_str()));
            head.map_or_else(Default::default, |seen| wire::ReplicaLoad {
                start: seen.report.start,
                load: seen.report.load(),
            })
        });
        Self { version: stored.version, ages, loads: loads.collect() }
    }
}

/// Merges the reports of a zone from a digest; returns false if the peer has another version of the
/// assignment.
///
/// `round_trip` is the time since the pull was sent, which is added to every age.
pub(super) fn merge(
    tables: &tables::Tables,
    release: &release::Release,
    digest: &wire::Reports,
    round_trip: time::Duration,
    now: moment::Moment,
) -> bool {
    let stored = tables.replicas.lock().zone(digest.zone.as_str());
    if stored.version != digest.assignment {
        return false;
    }
    let mut reports = tables.reports.lock();
    for ((replica, member), age) in members(&stored.assignment.replicas).zip(&digest.ages) {
        let Some(age) = age else { continue };
        let at = now.before(*age + round_trip);
        let joined =
            reports.get(member.id.as_str()).is_some_and(|seen| is_joined(&seen.report, replica));
        if joined {
            reports.confirm(&member.id, at);
        } else if let Some(report) = report_of_peer(replica, member, release) {
            reports.record(report, at);
        }
    }
    merge_heads(&mut reports, &stored.assignment.replicas, digest, round_trip, now);
    true
}

/// Merges start ids and loads of the heads of a zone's replicas from a digest.
fn merge_heads(
    reports: &mut tables::reports::Reports,
    replicas: &[assignment::Replica],
    digest: &wire::Reports,
    round_trip: time::Duration,
    now: moment::Moment,
) {
    let loads: collections::HashMap<usize, report::Load> = digest.loads.iter().copied().collect();
    let starts = digest.starts.as_deref().unwrap_or_default();
    // Position of the head among the members of all replicas.
    let mut at = 0;
    for (position, replica) in replicas.iter().enumerate() {
        let age = digest.ages.get(at).copied().flatten();
        at += replica.vms.len();
        let (Some(head), Some(age)) = (replica.head(), age) else { continue };
        let start = starts.get(position).copied();
        let relayed = report::Relayed {
            at: now.before(age + round_trip),
            start: start.filter(|start| *start != report::UNKNOWN_START),
            load: loads.get(&position).copied(),
        };
        reports.merge(head.id.as_str(), &relayed);
    }
}

/// The report of a VM that only a peer has seen: the peer states that it has joined and is ready.
fn report_of_peer(
    replica: &assignment::Replica,
    member: &assignment::Member,
    release: &release::Release,
) -> Option<report::Report> {
    let set = release.sets.get(&replica.id.set)?;
    Some(report::Report {
        vm: member.id.clone(),
        replica: Some(replica.id.clone()),
        epoch: replica.epoch,
        start: report::UNKNOWN_START,
        model: set.model.clone(),
        adapter: set.adapter.clone(),
        version: set.version.clone(),
        phase: report::Phase::Ready,
        running: 0,
        waiting: 0,
        finished: 0,
        blocks: 0,
        sequence: 0,
    })
}

fn is_joined(report: &report::Report, replica: &assignment::Replica) -> bool {
    report.replica.as_ref() == Some(&replica.id)
        && report.epoch == replica.epoch
        && report.phase == report::Phase::Ready
}

fn members(
    replicas: &[assignment::Replica],
) -> impl Iterator<Item = (&assignment::Replica, &assignment::Member)> {
    replicas.iter().flat_map(|replica| replica.vms.iter().map(move |member| (replica, member)))
}
