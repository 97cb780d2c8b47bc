//! Choice of a replica for a generation.
//!
//! Candidates are the replicas of the service that are eligible by the latest reports. Those with a
//! free slot are compared by their predicted time to the first token.

use std::{collections, net, sync, time};

use corneltrestle_engine::engine;
use corneltrestle_kernel::table;
use corneltrestle_policy::{assignment, eligibility, id, release, report, retry, route, vm};
use corneltrestle_time::moment;

use super::{borrow, request};
use crate::{
    link::Link,
    pipeline, slots,
    tables::{dispatched, replicas, reports},
};

/// One-way network latency to a replica in another availability zone.
const ZONE_LATENCY: time::Duration = time::Duration::from_millis(1);

/// A replica that a request is sent to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// The replica with its epoch and members, as assigned at the time of the choice.
    pub replica: sync::Arc<assignment::Replica>,
    /// Start id of the engine on the head VM, from its latest report; it changes with a restart.
    pub start: u64,
    /// Availability zone of the replica.
    pub zone: id::Zone,
    /// Address of the head VM, which takes the replica's requests.
    pub head: net::SocketAddr,
}

/// A request in progress at a replica; dropping it records the end.
#[derive(Debug)]
pub(super) struct InProgress<L: Link> {
    table: sync::Arc<table::Table<dispatched::Dispatched>>,
    replica: id::Replica,
    sent_at: moment::Moment,
    /// The slot borrowed from another node for this request.
    _loan: Option<borrow::Loan<L>>,
}

impl<L: Link> Drop for InProgress<L> {
    fn drop(&mut self) {
        self.table.lock().end(&self.replica, self.sent_at);
    }
}

/// What a choice is made from.
#[derive(Clone, Copy)]
pub(super) struct Known<'a> {
    pub(super) release: &'a release::Release,
    pub(super) leaving: &'a collections::BTreeSet<id::Vm>,
    pub(super) replicas: &'a replicas::Replicas,
    pub(super) reports: &'a reports::Reports,
}

/// An eligible replica with the inputs of the prediction.
pub(super) struct Candidate<'a> {
    pub(super) replica: &'a assignment::Replica,
    pub(super) zone: &'a id::Zone,
    pub(super) head: &'a report::Seen,
    permitted: bool,
    /// Whether it may take requests again after its next report, as one has failed there.
    is_awaited: bool,
    cached: u32,
}

impl Target {
    /// The engine call for a request, with the time remaining until its deadline.
    pub(super) fn generate<'a>(
        &'a self,
        request: &'a request::Generation,
        now: moment::Moment,
        resume: Option<engine::Resume<'a>>,
    ) -> engine::Generate<'a> {
        engine::Generate {
            path: request.path,
            id: &request.id,
            replica: &self.replica.id,
            epoch: self.replica.epoch,
            start: self.start,
            priority: u8::from(request.interactive),
            remaining: request.deadline.since(now),
            body: &request.body,
            resume,
        }
    }
}

/// Whether all members have reported since `failed_at`, when a request last failed at the replica.
///
/// Older reports do not show the lost member or the restart that may have caused the failure.
/// Requests sent on their basis would fail again and use up the retry budget, or overload an engine
/// that has just restarted.
pub(super) fn has_fresh_reports(
    replica: &assignment::Replica,
    reports: &reports::Reports,
    failed_at: Option<moment::Moment>,
) -> bool {
    let Some(failed_at) = failed_at else { return true };
    let reported = |member: &assignment::Member| {
        reports.get(member.id.as_str()).is_some_and(|seen| seen.at >= failed_at)
    };
    replica.vms.iter().all(reported)
}

/// Number of replicas of a service that the release declares in zones that take work.
fn declared(release: &release::Release, service: &id::Service) -> usize {
    let sets = release.sets.values().filter(|set| set.service == *service);
    let sets = sets.filter(|set| release.accepts_work(set.zone.as_str()));
    sets.map(|set| usize::from(set.replicas)).sum()
}

