//! Guards against an accepted note that is not in force everywhere in time or that reverts, while the
//! store and nodes fail (invariant j).

mod common;

use std::time::Duration;

use common::{CONFIG_TIMEOUT, SLACK};
use corneltrestle_local::{Local, Plan};
use corneltrestle_node::operate::Verdict;
use test_case::test_case;

/// Opens two zones with two nodes and one replica each.
async fn open() -> Local {
    let mut plan = Plan::zones(&["zone-a", "zone-b"]);
    plan.zones.iter_mut().for_each(|zone| (zone.fabrics, zone.services) = (1, 0));
    common::open(plan, 1).await
}

/// Waits until a revision is in force on all nodes.
async fn wait_in_force(local: &Local, revision: u64) {
    let is_met = || local.nodes.values().all(|node| common::revision(node) == revision);
    common::wait_until(&format!("revision {revision} is in force"), CONFIG_TIMEOUT + SLACK, is_met)
        .await;
}

#[test_case("answer-lost", Some(1); "answer lost")]
#[test_case("answer-lost", Some(3); "three answers lost")]
#[test_case("slow", Some(400); "store slow")]
#[test_case("silent", None; "connections to the store silent")]
#[test_case("lease-lapse", None; "leases lapse")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_note_is_in_force_everywhere(fault: &str, value: Option<u64>) {
    let local = open().await;
    local.store.switch(fault, true, value).unwrap();
    let note = common::zone_note("out", 1, "zone-b", "out");
    let mut verdict = local.apply(&note).await.unwrap();
    for _ in 0..20 {
        if verdict == (Verdict::Accepted { revision: 2 }) {
            break;
        }
        // The same note may be applied again until its verdict is known.
        let is_retryable = matches!(verdict, Verdict::Unknown { .. } | Verdict::Unavailable { .. });
        assert!(is_retryable, "{verdict:?}");
        tokio::time::sleep(Duration::from_millis(250)).await;
        verdict = local.apply(&note).await.unwrap();
    }
    assert_eq!(verdict, Verdict::Accepted { revision: 2 });
    wait_in_force(&local, 2).await;
    local.store.switch(fault, false, None).unwrap();
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_concurrent_notes_is_accepted() {
    let local = open().await;
    let nodes = [common::node(&local, "zone-a"), common::node(&local, "zone-b")];
    for round in 0..3 {
        let base = 1 + round;
        let state = ["out", "in"][usize::try_from(round % 2).unwrap()];
        let notes = ["first", "second"]
            .map(|who| common::zone_note(&format!("{who}-{round}"), base, "zone-b", state));
        let (one, two) = tokio::join!(nodes[0].apply(&notes[0]), nodes[1].apply(&notes[1]));
        let verdicts = [one.unwrap(), two.unwrap()];
        let won = |v: &&Verdict| **v == Verdict::Accepted { revision: base + 1 };
        let lost = |v: &&Verdict| matches!(v, Verdict::Conflict { .. });
        assert_eq!(verdicts.iter().filter(won).count(), 1, "{verdicts:?}");
        assert_eq!(verdicts.iter().filter(lost).count(), 1, "{verdicts:?}");
        wait_in_force(&local, base + 1).await;
    }
    local.shutdown().await;
}

#[test_case(Some(0); "port closed")]
#[test_case(Some(503); "calls fail")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_node_has_the_revision_although_the_store_is_down(down: Option<u64>) {
    let mut local = open().await;
    let note = common::zone_note("out", 1, "zone-b", "out");
    assert_eq!(local.apply(&note).await.unwrap(), Verdict::Accepted { revision: 2 });
    wait_in_force(&local, 2).await;
    local.store.switch("down", true, down).unwrap();
    let name = local.nodes.keys().next().unwrap().clone();
    local.stop_node(&name).await;
    local.start_node(&name).unwrap();
    let node = &local.nodes[&name];
    let is_ready = || {
        let (ready, revision) = (common::is_ready(node), common::revision(node));
        assert!(!ready || revision == 2, "ready at revision {revision}");
        ready
    };
    common::wait_until("the node is ready", CONFIG_TIMEOUT + SLACK, is_ready).await;
    let serves = || common::serving(node).len() == 1;
    common::wait_until("the node serves without the store", CONFIG_TIMEOUT + SLACK, serves).await;
    let refused = node.apply(&common::zone_note("in", 2, "zone-b", "in")).await.unwrap();
    assert!(
        matches!(refused, Verdict::Unavailable { .. } | Verdict::Unknown { .. }),
        "{refused:?}"
    );
    local.store.switch("down", false, None).unwrap();
    for _ in 0..30 {
        assert!(local.nodes.values().all(|node| common::revision(node) == 2));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_without_store_and_peers_is_not_ready() {
    let local = Local::open(common::one_zone(1, 0, 0)).await.unwrap();
    let mut local = local;
    common::wait_ready(&local).await;
    let name = local.nodes.keys().next().unwrap().clone();
    local.stop_node(&name).await;
    local.store.switch("down", true, Some(0)).unwrap();
    local.start_node(&name).unwrap();
    for _ in 0..20 {
        assert!(!common::is_ready(&local.nodes[&name]), "ready without any revision");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    local.store.switch("down", false, None).unwrap();
    common::wait_ready(&local).await;
    local.shutdown().await;
}
