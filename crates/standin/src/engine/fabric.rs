//! Replica membership of the VMs of one process, through which a replica detects a lost member.

use std::{collections, sync};

use corneltrestle_policy::{id, report};
use tokio::sync::watch;

/// Replica membership of the VMs of one process.
///
/// Members of a replica detect each other only if they share the same `Fabric`.
#[derive(Clone, Debug, Default)]
pub struct Fabric {
    members: sync::Arc<watch::Sender<Members>>,
}

type Members = collections::BTreeMap<id::Vm, Member>;

/// The place of one VM in a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Member {
    /// `None` while the VM belongs to no replica.
    pub(super) replica: Option<id::Replica>,
    pub(super) epoch: u64,
    /// Index of this member; the head has rank 0.
    pub(super) rank: u16,
    /// Number of members of the replica.
    pub(super) size: u16,
    pub(super) phase: report::Phase,
    /// Number of loads started; a load that a later one has replaced has no effect.
    pub(super) loads: u64,
    /// False while the VM is crashed, paused or shut down.
    pub(super) live: bool,
}

impl Member {
    pub(super) fn idle() -> Self {
        Self {
            replica: None,
            epoch: 0,
            rank: 0,
            size: 0,
            phase: report::Phase::Idle,
            loads: 0,
            live: true,
        }
    }

    fn same_replica(&self, other: &Self) -> bool {
        self.replica == other.replica && self.epoch == other.epoch
    }

    fn is_serving(&self) -> bool {
        self.live && self.phase == report::Phase::Ready
    }
}

impl Fabric {
    /// The membership of a VM.
    pub(super) fn member(&self, vm: &id::Vm) -> Member {
        self.members.borrow().get(vm).cloned().unwrap_or_else(Member::idle)
    }

    /// Changes the membership of a VM and wakes the waiters in [`Self::wait_lost`].
    pub(super) fn update<T>(&self, vm: &id::Vm, change: impl FnOnce(&mut Member) -> T) -> T {
        let mut result = None;
        self.members.send_modify(|members| {
            let member = members.entry(vm.clone()).or_insert_with(Member::idle);
            result = Some(change(member));
        });
        result.expect("the change ran")
    }

    /// Whether the head is still in the replica and epoch of `expected` and every member is live
    /// and ready.
    pub(super) fn is_complete(&self, head: &id::Vm, expected: &Member) -> bool {
        is_complete(&self.members.borrow(), head, expected)
    }

    /// Waits until [`Self::is_complete`] is false.
    pub(super) async fn wait_lost(&self, head: &id::Vm, expected: &Member) {
        let mut members = self.members.subscribe();
        // The sender lives as long as `self`, so `wait_for` cannot fail.
        let _ = members.wait_for(|members| !is_complete(members, head, expected)).await;
    }
}

fn is_complete(members: &Members, head: &id::Vm, expected: &Member) -> bool {
    if !members.get(head).is_some_and(|member| member.same_replica(expected) && member.is_serving())
    {
        return false;
    }
    let serving =
        members.values().filter(|member| member.same_replica(expected) && member.is_serving());
    let ranks: collections::BTreeSet<_> = serving.map(|member| member.rank).collect();
    ranks.len() == usize::from(expected.size)
}