impl<E, P, S, L: Link> pipeline::Pipeline<E, P, S, L> {
    /// Chooses an eligible replica for the request and records the dispatch.
    ///
    /// Replicas in `tried`, at which the request failed before, are chosen only if there is no other
    /// that takes it now or may take it after its next report.
    pub(super) fn choose(
        &self,
        request: &request::Generation,
        tried: &retry::Tried,
        now: moment::Moment,
    ) -> Option<(Target, InProgress<L>)> {
        let release = self.tables.current.load();
        let nodes = self.live_nodes();
        let leaving = self.leaving();
        let replicas = self.tables.replicas.lock();
        let reports = self.tables.reports.lock();
        let mut warmup = self.tables.warmup.lock();
        let mut dispatched = self.tables.dispatched.lock();
        let known =
            Known { release: &release, leaving: &leaving, replicas: &replicas, reports: &reports };
        let mut found = self.candidates(request, known, tried, now);
        for candidate in &mut found {
            let busy = dispatched.in_progress(&candidate.replica.id).len();
            let failed_at = dispatched.last_failure(&candidate.replica.id);
            candidate.is_awaited = !has_fresh_reports(candidate.replica, &reports, failed_at);
            candidate.permitted = !candidate.is_awaited
                && slots::is_free(
                    &self.identity.node,
                    &release,
                    candidate.replica,
                    &candidate.head.report,
                    &mut warmup,
                    busy,
                    now,
                );
            candidate.cached = dispatched.prefixes.cached(
                &candidate.replica.id,
                candidate.head.report.start,
                &request.prefixes,
            );
        }
        let expected = found.iter().filter(|c| c.permitted || c.is_awaited).map(|c| c.replica);
        let least = tried.least(expected);
        found.retain(|c| tried.failures(c.replica) == least);
        let params = route::Params {
            prompt_blocks: u32::try_from(request.prefixes.len()).unwrap_or(u32::MAX),
            nodes,
            dispatch_rate: dispatched.rate.per_second(now),
            ..route::Params::default()
        };
        let views: Vec<_> = found.iter().map(|c| self.route_candidate(c, &dispatched)).collect();
        let chosen = route::choose(&views, &params, now, &mut rand::rng())?;
        let Candidate { replica, zone, head, .. } = &found[chosen];
        let target = Target {
            replica: sync::Arc::new((*replica).clone()),
            start: head.report.start,
            zone: (*zone).clone(),
            head: replica.head()?.address,
        };
        let in_progress = self.begin(&mut dispatched, &target, request, None, now);
        Some((target, in_progress))
    }

    /// Records a dispatch: request in progress, dispatch rate and the prefixes now cached there.
    pub(super) fn begin(
        &self,
        dispatched: &mut dispatched::Dispatched,
        target: &Target,
        request: &request::Generation,
        loan: Option<borrow::Loan<L>>,
        now: moment::Moment,
    ) -> InProgress<L> {
        let replica = &target.replica.id;
        dispatched.begin(replica, now);
        dispatched.prefixes.record_dispatch(replica, target.start, &request.prefixes, now);
        InProgress {
            table: sync::Arc::clone(&self.tables.dispatched),
            replica: replica.clone(),
            sent_at: now,
            _loan: loan,
        }
    }

    /// Whether a request in progress may stay at its replica, by the current reports.
    pub(super) fn is_eligible(&self, target: &Target, now: moment::Moment) -> bool {
        let reports = self.tables.reports.lock();
        let view = eligibility::View {
            replica: &target.replica,
            reports: reports.all(),
            // Requests in progress finish even if a member is leaving or the zone takes no new
            // work.
            leaving: &collections::BTreeSet::new(),
            zone_in: true,
            max_age: self.identity.view_bound,
            // While this node was paused, it relayed nothing and could not receive a report.
            activity: Some(&reports.activity),
        };
        match eligibility::check(&view, now) {
            Ok(()) => true,
            Err(reason) => {
                log::info!("route: replica {} cannot serve: {reason:?}", target.replica.id);
                false
            }
        }
    }

    /// VMs that the platform is about to remove.
    pub(super) fn leaving(&self) -> collections::BTreeSet<id::Vm> {
        let listed = sync::Arc::clone(&self.tables.vm_list.lock().vms);
        let leaving = listed.iter().filter(|entry| entry.state == vm::State::Leaving);
        leaving.map(|entry| entry.id.clone()).collect()
    }

