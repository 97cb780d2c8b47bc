//! The state of the whole system, as one node sees it.

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
    /// The node that answers; the replicas are listed as its tables have them.
    pub node: id::Node,
    /// Revision of the release that it has adopted.
    pub revision: u64,
    /// All zones that are declared, or that have nodes or replicas.
    pub zones: Vec<Zone>,
    /// The nodes of all zones, except dead ones.
    pub nodes: Vec<Node>,
    /// The replicas of all zones.
    pub replicas: Vec<Replica>,
    /// The upstreams of plain services.
    pub upstreams: Vec<Upstream>,
}

/// An availability zone and its nodes.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Zone {
    /// Id of the zone.
    pub zone: id::Zone,
    /// Whether the zone takes new work, as operators declared.
    pub state: release::ZoneState,
    /// Number of its nodes, without dead ones.
    pub nodes: usize,
    /// Number of those that answered.
    pub reached: usize,
}

/// A node and its answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Node {
    /// Id of the node.
    pub node: id::Node,
    /// Availability zone of the node.
    pub zone: id::Zone,
    /// Its state; `None` if it did not answer.
    pub state: Option<NodeState>,
}

/// The state of a node by its own answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct NodeState {
    /// Stage of its lifecycle.
    pub stage: lifecycle::Stage,
    /// Revision of the release that it has adopted.
    pub revision: u64,
    /// Milliseconds since a read of the store last confirmed this revision.
    pub watch_age_ms: u64,
    /// Number of replicas of its zone.
    pub replicas: u32,
    /// Number of those that may take requests: all members are ready and have reported recently.
    pub serving: u32,
}

/// A replica of a model and its member VMs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Replica {
    /// Id of the replica, as `set/index`.
    pub replica: String,
    /// The service of its replica set; `None` if the set is no longer in the release.
    pub service: Option<id::Service>,
    /// Availability zone of the replica.
    pub zone: id::Zone,
    /// Fabric domain of the members, which are connected by a fast network.
    pub fabric: id::Fabric,
    /// Epoch, which increases with each change of members.
    pub epoch: u64,
    /// Progress of its formation.
    pub phase: assignment::Phase,
    /// Member VMs; the first is the head, which takes the requests.
    pub members: Vec<Member>,
}

/// A member VM of a replica.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// Id of the VM.
    pub vm: id::Vm,
    /// Its latest report; `None` if there is none.
    pub report: Option<Report>,
}

/// The latest report of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Phase of the engine.
    pub phase: report::Phase,
    /// Number of requests being decoded.
    pub running: u32,
    /// Number of requests in the engine's queue.
    pub waiting: u32,
}

/// An upstream of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Upstream {
    /// Id of the service.
    pub service: id::Service,
    /// Availability zone of the upstream.
    pub zone: id::Zone,
    /// Address that calls are sent to.
    pub address: net::SocketAddr,
    /// Whether its zone takes new work.
    pub state: release::ZoneState,
}

/// Builds the overview from the answers of all nodes and from this node's tables.
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
