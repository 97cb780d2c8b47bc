//! Task: pulls digests from peers and pushes updates to them.
//!
//! Each round pulls from one peer of the own zone and from one of another zone in turn. Updates
//! that cannot wait for a pull are pushed at once to a few peers, which forward them.

use std::{collections, sync, time};

use corneltrestle_kernel::{host, linkme, plugin};
use corneltrestle_policy::{id, membership, vm};
use corneltrestle_time::moment;
use corneltrestle_wire::link as wire;

use crate::{
    identity,
    link::{Link, plugins},
    tables, updates,
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static GOSSIP: plugin::Plugin = plugin::Plugin {
    name: "gossip",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open: open::<plugins::NodeLink>,
};

/// State of the task.
#[derive(Debug)]
struct Gossip<L> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    link: sync::Arc<L>,
}

fn open<L: Link>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let gossip = sync::Arc::new(Gossip::<L> {
        host: sync::Arc::clone(host),
        identity: host.port()?,
        tables: tables::Tables::new(host)?,
        link: host.port()?,
    });
    let handle = plugin::Handle::default();
    let pusher = sync::Arc::clone(&gossip);
    host.supervise(&handle, "push", move || {
        let pusher = sync::Arc::clone(&pusher);
        async move { pusher.push_updates().await }
    });
    let drainer = sync::Arc::clone(&gossip);
    let stop = handle.stop_token().clone();
    handle.spawn(&host.pool, async move {
        stop.cancelled().await;
        drainer.announce_drain().await;
    });
    let mut round = 0;
    host.every(&handle, membership::PULL_PERIOD, move |now| {
        round += 1;
        gossip.start_round(round, now);
        std::future::ready(())
    });
    Ok(handle)
}

impl<L: Link> Gossip<L> {
    /// Starts the pulls of a round, each in a spawned task, so that a silent peer delays no other.
    fn start_round(self: &sync::Arc<Self>, round: u64, now: moment::Moment) {
        self.refresh(now);
        let own = &self.identity.zone;
        let zones = self.zones();
        let others: Vec<_> = zones.iter().filter(|zone| *zone != own).cloned().collect();
        let (local, remote) = {
            let members = self.tables.members.lock();
            let view = members.known.view(now);
            let local = view.pull_target(round).map(|(_, member)| member.address);
            let remote = others.get(usize::try_from(round).unwrap_or(0) % others.len().max(1));
            let remote = remote.and_then(|zone| {
                let contacts = view.remote_targets(zone.as_str());
                let index = usize::try_from(round / others.len() as u64).unwrap_or(0);
                let contact = contacts.get(index % contacts.len().max(1))?;
                Some((zone.clone(), view.get(contact.as_str())?.address))
            });
            (local, remote)
        };
        if let Some(peer) = local {
            self.pull(peer, std::slice::from_ref(own), &zones, now);
        }
        if let Some((zone, peer)) = remote {
            let zone = [zone];
            self.pull(peer, &zone, &zone, now);
        }
    }

    /// Increments the own heartbeat, publishes the own demand and adds nodes from the VM list.
    fn refresh(&self, now: moment::Moment) {
        let demand: Vec<_> = {
            let admission = self.tables.admission.lock();
            let rows = admission.policy.demand(now);
            rows.filter(|(_, amount)| *amount >= 1.0)
                .map(|(name, amount)| (name.clone(), amount.min(1e9) as u32))
                .collect()
        };
        let mut members = self.tables.members.lock();
        if members.known.tick(now) {
            log::warn!(
                "node: this process was paused; it refreshes its view of the cluster before it acts"
            );
        }
        let node = &self.identity.node;
        let heartbeat = members.known.view(now).get(node.as_str()).map_or(0, |own| own.heartbeat);
        members.publish_demand(node, heartbeat, demand);
        members.prune(now);
        let listed = sync::Arc::clone(&self.tables.vm_list.lock().vms);
        let entries = listed
            .iter()
            .filter(|vm| vm.role == vm::Role::Entry && vm.state == vm::State::Live)
            .filter(|vm| vm.id.as_str() != node.as_str());
        for vm in entries {
            members.known.discover(&vm.id.as_str().into(), &vm.zone, vm.address, now);
        }
    }

    /// All zones that the release declares or that have nodes, the own zone included.
    fn zones(&self) -> Vec<id::Zone> {
        let release = self.tables.current.load();
        let listed = sync::Arc::clone(&self.tables.vm_list.lock().vms);
        let mut zones: collections::BTreeSet<id::Zone> = release.zones.keys().cloned().collect();
        zones.extend(
            listed.iter().filter(|vm| vm.role == vm::Role::Entry).map(|vm| vm.zone.clone()),
        );
        zones.insert(self.identity.zone.clone());
        zones.into_iter().collect()
    }

    fn pull(
        self: &sync::Arc<Self>,
        peer: std::net::SocketAddr,
        rosters: &[id::Zone],
        zones: &[id::Zone],
        now: moment::Moment,
    ) {
        let pull = updates::Pull::new(&self.identity, &self.tables, rosters, zones, now);
        let gossip = sync::Arc::clone(self);
        self.host.pool.spawn(async move {
            if let Err(e) = pull.run(&gossip.host, &gossip.tables, &*gossip.link, peer).await {
                log::debug!("link: {e}");
            }
        });
    }
}

/// Pushes of updates.
impl<L: Link> Gossip<L> {
    async fn push_updates(self: sync::Arc<Self>) {
        let added = self.tables.outbox.lock().added();
        loop {
            added.notified().await;
            let entries = self.tables.outbox.lock().take();
            for entry in entries {
                self.push(&entry);
            }
        }
    }

    /// Pushes an update to a few peers, each in a spawned task.
    fn push(self: &sync::Arc<Self>, entry: &tables::outbox::Entry) {
        for peer in self.push_targets(entry.sender.as_ref()) {
            let gossip = sync::Arc::clone(self);
            let update =
                wire::Update { node: self.identity.node.clone(), kind: entry.kind.clone() };
            self.host.pool.spawn(async move {
                if let Err(e) = gossip.link.push(peer, &update).await {
                    log::debug!("link: {e}");
                }
            });
        }
    }

    fn push_targets(&self, sender: Option<&id::Node>) -> Vec<std::net::SocketAddr> {
        let now = self.host.now();
        let members = self.tables.members.lock();
        let view = members.known.view(now);
        let targets = view.push_targets(sender, &mut rand::rng());
        targets.into_iter().map(|(_, member)| member.address).collect()
    }

    /// Announces a planned stop to a few peers, which forward it.
    async fn announce_drain(&self) {
        let kind =
            wire::UpdateKind::Drain { node: self.identity.node.clone(), boot: self.identity.boot };
        let update = wire::Update { node: self.identity.node.clone(), kind };
        let pushes = self.push_targets(None).into_iter().map(|peer| {
            let update = &update;
            tokio::time::timeout(time::Duration::from_secs(1), async move {
                self.link.push(peer, update).await
            })
        });
        futures_util::future::join_all(pushes).await;
    }
}