    /// The replicas of the service that may take new requests, without those that the request avoids
    /// while another one is declared, which may have been dissolved to be formed again.
    pub(super) fn candidates<'a>(
        &self,
        request: &request::Generation,
        known: Known<'a>,
        tried: &retry::Tried,
        now: moment::Moment,
    ) -> Vec<Candidate<'a>> {
        let Known { release, leaving, replicas, reports } = known;
        let serves = |replica: &assignment::Replica| {
            let set = release.sets.get(&replica.id.set);
            set.is_some_and(|set| set.service == request.service)
        };
        let (mut found, mut avoided) = (Vec::new(), 0);
        for (zone, stored) in replicas.zones() {
            let zone_in = release.accepts_work(zone.as_str());
            for replica in stored.assignment.replicas.iter().filter(|replica| serves(replica)) {
                avoided += usize::from(zone_in && tried.is_avoided(replica, now));
                let max_age = self.identity.view_bound;
                let all = reports.all();
                let view = eligibility::View {
                    replica,
                    reports: all,
                    leaving,
                    zone_in,
                    max_age,
                    activity: None,
                };
                let head = replica.head().and_then(|head| reports.get(head.id.as_str()));
                if let (Ok(()), Some(head)) = (eligibility::check(&view, now), head) {
                    let (permitted, is_awaited, cached) = (false, false, 0);
                    found.push(Candidate { replica, zone, head, permitted, is_awaited, cached });
                }
            }
        }
        if avoided > 0 && avoided < declared(release, &request.service) {
            found.retain(|c| !tried.is_avoided(c.replica, now));
        }
        found
    }

    /// Why no replica of the service takes a request, for the log.
    pub(super) fn obstacles(&self, request: &request::Generation, now: moment::Moment) -> String {
        let release = self.tables.current.load();
        let leaving = self.leaving();
        let replicas = self.tables.replicas.lock();
        let reports = self.tables.reports.lock();
        let mut warmup = self.tables.warmup.lock();
        let dispatched = self.tables.dispatched.lock();
        let mut found = Vec::new();
        for (zone, stored) in replicas.zones() {
            let zone_in = release.accepts_work(zone.as_str());
            for replica in &stored.assignment.replicas {
                let set = release.sets.get(&replica.id.set);
                if set.is_none_or(|set| set.service != request.service) {
                    continue;
                }
                let (max_age, all) = (self.identity.view_bound, reports.all());
                let view = eligibility::View {
                    replica,
                    reports: all,
                    leaving: &leaving,
                    zone_in,
                    max_age,
                    activity: None,
                };
                let failed_at = dispatched.last_failure(&replica.id);
                let cause = match eligibility::check(&view, now) {
                    Err(reason) => format!("{reason:?}"),
                    Ok(()) if !has_fresh_reports(replica, &reports, failed_at) => {
                        "no reports since a failure".to_owned()
                    }
                    Ok(()) => {
                        let busy = dispatched.in_progress(&replica.id).len();
                        let lent = warmup.lent_slots(&replica.id, now);
                        let level = warmup.get_mut(&replica.id).map(|warmup| warmup.level());
                        format!("{busy} requests in progress, {lent} slots lent, level {level:?}")
                    }
                };
                found.push(format!("{} at epoch {}: {cause}", replica.id, replica.epoch));
            }
        }
        if found.is_empty() { "none is assigned".to_owned() } else { found.join("; ") }
    }

    fn route_candidate<'a>(
        &self,
        found: &Candidate<'_>,
        dispatched: &'a dispatched::Dispatched,
    ) -> route::Candidate<'a> {
        let own = *found.zone == self.identity.zone;
        route::Candidate {
            running: found.head.report.running,
            waiting: found.head.report.waiting,
            reported: found.head.at,
            dispatches: dispatched.in_progress(&found.replica.id),
            cached_blocks: found.cached,
            latency: if own { time::Duration::ZERO } else { ZONE_LATENCY },
            permitted: found.permitted,
        }
    }
}
