//! Task: assigns the zone's VMs to replicas while this node holds the zone lease.

mod lease;
mod orders;

use std::{sync, time};

use corneltrestle_engine::engine::{self, Engine};
use corneltrestle_etcd::gateway;
use corneltrestle_infra::store::{self, Store};
use corneltrestle_kernel::{host, lifecycle, linkme, plugin};
use corneltrestle_policy::{assignment, plan, vm};
use corneltrestle_time::moment;
use corneltrestle_wire::{key, stored};

use crate::{identity, tables};

/// Time between two rounds.
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Replicas of a zone that may load model weights at the same time. The limit is set by the store
/// that serves the weights.
const MAX_LOADS: usize = 4;

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static ASSIGN: plugin::Plugin = plugin::Plugin {
    name: "assign",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open: open::<gateway::NodeStore, engine::http::HttpEngine>,
};

/// State of the task.
struct Assigner<S, E> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    store: sync::Arc<S>,
    engine: sync::Arc<E>,
}

fn open<S: Store, E: Engine>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let assigner = sync::Arc::new(Assigner::<S, E> {
        host: sync::Arc::clone(host),
        identity: host.port()?,
        tables: tables::Tables::new(host)?,
        store: host.port()?,
        engine: host.port()?,
    });
    let handle = plugin::Handle::default();
    let releaser = sync::Arc::clone(&assigner);
    let stop = handle.stop_token().clone();
    handle.spawn(&host.pool, async move {
        stop.cancelled().await;
        releaser.release_lease().await;
    });
    host.every(&handle, PERIOD, move |now| {
        let assigner = sync::Arc::clone(&assigner);
        async move { assigner.round(now).await }
    });
    Ok(handle)
}

impl<S: Store, E: Engine> Assigner<S, E> {
    async fn round(self: &sync::Arc<Self>, now: moment::Moment) {
        if self.host.lifecycle.stage() != lifecycle::Stage::Ready || !self.is_current(now) {
            return;
        }
        let Some(token) = self.hold_lease(now).await else { return };
        match self.stored().await {
            Ok((version, assignment)) => self.reconcile(token, version, &assignment).await,
            Err(cause) => log::warn!("group: cannot read the assignment: {cause}"),
        }
    }

    fn is_current(&self, now: moment::Moment) -> bool {
        self.tables.members.lock().known.view(now).is_current()
    }

    /// The assignment as this node last wrote or read it, with its version.
    async fn stored(&self) -> Result<(u64, sync::Arc<assignment::Assignment>), String> {
        let zone = &self.identity.zone;
        let known = self.tables.replicas.lock().zone(zone.as_str());
        if known.version > 0 {
            return Ok((known.version, known.assignment));
        }
        self.read().await
    }

    /// Reads the assignment from the store.
    pub(super) async fn read(&self) -> Result<(u64, sync::Arc<assignment::Assignment>), String> {
        let zone = &self.identity.zone;
        let key = key::groups(zone.as_str());
        let found = self.store.read(&key, store::Class::Lease).await.map_err(|e| e.to_string())?;
        let Some(found) = found else { return Ok((0, sync::Arc::default())) };
        let assignment: assignment::Assignment =
            stored::decode(&key, &found.value).map_err(|e| e.to_string())?;
        self.tables.replicas.lock().adopt(zone, found.version, assignment.clone());
        Ok((found.version, sync::Arc::new(assignment)))
    }

    /// Plans, writes the next assignment if it differs and sends the orders.
    async fn reconcile(
        self: &sync::Arc<Self>,
        token: u64,
        version: u64,
        assignment: &assignment::Assignment,
    ) {
        let plan = self.plan(token, assignment);
        if let Some(next) = plan.next {
            self.log_changes(assignment, &next);
            if !self.write(version, next).await {
                return;
            }
        }
        // The lease may have expired during the write. Engines that ignore fencing tokens rely on
        // the holder sending no orders after that, so check again.
        if self.acting_token() == Some(token) {
            self.send(token, plan.orders);
        }
    }

