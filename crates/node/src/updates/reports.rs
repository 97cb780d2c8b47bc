//! Reports of a zone's VMs in the order of its assignment.

use std::time;

use corneltrestle_policy::{assignment, id, release, report};
use corneltrestle_time::moment;
use corneltrestle_wire::link as wire;

use crate::tables;

/// What this node knows of the member VMs of a zone.
#[derive(Debug)]
pub struct ZoneReports {
    /// Version of the assignment that the positions refer to.
    pub version: u64,
    /// Ages of the members' reports of the replica and epoch that they are assigned to.
    pub ages: Vec<Option<time::Duration>>,
    /// Start and load of each replica.
    pub loads: Vec<wire::ReplicaLoad>,
}

impl ZoneReports {
    /// Reads the tables.
    pub fn of(tables: &tables::Tables, zone: &id::Zone, now: moment::Moment) -> Self {
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

/// Takes over what a digest says of a zone that is at the same assignment; returns whether it was.
///
/// `trip` is the time since the pull was sent, by which every age may have grown.
pub(super) fn merge(
    tables: &tables::Tables,
    release: &release::Release,
    digest: &wire::Reports,
    trip: time::Duration,
    now: moment::Moment,
) -> bool {
    let stored = tables.replicas.lock().zone(digest.zone.as_str());
    if stored.version != digest.assignment {
        return false;
    }
    let mut reports = tables.reports.lock();
    for ((replica, member), age) in members(&stored.assignment.replicas).zip(&digest.ages) {
        let Some(age) = age else { continue };
        let at = now.before(*age + trip);
        let joined =
            reports.get(member.id.as_str()).is_some_and(|seen| is_joined(&seen.report, replica));
        if joined {
            reports.confirm(&member.id, at);
        } else if let Some(report) = relayed(replica, member, release) {
            reports.record(report, at);
        }
    }
    let heads = || stored.assignment.replicas.iter().map(assignment::Replica::head);
    // A start counts without a load too: the load of an idle upstream does not differ from that of
    // one of which nothing is known.
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
            // The counter only grows within a start, so that an older load does not set it back.
            if restarted[*position] || load.finished >= report.finished {
                report.running = load.running;
                report.waiting = load.waiting;
                report.finished = load.finished;
            }
        });
    }
    true
}

/// A report known only from a peer: the peer states that the VM has joined and is ready.
fn relayed(
    replica: &assignment::Replica,
    member: &assignment::Member,
    release: &release::Release,
) -> Option<report::Report> {
    let set = release.sets.get(&replica.id.set)?;
    Some(report::Report {
        vm: member.id.clone(),
        replica: Some(replica.id.clone()),
        epoch: replica.epoch,
        start: 0,
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
