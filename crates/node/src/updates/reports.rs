//! The reports of a zone's VMs in a digest.
//!
//! Digests refer to VMs by their position in the assignment, so reports can be merged only if both
//! nodes have the same version of it.

use std::time;

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
            head.map_or_else(Default::default, |seen| load(&seen.report))
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
    let heads = || stored.assignment.replicas.iter().map(assignment::Replica::head);
    // A start id is merged even without a load: an idle replica has the same load as one without a
    // report, so the digest leaves it out.
    let mut restarted = vec![false; stored.assignment.replicas.len()];
    let starts = digest.starts.iter().flatten();
    for ((head, start), restarted) in heads().zip(starts).zip(&mut restarted) {
        let Some(head) = head.filter(|_| *start != 0) else { continue };
        reports.update(head.id.as_str(), |report| {
            *restarted = report.start != *start;
            report.start = *start;
        });
    }
    for (position, load) in &digest.loads {
        let Some(head) = stored.assignment.replicas.get(*position).and_then(|r| r.head()) else {
            continue;
        };
        reports.update(head.id.as_str(), |report| {
            // `finished` only grows within a start, so a lower value is an older load; ignore it.
            if restarted[*position] || load.finished >= report.finished {
                report.running = load.running;
                report.waiting = load.waiting;
                report.finished = load.finished;
            }
        });
    }
    true
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

fn load(report: &report::Report) -> wire::ReplicaLoad {
    let load =
        wire::Load { running: report.running, waiting: report.waiting, finished: report.finished };
    wire::ReplicaLoad { start: report.start, load }
}
