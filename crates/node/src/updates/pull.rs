//! A pull: the request of a digest from a peer, and the merge of the digest into the tables.

use std::{net, time};

use corneltrestle_kernel::{host, lifecycle};
use corneltrestle_policy::{id, membership};
use corneltrestle_time::moment;
use corneltrestle_wire::link as wire;

use super::{fetch_assignment, fetch_release, reports};
use crate::{
    identity,
    link::{self, Link},
    tables, updates,
};

/// A pull from one peer, with the members that positions in its digest refer to.
#[derive(Debug)]
pub struct Pull {
    request: wire::PullRequest,
    /// Ids and heartbeats of the members of each requested zone, in the order of the request.
    known_members: Vec<Vec<(id::Node, u64)>>,
    /// Whether the peer is in this node's zone.
    same_zone: bool,
}

impl Pull {
    /// Creates a pull of the members of the zones `rosters` and the reports of the zones `zones`.
    pub fn new(
        identity: &identity::Identity,
        tables: &tables::Tables,
        rosters: &[id::Zone],
        zones: &[id::Zone],
        now: moment::Moment,
    ) -> Self {
        let members = tables.members.lock();
        let (mut known, mut known_members) = (Vec::new(), Vec::new());
        for zone in rosters {
            let roster = members.roster(zone.as_str(), now);
            known.push(wire::KnownRoster::new(zone, &members.views(&roster)));
            known_members.push(roster.iter().map(|m| (m.id.clone(), m.heartbeat)).collect());
        }
        drop(members);
        let known_reports = |zone: &id::Zone| {
            let view = updates::ZoneReports::read(tables, zone, now);
            wire::KnownReports::new(zone, view.version, &view.loads, rand::random())
        };
        let request = wire::PullRequest {
            node: identity.node.clone(),
            rosters: known,
            reports: zones.iter().map(known_reports).collect(),
        };
        let same_zone = rosters.contains(&identity.zone);
        Self { request, known_members, same_zone }
    }

    /// Pulls from a peer and merges its digest.
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
        let round_trip = now.since(sent);
        for (roster, known_members) in digest.rosters.iter().zip(&self.known_members) {
            merge_roster(tables, roster, known_members, round_trip, now);
        }
        if digest.revision > tables.config.lock().revision() {
            fetch_release(tables, link, peer).await?;
        }
        {
            let mut config = tables.config.lock();
            config.confirm(digest.revision, now.before(digest.watch_age + round_trip));
            if self.same_zone {
                config.record_peer(digest.revision);
            }
        }
        let release = tables.current.load();
        for reports in &digest.reports {
            if reports::merge(tables, &release, reports, round_trip, now) {
                continue;
            }
            let known = tables.replicas.lock().zone(reports.zone.as_str()).version;
            if reports.assignment > known {
                fetch_assignment(tables, link, peer, &reports.zone).await?;
                reports::merge(tables, &release, reports, round_trip, now);
            }
        }
        Ok(())
    }
}

fn merge_roster(
    tables: &tables::Tables,
    roster: &wire::Roster,
    known_members: &[(id::Node, u64)],
    round_trip: time::Duration,
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
                members.known.merge([entry], round_trip, now);
                members.set_demand(&member.id, member.heartbeat, member.demand.clone());
            }
        }
        wire::Members::Newer(heartbeats) => {
            for heartbeat in heartbeats {
                merge_heartbeat(
                    &mut members,
                    &roster.zone,
                    known_members,
                    heartbeat,
                    round_trip,
                    now,
                );
            }
            // An empty digest also counts: it shows that this node is in contact with a peer.
            members.known.merge([], round_trip, now);
        }
    }
}

fn merge_heartbeat(
    members: &mut tables::members::Members,
    zone: &id::Zone,
    known_members: &[(id::Node, u64)],
    received: &wire::Heartbeat,
    round_trip: time::Duration,
    now: moment::Moment,
) {
    let Some((node, seen)) = known_members.get(received.position) else { return };
    let Some(age) = received.age else { return };
    let Some(known) = members.known.view(now).get(node.as_str()).cloned() else { return };
    let heartbeat = seen + received.advance;
    let entry = membership::Entry {
        node,
        zone,
        address: known.address,
        boot: known.boot,
        heartbeat,
        age,
        draining: known.draining,
    };
    members.known.merge([entry], round_trip, now);
    if let Some(demand) = &received.demand {
        members.set_demand(node, heartbeat, demand.clone());
    }
}
