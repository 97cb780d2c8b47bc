//! Guards against an answer from a replica with a missing VM (invariant a) and against a VM in two
//! replicas (invariant b), while VMs and fabric domains fail and return.

mod common;

use std::time::{Duration, Instant};

use common::{Oracle, REPAIR_TIMEOUT, REPORT_MAX_AGE, SLACK};
use corneltrestle_local::Local;
use hyper::Method;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

/// The VM with this rank in the first replica of `zone-a`.
fn member(local: &Local, rank: usize) -> String {
    common::assignment(local, "zone-a").replicas[0].vms[rank].id.to_string()
}

/// Whether every node can dispatch to `wanted` replicas, none of which contains a lost VM.
fn avoids(local: &Local, lost: &[String], wanted: usize) -> bool {
    local.nodes.values().all(|node| {
        let serving = common::serving(node);
        serving.len() == wanted
            && serving.iter().flat_map(|r| &r.vms).all(|m| !lost.contains(&m.id.to_string()))
    })
}

/// Waits until the replicas are repaired without the lost VMs, and checks both invariants at each poll.
async fn wait_repaired(local: &Local, lost: &[String], wanted: usize) {
    let start = Instant::now();
    let end = start + REPAIR_TIMEOUT;
    while !avoids(local, lost, wanted) {
        assert!(Instant::now() < end, "not repaired: {:?}", common::assignment(local, "zone-a"));
        common::assert_no_overlap(local);
        for node in local.nodes.values().filter(|_| start.elapsed() > REPORT_MAX_AGE + SLACK) {
            for replica in common::serving(node) {
                let missing = replica.vms.iter().find(|m| lost.contains(&m.id.to_string()));
                assert!(missing.is_none(), "{} still serves with {missing:?}", replica.id);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    common::assert_no_overlap(local);
}

#[test_case("crash", 0; "head crash")]
#[test_case("crash", 1; "member crash")]
#[test_case("pause", 0; "head pause")]
#[test_case("pause", 2; "member pause")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_without_a_member_stops_and_is_repaired(fault: &str, rank: usize) {
    let local = common::open(common::one_zone(2, 1, 4), 1).await;
    let (lost, oracle) = (member(&local, rank), Oracle::open().await);
    local.engines[&lost].switch(fault, true, None).unwrap();
    wait_repaired(&local, std::slice::from_ref(&lost), 1).await;
    let caller = common::caller(common::node(&local, "zone-a"));
    let ended = common::generate(&caller, "after the repair", 8).await;
    assert!(oracle.check("after the repair", 8, &ended).await, "{ended:?}");
    // The VM returns with its old membership or with none, and becomes a spare.
    local.engines[&lost].switch(fault, false, None).unwrap();
    let is_idle = || local.engines[&lost].api().report().replica.is_none();
    common::wait_until("the returned VM is released", REPAIR_TIMEOUT, is_idle).await;
    for _ in 0..10 {
        common::assert_no_overlap(&local);
        tokio::time::sleep(SECOND / 10).await;
    }
    local.shutdown().await;
}

/// While the store is down the assignment cannot change, so only the missing reports of a member keep
/// nodes from sending requests to the head. The head counts the requests that it receives.
#[test_case("crash", 1; "member crash")]
#[test_case("pause", 2; "member pause")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn head_gets_no_request_while_a_member_is_missing(fault: &str, rank: usize) {
    let local = common::open(common::one_zone(2, 1, 3), 1).await;
    let (head, lost) = (member(&local, 0), member(&local, rank));
    local.store.switch("down", true, Some(0)).unwrap();
    local.engines[&lost].switch(fault, true, None).unwrap();
    tokio::time::sleep(REPORT_MAX_AGE + SECOND / 2).await;
    let before = common::generation_count(&local, &head);
    for node in local.nodes.values() {
        let headers = [("x-deadline-ms", "300")];
        let body = common::body("without a member", 3, true);
        let caller = common::caller(node);
        let answer = caller.call(Method::POST, "/v1/completions", &headers, body).await.unwrap();
        assert_eq!(common::outcome(&answer).1, "not-run", "{answer:?}");
    }
    assert_eq!(
        common::generation_count(&local, &head),
        before,
        "the head received a request while a member was missing"
    );
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_complete_or_aborted_while_members_crash() {
    let plan = common::one_zone(2, 2, 4);
    let (local, oracle) = (common::open(plan, 2).await, Oracle::open().await);
    let callers: Vec<_> = local.nodes.values().map(common::caller).collect();
    let prompts: Vec<_> = (0..4).map(|number| format!("stream {number} of 4")).collect();
    let streams = prompts
        .iter()
        .enumerate()
        .map(|(number, prompt)| common::generate(&callers[number % callers.len()], prompt, 300));
    let crash = async {
        tokio::time::sleep(SECOND / 2).await;
        local.engines[&member(&local, 1)].switch("crash", true, None).unwrap();
    };
    let (ended, ()) = tokio::join!(futures_util::future::join_all(streams), crash);
    for (prompt, ended) in prompts.iter().zip(&ended) {
        assert!(oracle.check(prompt, 300, ended).await, "{ended:?}");
    }
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_of_failed_fabric_domain_is_formed_in_another() {
    let local = common::open(common::one_zone(2, 2, 3), 1).await;
    let fabric = common::assignment(&local, "zone-a").replicas[0].fabric.to_string();
    let lost: Vec<_> = local.engines.keys().filter(|vm| vm.starts_with(&fabric)).cloned().collect();
    for vm in &lost {
        local.engines[vm].switch("crash", true, None).unwrap();
    }
    wait_repaired(&local, &lost, 1).await;
    local.shutdown().await;
}

#[test_case(500; "list 0.5 s late")]
#[test_case(60_000; "list 60 s late")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn absence_from_the_list_does_not_end_a_reporting_replica(lag: u64) {
    let local = common::open(common::one_zone(1, 1, 3), 1).await;
    let before = common::assignment(&local, "zone-a");
    local.vms.switch("lagging-list", true, Some(lag)).unwrap();
    local.vms.api().set(&[]);
    for _ in 0..30 {
        assert_eq!(common::serving(common::node(&local, "zone-a")).len(), 1);
        tokio::time::sleep(SECOND / 10).await;
    }
    assert_eq!(common::assignment(&local, "zone-a").replicas, before.replicas);
    local.shutdown().await;
}