    fn plan(&self, token: u64, assignment: &assignment::Assignment) -> plan::Plan {
        let now = self.host.now();
        let release = self.tables.current.load();
        let members = self.tables.members.lock();
        let view = members.known.view(now);
        let zone = &self.identity.zone;
        let vms = sync::Arc::clone(&self.tables.vm_list.lock().vms);
        let entries = vms.iter().filter(|vm| vm.role == vm::Role::Entry && vm.zone == *zone);
        // The nodes that share a replica's warm-up slots, its routers, are fixed for an epoch. A node
        // that is not known yet would get no slots until the next epoch.
        let routers: Vec<_> = if view.is_bootstrapping(entries.map(|vm| vm.id.as_str())) {
            Vec::new()
        } else {
            view.live(zone.as_str()).map(|(node, _)| node.as_str()).collect()
        };
        let mut coordinator = self.tables.coordinator.lock();
        let reports = self.tables.reports.lock();
        coordinator.observations.observe(assignment, reports.all(), now);
        let view = plan::View {
            zone,
            release: &release,
            assignment,
            vms: &vms,
            reports: reports.all(),
            observations: &coordinator.observations,
            routers: &routers,
            token,
            max_loads: MAX_LOADS,
            max_age: self.identity.view_bound,
            activity: &reports.activity,
        };
        plan::plan(&view, now)
    }

    /// Logs each replica whose phase or epoch changes, with the reports that led to it.
    fn log_changes(&self, from: &assignment::Assignment, to: &assignment::Assignment) {
        let now = self.host.now();
        let reports = self.tables.reports.lock();
        for old in &from.replicas {
            let new = to.replicas.iter().find(|replica| replica.id == old.id);
            let next = new.map(|new| (new.epoch, new.phase));
            if next == Some((old.epoch, old.phase)) {
                continue;
            }
            let member = |member: &assignment::Member| match reports.get(member.id.as_str()) {
                None => format!("{} without a report", member.id),
                Some(seen) => format!(
                    "{} {:?} at epoch {} of start {:x}, {} ms ago",
                    member.id,
                    seen.report.phase,
                    seen.report.epoch,
                    seen.report.start,
                    now.since(seen.at).as_millis()
                ),
            };
            let members: Vec<_> = old.vms.iter().map(member).collect();
            let (id, epoch, phase) = (&old.id, old.epoch, old.phase);
            match next {
                Some((to, next)) => log::info!(
                    "group: {id} changes from {phase:?} at epoch {epoch} to {next:?} at epoch {to}: {}",
                    members.join(", ")
                ),
                None => log::info!(
                    "group: {id}, {phase:?} at epoch {epoch}, is dissolved: {}",
                    members.join(", ")
                ),
            }
        }
    }

    /// Writes the next assignment by compare-and-swap; returns whether it took effect.
    async fn write(&self, version: u64, next: assignment::Assignment) -> bool {
        let zone = &self.identity.zone;
        let key = key::groups(zone.as_str());
        let value = match stored::encode(&key, &next) {
            Ok(value) => value,
            Err(e) => {
                log::error!("group: {e}");
                return false;
            }
        };
        match self.store.swap(&key, version, &value, None, store::Class::Lease).await {
            Ok(store::Swap::Done(version)) => {
                log::info!("group: assignment of {zone} is at version {version}");
                self.tables.replicas.lock().adopt(zone, version, next);
                true
            }
            Ok(store::Swap::Conflict(_)) => {
                log::warn!("group: another node wrote the assignment of {zone}");
                self.reread().await;
                false
            }
            Err(e) => {
                log::warn!("group: cannot write the assignment: {e}");
                if e.may_have_run() {
                    self.reread().await;
                }
                false
            }
        }
    }

    async fn reread(&self) {
        if let Err(cause) = self.read().await {
            log::warn!("group: cannot read the assignment back: {cause}");
        }
    }
}
