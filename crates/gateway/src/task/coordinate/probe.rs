//! Probes that detect lost VMs. A probe is a call that requests the report of a VM.

use std::{collections, sync, time};

use corneltrestle_infra::store::Store;
use corneltrestle_policy::{fleet, id};
use corneltrestle_time::moment;
use futures_util::future;

use crate::{
    source::Source,
    tables::{catalog, coordinator, stalls},
    upstream::Client,
};

/// Timeout of one probe. VMs answer with a report within a few milliseconds.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(120);

/// Consecutive probes without an answer after which a VM counts as lost.
const MAX_PROBES: u32 = 2;

/// Time between two probes of a VM that is lost or in a stalled group.
const PROBE_PERIOD: time::Duration = time::Duration::from_millis(500);

impl<S: Store + Source, C: Client> super::Coordinator<S, C> {
    /// Probes the members of stalled groups, and VMs that are lost or did not answer an order.
    pub(super) fn probe(self: &sync::Arc<Self>, now: moment::Moment) {
        let snapshot = self.tables.current.load_full();
        let mut suspects: collections::BTreeSet<id::Vm> = {
            let stalls = self.tables.stalls.lock();
            let groups =
                stalls.iter().filter_map(|(head, _)| snapshot.fleet.group_of(head.as_str()));
            groups.flat_map(|group| members(&snapshot, group)).collect()
        };
        let due: Vec<id::Vm> = {
            let mut coordinator = self.tables.coordinator.lock();
            suspects.extend(coordinator.lost.keys().cloned());
            suspects.extend(std::mem::take(&mut coordinator.unanswered));
            coordinator.prune(&snapshot.fleet, now);
            suspects
                .into_iter()
                .filter(|vm| coordinator.begin_probe(vm, PROBE_PERIOD, now))
                .collect()
        };
        if !due.is_empty() {
            let this = sync::Arc::clone(self);
            self.host.pool.spawn(async move {
                future::join_all(due.iter().map(|vm| this.probe_one(&snapshot, vm))).await;
                this.act(this.host.now());
            });
        }
    }

    async fn probe_one(&self, snapshot: &catalog::Snapshot, vm: &id::Vm) {
        let Some(upstream) = snapshot.fleet.get(vm.as_str()) else { return };
        let begun = self.host.now();
        for _ in 0..MAX_PROBES {
            match self.client.report(upstream.address, vm, PROBE_TIMEOUT).await {
                Ok(report) => {
                    let was_lost = self.tables.coordinator.lock().lost.remove(vm).is_some();
                    if was_lost {
                        log::info!(vm = vm.as_str(), pace = report.pace; "group: the VM answers again");
                    }
                    return;
                }
                Err(e) => log::debug!(vm = vm.as_str(); "group: probe failed: {e}"),
            }
        }
        if self.tables.pauses.lock().has_paused(begun, self.host.now()) {
            log::info!(vm = vm.as_str(); "group: the probe is discarded, as this process was paused");
            return;
        }
        let lost = coordinator::Lost { incarnation: upstream.incarnation, since: self.host.now() };
        if self.tables.coordinator.lock().lost.insert(vm.clone(), lost).is_none() {
            log::warn!(vm = vm.as_str(), probes = MAX_PROBES; "group: the VM does not answer and counts as lost");
        }
    }

    /// Declares groups with a lost member stalled, so that no more requests are sent to them.
    pub(super) fn mark_damaged_groups(&self, now: moment::Moment) {
        let snapshot = self.tables.current.load();
        let lost: Vec<id::Vm> = self.tables.coordinator.lock().lost.keys().cloned().collect();
        for vm in lost {
            let Some(group) = snapshot.fleet.group_of(vm.as_str()) else { continue };
            let Some(head) = snapshot.fleet.head(group) else { continue };
            // The progress that peers reported may be old, so none is given.
            let stall = stalls::Stall {
                epoch: group.epoch,
                detected: now,
                progress: None,
                is_own: true,
                has_lost_member: true,
            };
            let is_new = self.tables.stalls.lock().refresh(&head.id, stall.clone());
            // Each time, as a stream may since have read events that were sent before the loss.
            self.tables.activity.lock().interrupt(head.id.as_str());
            if is_new {
                self.mesh.broadcast_stall(head.id.as_str(), &stall, now);
            }
        }
    }
}

fn members(snapshot: &catalog::Snapshot, group: &fleet::Group) -> Vec<id::Vm> {
    snapshot.fleet.members(group).map(|member| member.id.clone()).collect()
}
