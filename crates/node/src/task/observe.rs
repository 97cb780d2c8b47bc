//! Task: polls the status reports of the zone's engine VMs and detects lost ones.

use std::{sync, time};

use corneltrestle_engine::engine::{self, Engine};
use corneltrestle_kernel::{host, linkme, plugin};
use corneltrestle_policy::{activity, assignment, id, membership, rendezvous, vm};
use corneltrestle_time::moment;
use corneltrestle_wire::link;

use crate::{identity, tables, updates};

/// Time between two polls of a VM.
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Time limit of a poll; a later response counts as missed.
const POLL_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Nodes that poll each VM, so that the VM stays observed if one of them is lost.
const OBSERVERS_PER_VM: usize = 2;
/// Consecutive missed polls after which a VM counts as lost.
const MAX_MISSES: u32 = 2;
/// Age at which a report is removed.
const REPORT_RETENTION: time::Duration = time::Duration::from_secs(300);

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static OBSERVE: plugin::Plugin = plugin::Plugin {
    name: "observe",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open: open::<engine::http::HttpEngine>,
};

/// State of the task.
#[derive(Debug)]
struct Observer<E> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    engine: sync::Arc<E>,
}

fn open<E: Engine>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let observer = sync::Arc::new(Observer::<E> {
        host: sync::Arc::clone(host),
        identity: host.port()?,
        tables: tables::Tables::new(host)?,
        engine: host.port()?,
    });
    let handle = plugin::Handle::default();
    let tables = observer.tables.clone();
    host.every(&handle, activity::Activity::PERIOD, move |now| {
        if let Some(pause) = tables.reports.lock().activity.tick(now) {
            log::info!("node: this process was paused for {} ms", pause.as_millis());
        }
        std::future::ready(())
    });
    host.every(&handle, PERIOD, move |now| {
        observer.start_polls(now);
        std::future::ready(())
    });
    Ok(handle)
}

impl<E: Engine> Observer<E> {
    /// Starts a poll of each VM in a spawned task, so that a silent one delays no other.
    fn start_polls(self: &sync::Arc<Self>, now: moment::Moment) {
        self.tables.reports.lock().prune(now.before(REPORT_RETENTION));
        for member in self.observed(now) {
            let observer = sync::Arc::clone(self);
            self.host.pool.spawn(async move { observer.poll(member).await });
        }
    }

    /// The VMs of the zone that this node polls: those that rendezvous hashing gives it, or all of
    /// them while it holds the zone lease.
    fn observed(&self, now: moment::Moment) -> Vec<assignment::Member> {
        let members = self.tables.members.lock();
        let view = members.known.view(now);
        let zone = &self.identity.zone;
        let live: Vec<_> = view.live(zone.as_str()).map(|(node, _)| node.as_str()).collect();
        let own = self.identity.node.as_str();
        let is_holder = self.tables.coordinator.lock().held.is_some();
        let others = || live.iter().copied().filter(|node| *node != own);
        let mut all = self.zone_vms();
        all.retain(|member| {
            is_holder || rendezvous::is_first(member.id.as_str(), own, others(), OBSERVERS_PER_VM)
        });
        all
    }

    /// The engine VMs of the zone that are listed or assigned.
    fn zone_vms(&self) -> Vec<assignment::Member> {
        let zone = &self.identity.zone;
        let listed = sync::Arc::clone(&self.tables.vm_list.lock().vms);
        let assigned = self.tables.replicas.lock().zone(zone.as_str()).assignment;
        let mut members: Vec<_> = listed
            .iter()
            .filter(|entry| entry.role == vm::Role::Engine && entry.zone == *zone)
            .map(|entry| assignment::Member { id: entry.id.clone(), address: entry.address })
            .chain(assigned.replicas.iter().flat_map(|replica| replica.vms.iter().cloned()))
            .chain(assigned.releasing.iter().map(|releasing| releasing.vm.clone()))
            .collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members.dedup_by(|a, b| a.id == b.id);
        members
    }

    async fn poll(&self, member: assignment::Member) {
        // The report may have been made at any time since the poll was sent, so it gets this time.
        let sent = self.host.now();
        let report = self.engine.report(member.address, POLL_TIMEOUT);
        let report = tokio::time::timeout(POLL_TIMEOUT, report).await;
        match report {
            Ok(Ok(report)) if report.vm == member.id => {
                self.tables.reports.lock().record_poll(report, sent);
            }
            Ok(Ok(report)) => {
                log::warn!("group: VM {} answered as {}", member.id, report.vm);
                self.missed(&member.id, sent);
            }
            Ok(Err(e)) => {
                log::debug!("group: {e}");
                self.missed(&member.id, sent);
            }
            Err(_) => self.missed(&member.id, sent),
        }
    }

    /// Counts a missed poll that was sent at `sent`; once a member VM of a replica is lost, tells the peers at once.
    fn missed(&self, vm: &id::Vm, sent: moment::Moment) {
        let misses = self.tables.reports.lock().record_miss(vm, sent, self.host.now());
        log::debug!("group: VM {vm} did not answer a poll; misses in a row: {misses:?}");
        if misses != Some(MAX_MISSES) {
            return;
        }
        let zone = &self.identity.zone;
        let assigned = self.tables.replicas.lock().zone(zone.as_str()).assignment;
        let Some(replica) = assigned.replica_of(vm.as_str()) else { return };
        let update = membership::Update::Loss { vm: vm.clone(), epoch: replica.epoch };
        self.tables.members.lock().forwarded.insert(&update);
        let kind = link::UpdateKind::Loss {
            zone: zone.clone(),
            vm: vm.clone(),
            replica: replica.id.clone(),
            epoch: replica.epoch,
        };
        updates::mark_lost(&self.host, &self.tables, vm);
        self.tables.outbox.lock().push(kind, None);
    }
}
