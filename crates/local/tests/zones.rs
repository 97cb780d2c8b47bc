//! Guards against new work for a zone that is out of service (invariant d) or for a leaving VM
//! (invariant h) after the time limit, and against the interruption of work in progress.

mod common;

use std::time::Duration;

use common::{Oracle, REPAIR_TIMEOUT, REPORT_MAX_AGE, SLACK};
use corneltrestle_local::{Local, Plan};
use corneltrestle_node::operate::Verdict;
use corneltrestle_policy::vm;
use futures_util::future;
use hyper::Method;

/// Sends `count` generations through each node, one at a time, and checks that each answer is complete.
async fn send(local: &Local, oracle: &Oracle, what: &str, count: usize) {
    for number in 0..count {
        let prompt = format!("{what} {number}");
        for node in local.nodes.values() {
            let ended = common::generate(&common::caller(node), &prompt, 3).await;
            assert!(oracle.check(&prompt, 3, &ended).await, "{prompt}: {ended:?}");
        }
    }
}

/// Sends one long stream through each node at the same time and checks that each is complete.
async fn send_streams(local: &Local, oracle: &Oracle) {
    let sent = local.nodes.values().enumerate().map(|(number, node)| async move {
        let prompt = format!("long {number}");
        let ended = common::generate(&common::caller(node), &prompt, 800).await;
        assert!(oracle.check(&prompt, 800, &ended).await, "{prompt}: {ended:?}");
    });
    future::join_all(sent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_out_finishes_work_and_gets_none_until_it_is_back() {
    let mut plan = Plan::zones(&["zone-a", "zone-b"]);
    plan.zones.iter_mut().for_each(|zone| zone.fabrics = 1);
    let (local, oracle) = (common::open(plan, 1).await, Oracle::open().await);
    let script = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let out = common::zone_note("out", 1, "zone-b", "out");
        assert_eq!(local.apply(&out).await.unwrap(), Verdict::Accepted { revision: 2 });
        let is_out = || local.nodes.values().all(|node| common::revision(node) == 2);
        common::wait_until("the zone is out on every node", REPORT_MAX_AGE, is_out).await;
        let before = common::generation_count(&local, "zone-b");
        let service = local.services.iter().find(|(zone, _)| zone == "zone-b").unwrap();
        let calls = service.1.counts();
        send(&local, &oracle, "while out", 10).await;
        for node in local.nodes.values() {
            let caller = common::caller(node);
            let stock = caller.call(Method::GET, "/desk/stock/tin", &[], Vec::new()).await;
            assert_eq!(stock.unwrap().status, 200);
        }
        assert_eq!(
            common::generation_count(&local, "zone-b"),
            before,
            "new requests in the zone out of service"
        );
        assert_eq!(service.1.counts(), calls, "new calls in the zone out of service");
    };
    tokio::join!(send_streams(&local, &oracle), script);
    let back = common::zone_note("back", 2, "zone-b", "in");
    assert_eq!(local.apply(&back).await.unwrap(), Verdict::Accepted { revision: 3 });
    let is_back = || local.nodes.values().all(|node| common::serving(node).len() == 2);
    common::wait_until("the zone is back on every node", REPAIR_TIMEOUT, is_back).await;
    let before = common::generation_count(&local, "zone-b");
    send(&local, &oracle, "when back", 10).await;
    assert!(
        common::generation_count(&local, "zone-b") > before,
        "no requests in the zone that is back"
    );
    assert_eq!(common::overloads(&local), 0);
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_of_leaving_vm_finishes_work_and_gets_none() {
    let mut local = common::open(common::one_zone(2, 2, 3), 2).await;
    let oracle = Oracle::open().await;
    let replica = common::assignment(&local, "zone-a").replicas[0].clone();
    let head = replica.vms[0].id.to_string();
    let leaving = replica.vms[2].id.to_string();
    local.set_state(&leaving, vm::State::Leaving);
    let local = local;
    let script = async {
        let avoids = |serving: Vec<corneltrestle_policy::assignment::Replica>| {
            serving.iter().all(|r| r.vms.iter().all(|m| m.id.as_str() != leaving))
        };
        let is_left = || local.nodes.values().all(|node| avoids(common::serving(node)));
        // The list lags by 0.5 s, and nodes read it once a second.
        common::wait_until("the replica takes no new work", REPORT_MAX_AGE + SLACK, is_left).await;
        let before = common::generation_count(&local, &head);
        send(&local, &oracle, "while leaving", 10).await;
        assert_eq!(
            common::generation_count(&local, &head),
            before,
            "new requests at the replica of a leaving VM"
        );
    };
    tokio::join!(send_streams(&local, &oracle), script);
    common::assert_no_overlap(&local);
    local.shutdown().await;
}

/// Guards against requests that wait until their deadline at a node without a slot of a cold replica,
/// although another node has a free one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_of_a_zone_out_is_answered_while_the_other_zone_is_cold() {
    let mut plan = Plan::zones(&["zone-a", "zone-b"]);
    plan.zones.iter_mut().for_each(|zone| zone.fabrics = 1);
    let local = common::open_cold(plan, 1, 2).await;
    let out = common::zone_note("out", 1, "zone-b", "out");
    assert_eq!(local.apply(&out).await.unwrap(), Verdict::Accepted { revision: 2 });
    let is_out = || local.nodes.values().all(|node| common::revision(node) == 2);
    common::wait_until("the zone is out on every node", REPORT_MAX_AGE, is_out).await;
    let oracle = Oracle::open().await;
    send(&local, &oracle, "while cold", 1).await;
    local.shutdown().await;
}
