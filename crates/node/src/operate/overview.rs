//! The state of the whole system as one node knows it.

use std::net;

use corneltrestle_kernel::lifecycle;
use corneltrestle_policy::{assignment, id, release, report};
use corneltrestle_time::moment;
use corneltrestle_wire::link as wire;

use super::survey;
use crate::{link::Link, tables};

/// The state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Overview {
    /// The answering node, whose view the replicas are.
    pub node: id::Node,
    /// Its revision.
    pub revision: u64,
    /// The zones.
    pub zones: Vec<Zone>,
    /// The nodes of all zones.
    pub nodes: Vec<Node>,
    /// The replicas of all zones.
    pub replicas: Vec<Replica>,
    /// The upstreams of plain services.
    pub upstreams: Vec<Upstream>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Zone {
    /// The zone.
    pub zone: id::Zone,
    /// Whether it takes new work.
    pub state: release::ZoneState,
    /// Its nodes that are not known to be dead.
    pub nodes: usize,
    /// Those that answered.
    pub reached: usize,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Node {
    /// The node.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// What it answered; nothing if it did not.
    pub state: Option<NodeState>,
}

/// What a node says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct NodeState {
    /// Its run state.
    pub stage: lifecycle::Stage,
    /// Its revision.
    pub revision: u64,
    /// Age of its newest watch data in milliseconds.
    pub watch_age_ms: u64,
    /// Replicas of its zone.
    pub replicas: u32,
    /// Those with a complete fresh view.
    pub serving: u32,
}

/// A replica.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Replica {
    /// The replica, as `set/index`.
    pub replica: String,
    /// Its service; nothing if its set was withdrawn.
    pub service: Option<id::Service>,
    /// Its zone.
    pub zone: id::Zone,
    /// Its fabric domain.
    pub fabric: id::Fabric,
    /// Its epoch.
    pub epoch: u64,
    /// Its progress.
    pub phase: assignment::Phase,
    /// Its members, the head first.
    pub members: Vec<Member>,
}

/// A member VM of a replica.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// The VM.
    pub vm: id::Vm,
    /// Its latest report; nothing if none is known.
    pub report: Option<Report>,
}

/// The latest report of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Its age in milliseconds.
    pub age_ms: u64,
    /// The phase in it.
    pub phase: report::Phase,
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// An upstream of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Upstream {
    /// The service.
    pub service: id::Service,
    /// The zone.
    pub zone: id::Zone,
    /// The address.
    pub address: net::SocketAddr,
    /// Whether its zone takes new work.
    pub state: release::ZoneState,
}

/// Asks all nodes and reads this node's tables.
pub async fn read<L: Link>(survey: &survey::Survey<L>) -> Overview {
    let zones = survey.zones().await;
    let release = survey.tables.current.load();
    let state = |zone: &id::Zone| release.zones.get(zone).copied().unwrap_or_default();
    let zone = |(zone, nodes): (&id::Zone, &Vec<wire::NodeStatus>)| Zone {
        zone: zone.clone(),
        state: state(zone),
        nodes: nodes.len(),
        reached: nodes.iter().filter(|node| node.is_reached).count(),
    };
    Overview {
        node: survey.identity.node.clone(),
        revision: release.revision,
        zones: zones.iter().map(zone).collect(),
        nodes: zones.values().flatten().map(node).collect(),
        replicas: replicas(&survey.tables, &release, survey.host.now()),
        upstreams: upstreams(&release),
    }
}

fn node(status: &wire::NodeStatus) -> Node {
    let state = NodeState {
        stage: status.stage,
        revision: status.revision,
        watch_age_ms: millis(status.watch_age),
        replicas: status.replicas,
        serving: status.serving,
    };
    Node {
        node: status.node.clone(),
        zone: status.zone.clone(),
        state: status.is_reached.then_some(state),
    }
}

fn replicas(
    tables: &tables::Tables,
    release: &release::Release,
    now: moment::Moment,
) -> Vec<Replica> {
    let stored: Vec<_> = {
        let replicas = tables.replicas.lock();
        replicas.zones().map(|(zone, stored)| (zone.clone(), stored.clone())).collect()
    };
    let reports = tables.reports.lock();
    let member = |member: &assignment::Member| Member {
        vm: member.id.clone(),
        report: reports.get(member.id.as_str()).map(|seen| Report {
            age_ms: millis(now.since(seen.at)),
            phase: seen.report.phase,
            running: seen.report.running,
            waiting: seen.report.waiting,
        }),
    };
    let replica = |zone: &id::Zone, replica: &assignment::Replica| Replica {
        replica: replica.id.to_string(),
        service: release.sets.get(&replica.id.set).map(|set| set.service.clone()),
        zone: zone.clone(),
        fabric: replica.fabric.clone(),
        epoch: replica.epoch,
        phase: replica.phase,
        members: replica.vms.iter().map(member).collect(),
    };
    let of_zone = stored.iter().flat_map(|(zone, stored)| {
        stored.assignment.replicas.iter().map(move |found| (zone, found))
    });
    of_zone.map(|(zone, found)| replica(zone, found)).collect()
}

fn upstreams(release: &release::Release) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for (service, declared) in &release.services {
        for (zone, address) in declared.plain().map_or(&[][..], |plain| &plain.upstreams) {
            upstreams.push(Upstream {
                service: service.clone(),
                zone: zone.clone(),
                address: *address,
                state: release.zones.get(zone).copied().unwrap_or_default(),
            });
        }
    }
    upstreams
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
