//! Guards against a VM in two replicas (invariant b) and against a repair that never ends, when the
//! store or the holder of the zone lease fails during the repair.

mod common;

use std::time::{Duration, Instant};

use common::REPAIR_TIMEOUT;
use corneltrestle_local::Local;
use test_case::test_case;

/// The VM with this rank in the first replica of `zone-a`.
fn member(local: &Local, rank: usize) -> String {
    common::assignment(local, "zone-a").replicas[0].vms[rank].id.to_string()
}

/// Waits until every node can dispatch to the replica without `lost`, and checks for overlaps at each
/// poll.
async fn wait_repaired(local: &Local, lost: &str) {
    let end = Instant::now() + REPAIR_TIMEOUT;
    let serves = |node| {
        let serving = common::serving(node);
        serving.len() == 1 && serving[0].vms.iter().all(|member| member.id.as_str() != lost)
    };
    while !local.nodes.values().all(serves) {
        assert!(Instant::now() < end, "not repaired: {:?}", common::assignment(local, "zone-a"));
        common::assert_no_overlap(local);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test_case("answer-lost", Some(1); "one answer lost")]
#[test_case("answer-lost", Some(4); "four answers lost")]
#[test_case("lease-lapse", None; "lease lapses")]
#[test_case("slow", Some(400); "store slow")]
#[test_case("silent", None; "connections to the store silent")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repair_completes_while_the_store_fails(fault: &str, value: Option<u64>) {
    let local = common::open(common::one_zone(2, 1, 4), 1).await;
    let token = common::assignment(&local, "zone-a").token;
    let lost = member(&local, 1);
    local.store.switch(fault, true, value).unwrap();
    local.engines[&lost].switch("crash", true, None).unwrap();
    wait_repaired(&local, &lost).await;
    assert!(common::assignment(&local, "zone-a").token >= token, "the fencing token decreased");
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn assignment_is_frozen_while_the_store_is_down_and_repaired_after() {
    let local = common::open(common::one_zone(2, 1, 4), 1).await;
    let (before, lost) = (common::assignment(&local, "zone-a"), member(&local, 2));
    local.store.switch("down", true, Some(0)).unwrap();
    local.engines[&lost].switch("crash", true, None).unwrap();
    // Longer than the duration of the lease.
    for _ in 0..60 {
        assert_eq!(common::assignment(&local, "zone-a").replicas, before.replicas);
        common::assert_no_overlap(&local);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    local.store.switch("down", false, None).unwrap();
    wait_repaired(&local, &lost).await;
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_lease_holder_does_not_change_a_serving_replica() {
    let mut local = common::open(common::one_zone(2, 1, 3), 1).await;
    for _ in 0..2 {
        let before = common::assignment(&local, "zone-a");
        let holder = common::lease_holder(&local, "zone-a").unwrap();
        let order_count = |local: &Local| -> u64 {
            let counts = local.engines.values().map(|engine| engine.counts());
            counts.map(|counts| counts.get("order").copied().unwrap_or(0)).sum()
        };
        let before_orders = order_count(&local);
        local.stop_node(&holder).await;
        let other = || common::lease_holder(&local, "zone-a").is_some_and(|name| name != holder);
        common::wait_until("another node holds the lease", REPAIR_TIMEOUT, other).await;
        // Covers several assignment rounds of the new holder. In the first ones it only has the reports
        // that other nodes relay.
        for _ in 0..20 {
            let replicas = common::assignment(&local, "zone-a").replicas;
            assert_eq!(replicas[0].epoch, before.replicas[0].epoch, "{replicas:?}");
            assert_eq!(replicas[0].phase, before.replicas[0].phase, "{replicas:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(order_count(&local), before_orders, "the new holder sent orders");
        local.start_node(&holder).unwrap();
        common::wait_ready(&local).await;
    }
    local.shutdown().await;
}
