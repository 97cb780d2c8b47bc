//! Guards invariant (b) on the side of the zone lease and the store: repairs neither overlap nor
//! stop for good when the store or the holder of the lease fails during them.

mod common;

use std::time::{Duration, Instant};

use common::FORMED;
use corneltrestle_local::Local;
use test_case::test_case;

/// The member of the first replica at `rank`.
fn member(local: &Local, rank: usize) -> String {
    common::stored(local, "zone-a").replicas[0].vms[rank].id.to_string()
}

/// Waits until every node serves the replica without `lost`, checking for overlaps all the time.
async fn repaired(local: &Local, lost: &str) {
    let end = Instant::now() + FORMED;
    let serves = |node| {
        let serving = common::serving(node);
        serving.len() == 1 && serving[0].vms.iter().all(|member| member.id.as_str() != lost)
    };
    while !local.nodes.values().all(serves) {
        assert!(Instant::now() < end, "not repaired: {:?}", common::stored(local, "zone-a"));
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
async fn repair_goes_on_while_the_store_fails(fault: &str, value: Option<u64>) {
    let local = common::open(common::one_zone(2, 1, 4), 1).await;
    let token = common::stored(&local, "zone-a").token;
    let lost = member(&local, 1);
    local.store.switch(fault, true, value).unwrap();
    local.engines[&lost].switch("crash", true, None).unwrap();
    repaired(&local, &lost).await;
    assert!(common::stored(&local, "zone-a").token >= token, "the fencing token went back");
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn assignment_is_frozen_while_the_store_is_down_and_repaired_after() {
    let local = common::open(common::one_zone(2, 1, 4), 1).await;
    let (before, lost) = (common::stored(&local, "zone-a"), member(&local, 2));
    local.store.switch("down", true, Some(0)).unwrap();
    local.engines[&lost].switch("crash", true, None).unwrap();
    // Longer than the lease lasts.
    for _ in 0..60 {
        assert_eq!(common::stored(&local, "zone-a").replicas, before.replicas);
        common::assert_no_overlap(&local);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    local.store.switch("down", false, None).unwrap();
    repaired(&local, &lost).await;
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_holder_changes_nothing_of_a_replica_that_serves() {
    let mut local = common::open(common::one_zone(2, 1, 3), 1).await;
    for _ in 0..2 {
        let before = common::stored(&local, "zone-a");
        let holder = common::holder(&local, "zone-a").unwrap();
        let orders = |local: &Local| -> u64 {
            let counts = local.engines.values().map(|engine| engine.counts());
            counts.map(|counts| counts.get("order").copied().unwrap_or(0)).sum()
        };
        let sent = orders(&local);
        local.stop_node(&holder).await;
        let other = || common::holder(&local, "zone-a").is_some_and(|name| name != holder);
        common::until("another node holds the lease", FORMED, other).await;
        // Several rounds of the new holder, the first ones with relayed reports only.
        for _ in 0..20 {
            let replicas = common::stored(&local, "zone-a").replicas;
            assert_eq!(replicas[0].epoch, before.replicas[0].epoch, "{replicas:?}");
            assert_eq!(replicas[0].phase, before.replicas[0].phase, "{replicas:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(orders(&local), sent, "the new holder sent orders");
        local.start_node(&holder).unwrap();
        common::ready(&local).await;
    }
    local.shutdown().await;
}
