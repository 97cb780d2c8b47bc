//! Collects the states of the nodes of all zones.

use std::{collections, net, sync};

use corneltrestle_kernel::{host, lifecycle, plugin};
use corneltrestle_policy::{id, membership, vm};
use corneltrestle_wire::link as wire;

use crate::{
    identity,
    link::{Handler, Link, handler},
    tables,
};

/// Nodes of another zone that are tried in turn before the zone counts as unreachable.
const MAX_CONTACTS: usize = 3;

/// Asks the nodes of all zones for their state.
///
/// For each other zone one node is asked, which collects the answers of its zone.
#[derive(Debug)]
pub struct Survey<L> {
    pub(crate) host: sync::Arc<host::Host>,
    pub(crate) identity: sync::Arc<identity::Identity>,
    pub(crate) tables: tables::Tables,
    pub(crate) link: sync::Arc<L>,
    pub(crate) handler: handler::NodeHandler<L>,
}

/// The states of the nodes by zone; `is_reached` is false for those that did not answer.
pub type Zones = collections::BTreeMap<id::Zone, Vec<wire::NodeStatus>>;

impl<L: Link> Survey<L> {
    /// Creates the survey from the tables and ports of a host.
    ///
    /// # Errors
    ///
    /// When a port has not been provided.
    pub fn new(host: &sync::Arc<host::Host>) -> plugin::Result<Self> {
        Ok(Self {
            host: sync::Arc::clone(host),
            identity: host.port()?,
            tables: tables::Tables::new(host)?,
            link: host.port()?,
            handler: handler::NodeHandler::new(host)?,
        })
    }

    /// The states of the nodes of every zone, except dead ones. A zone without nodes is listed with
    /// an empty list.
    pub async fn zones(&self) -> Zones {
        let asked = self.known_zones().into_iter().map(|zone| async move {
            let nodes = self.zone(&zone).await;
            (zone, nodes)
        });
        futures_util::future::join_all(asked).await.into_iter().collect()
    }

    async fn zone(&self, zone: &id::Zone) -> Vec<wire::NodeStatus> {
        let request = wire::StatusRequest { is_zone: true };
        if *zone == self.identity.zone {
            return self.handler.status(request).await.nodes;
        }
        let known = self.alive(zone);
        let mut nodes = Vec::new();
        for (_, address, _) in known.iter().take(MAX_CONTACTS) {
            if let Ok(reply) = self.link.status(*address, request).await {
                nodes = reply.nodes;
                nodes.retain(|node| node.zone == *zone);
                break;
            }
        }
        // Add the nodes that this node knows to be alive but the contact did not list.
        let named: collections::BTreeSet<_> = nodes.iter().map(|node| node.node.clone()).collect();
        let others = known.into_iter().filter(|(node, ..)| !named.contains(node));
        nodes.extend(others.map(|(node, _, stage)| unreachable_node(node, zone, stage)));
        nodes
    }

    /// The members of another zone that are not dead; those that are not draining come first.
    fn alive(&self, zone: &id::Zone) -> Vec<(id::Node, net::SocketAddr, lifecycle::Stage)> {
        let now = self.host.now();
        let mut roster = self.tables.members.lock().roster(zone.as_str(), now);
        roster.retain(|member| member.age < membership::DEAD_AFTER);
        roster.sort_by_key(|member| (member.state != lifecycle::Stage::Ready, member.age));
        roster.into_iter().map(|member| (member.id, member.address, member.state)).collect()
    }

    /// All zones that are declared, or that have nodes or replicas.
    fn known_zones(&self) -> collections::BTreeSet<id::Zone> {
        let release = self.tables.current.load();
        let mut zones: collections::BTreeSet<_> = release.zones.keys().cloned().collect();
        zones.extend(release.sets.values().map(|set| set.zone.clone()));
        zones.insert(self.identity.zone.clone());
        let now = self.host.now();
        {
            let members = self.tables.members.lock();
            zones.extend(members.known.view(now).entries().map(|entry| entry.zone.clone()));
        }
        let listed = sync::Arc::clone(&self.tables.vm_list.lock().vms);
        let entries = listed.iter().filter(|vm| vm.role == vm::Role::Entry);
        zones.extend(entries.map(|vm| vm.zone.clone()));
        zones
    }
}

fn unreachable_node(node: id::Node, zone: &id::Zone, stage: lifecycle::Stage) -> wire::NodeStatus {
    wire::NodeStatus {
        node,
        zone: zone.clone(),
        is_reached: false,
        stage,
        revision: 0,
        watch_age: std::time::Duration::ZERO,
        replicas: 0,
        serving: 0,
    }
}
