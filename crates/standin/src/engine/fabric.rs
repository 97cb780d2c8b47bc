//! The VMs of one process and their memberships, through which a replica notices a lost member.

use std::{collections, sync};

use corneltrestle_policy::{id, report};
use tokio::sync::watch;

/// The VMs of one process.
///
/// Members of a replica reach each other only through the same `Fabric`.
#[derive(Clone, Debug, Default)]
pub struct Fabric {
    members: sync::Arc<watch::Sender<Members>>,
}

type Members = collections::BTreeMap<id::Vm, Member>;

/// The membership of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Member {
    pub(super) replica: Option<id::Replica>,
    pub(super) epoch: u64,
    pub(super) rank: u16,
    pub(super) size: u16,
    pub(super) phase: report::Phase,
    /// Number of loads begun; a load that was overtaken has no effect.
    pub(super) loads: u64,
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

    /// Changes the membership of a VM and wakes those who wait for a loss.
    pub(super) fn update<T>(&self, vm: &id::Vm, change: impl FnOnce(&mut Member) -> T) -> T {
        let mut result = None;
        self.members.send_modify(|members| {
            let member = members.entry(vm.clone()).or_insert_with(Member::idle);
            result = Some(change(member));
        });
        result.expect("the change ran")
    }

    /// Whether the replica of this head is complete: every member is live and ready.
    pub(super) fn is_complete(&self, head: &id::Vm, expected: &Member) -> bool {
        is_complete(&self.members.borrow(), head, expected)
    }

    /// Waits until the replica of this head is no longer what `seen` shows, or incomplete.
    pub(super) async fn wait_lost(&self, head: &id::Vm, expected: &Member) {
        let mut members = self.members.subscribe();
        // The sender lives as long as `self`, so that waiting cannot fail.
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
