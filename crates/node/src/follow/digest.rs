//! One pull: what is asked, and what the digest changes.

use std::{net, time};

use corneltrestle_kernel::{host, lifecycle};
use corneltrestle_policy::{id, membership};
use corneltrestle_time::moment;
use corneltrestle_wire::link as wire;

use super::{fetch_assignment, fetch_release, reports};
use crate::{
    follow, identity,
    link::{self, Link},
    tables,
};

/// A pull from one peer, with what positions in its digest refer to.
#[derive(Debug)]
pub struct Pull {
    request: wire::PullRequest,
    /// Ids and heartbeats of each roster, in the order of the request.
    asked: Vec<Vec<(id::Node, u64)>>,
    /// Whether the peer is of the own zone.
    is_near: bool,
}

impl Pull {
    /// Prepares a pull of the members and reports of some zones.
    pub fn prepare(
        identity: &identity::Identity,
        tables: &tables::Tables,
        rosters: &[id::Zone],
        zones: &[id::Zone],
        now: moment::Moment,
    ) -> Self {
        let members = tables.members.lock();
        let (mut known, mut asked) = (Vec::new(), Vec::new());
        for zone in rosters {
            let roster = members.roster(zone.as_str(), now);
            known.push(wire::KnownRoster::new(zone, &members.views(&roster)));
            asked.push(roster.iter().map(|m| (m.id.clone(), m.heartbeat)).collect());
        }
        drop(members);
        let known_reports = |zone: &id::Zone| {
            let view = follow::ZoneReports::of(tables, zone, now);
            wire::KnownReports::new(zone, view.version, &view.loads, rand::random())
        };
        let request = wire::PullRequest {
            node: identity.node.clone(),
            rosters: known,
            reports: zones.iter().map(known_reports).collect(),
        };
        let is_near = rosters.contains(&identity.zone);
        Self { request, asked, is_near }
    }

    /// Pulls from a peer and takes over what it knows.
    ///
    /// # Errors
    ///
    /// When the peer does not answer.
    pub async fn run<L: Link>(
        self,
        host: &host::Host,
        tables: &tables::Tables,
        link: &L,
        peer: net::SocketAddr,
    ) -> link::Result<()> {
        let sent = host.now();
        let digest = link.pull(peer, &self.request).await?;
        let now = host.now();
        let trip = now.since(sent);
        for (roster, asked) in digest.rosters.iter().zip(&self.asked) {
            merge_roster(tables, roster, asked, trip, now);
        }
        if digest.revision > tables.config.lock().revision() {
            fetch_release(tables, link, peer).await?;
        }
        {
            let mut config = tables.config.lock();
            config.heard(digest.revision, now.before(digest.watch_age + trip));
            if self.is_near {
                config.peer_answered(digest.revision);
            }
        }
        let release = tables.current.load();
        for reports in &digest.reports {
            if reports::merge(tables, &release, reports, trip, now) {
                continue;
            }
            let known = tables.replicas.lock().zone(reports.zone.as_str()).version;
            if reports.assignment > known {
                fetch_assignment(tables, link, peer, &reports.zone).await?;
                reports::merge(tables, &release, reports, trip, now);
            }
        }
        Ok(())
    }
}

fn merge_roster(
    tables: &tables::Tables,
    roster: &wire::Roster,
    asked: &[(id::Node, u64)],
    trip: time::Duration,
    now: moment::Moment,
) {
    let mut members = tables.members.lock();
    match &roster.members {
        wire::Members::All(all) => {
            for member in all {
                let entry = membership::Entry {
                    node: &member.id,
                    zone: &roster.zone,
                    address: member.address,
                    boot: member.boot,
                    heartbeat: member.heartbeat,
                    age: member.age,
                    draining: member.state >= lifecycle::Stage::Draining,
                };
                members.known.merge([entry], trip, now);
                members.set_demand(&member.id, member.heartbeat, member.demand.clone());
            }
        }
        wire::Members::Newer(beats) => {
            for beat in beats {
                merge_beat(&mut members, &roster.zone, asked, beat, trip, now);
            }
            // An empty answer is news as well: the peer is in touch.
            members.known.merge([], trip, now);
        }
    }
}

fn merge_beat(
    members: &mut tables::members::Members,
    zone: &id::Zone,
    asked: &[(id::Node, u64)],
    beat: &wire::Heartbeat,
    trip: time::Duration,
    now: moment::Moment,
) {
    let Some((node, seen)) = asked.get(beat.position) else { return };
    let Some(age) = beat.age else { return };
    let Some(known) = members.known.view(now).get(node.as_str()).cloned() else { return };
    let heartbeat = seen + beat.advance;
    let entry = membership::Entry {
        node,
        zone,
        address: known.address,
        boot: known.boot,
        heartbeat,
        age,
        draining: known.draining,
    };
    members.known.merge([entry], trip, now);
    if let Some(demand) = &beat.demand {
        members.set_demand(node, heartbeat, demand.clone());
    }
}
