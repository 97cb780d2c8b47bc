//! Guards invariants (d) and (h): no new work for a zone out of service or a leaving VM after the
//! bound, while work in progress finishes.

mod common;

use std::time::Duration;

use common::{FORMED, Oracle, SLACK, VIEW};
use corneltrestle_local::{Local, Plan};
use corneltrestle_node::operate::Verdict;
use corneltrestle_policy::vm;
use futures_util::future;
use hyper::Method;

/// Sends `count` generations in turn to all nodes and checks that each is whole.
async fn send(local: &Local, oracle: &Oracle, what: &str, count: usize) {
    for number in 0..count {
        let prompt = format!("{what} {number}");
        for node in local.nodes.values() {
            let ended = common::generate(&common::caller(node), &prompt, 3).await;
            assert!(oracle.check(&prompt, 3, &ended).await, "{prompt}: {ended:?}");
        }
    }
}

/// Long streams through all nodes.
async fn streams(local: &Local, oracle: &Oracle) {
    let sent = local.nodes.values().enumerate().map(|(number, node)| async move {
        let prompt = format!("long {number}");
        let ended = common::generate(&common::caller(node), &prompt, 800).await;
        assert!(oracle.check(&prompt, 800, &ended).await, "{prompt}: {ended:?}");
    });
    future::join_all(sent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_out_gets_no_new_work_finishes_and_returns_slowly() {
    let mut plan = Plan::zones(&["zone-a", "zone-b"]);
    plan.zones.iter_mut().for_each(|zone| zone.fabrics = 1);
    let (local, oracle) = (common::open(plan, 1).await, Oracle::open().await);
    let script = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let out = common::zone_note("out", 1, "zone-b", "out");
        assert_eq!(local.apply(&out).await.unwrap(), Verdict::Accepted { revision: 2 });
        let is_out = || local.nodes.values().all(|node| common::revision(node) == 2);
        common::until("the zone is out on every node", VIEW, is_out).await;
        let before = common::generated(&local, "zone-b");
        let orders = local.services.iter().find(|(zone, _)| zone == "zone-b").unwrap();
        let served = orders.1.counts();
        send(&local, &oracle, "while out", 10).await;
        for node in local.nodes.values() {
            let caller = common::caller(node);
            let stock = caller.call(Method::GET, "/desk/stock/tin", &[], Vec::new()).await;
            assert_eq!(stock.unwrap().status, 200);
        }
        assert_eq!(common::generated(&local, "zone-b"), before, "new work for a zone out");
        assert_eq!(orders.1.counts(), served, "new calls for a zone out");
    };
    tokio::join!(streams(&local, &oracle), script);
    let back = common::zone_note("back", 2, "zone-b", "in");
    assert_eq!(local.apply(&back).await.unwrap(), Verdict::Accepted { revision: 3 });
    let is_back = || local.nodes.values().all(|node| common::serving(node).len() == 2);
    common::until("the zone is back on every node", FORMED, is_back).await;
    let before = common::generated(&local, "zone-b");
    send(&local, &oracle, "when back", 10).await;
    assert!(common::generated(&local, "zone-b") > before, "no work for the zone that is back");
    assert_eq!(common::overloads(&local), 0);
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_of_a_leaving_vm_finishes_and_gets_no_new_work() {
    let mut local = common::open(common::one_zone(2, 2, 3), 2).await;
    let oracle = Oracle::open().await;
    let replica = common::stored(&local, "zone-a").replicas[0].clone();
    let head = replica.vms[0].id.to_string();
    let leaving = replica.vms[2].id.to_string();
    local.set_state(&leaving, vm::State::Leaving);
    let local = local;
    let script = async {
        let avoids = |serving: Vec<corneltrestle_policy::assignment::Replica>| {
            serving.iter().all(|r| r.vms.iter().all(|m| m.id.as_str() != leaving))
        };
        let is_left = || local.nodes.values().all(|node| avoids(common::serving(node)));
        // The list lags by 0.5 s and is read once a second.
        common::until("the replica takes no new work", VIEW + SLACK, is_left).await;
        let before = common::generated(&local, &head);
        send(&local, &oracle, "while leaving", 10).await;
        assert_eq!(common::generated(&local, &head), before, "new work for a leaving replica");
    };
    tokio::join!(streams(&local, &oracle), script);
    common::assert_no_overlap(&local);
    local.shutdown().await;
}

/// Guards against requests that wait for their deadline at a node that has no slot of a cold
/// replica, although another node has one that is free.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_of_a_zone_out_is_answered_while_the_other_zone_is_cold() {
    let mut plan = Plan::zones(&["zone-a", "zone-b"]);
    plan.zones.iter_mut().for_each(|zone| zone.fabrics = 1);
    let local = common::open_cold(plan, 1, 2).await;
    let out = common::zone_note("out", 1, "zone-b", "out");
    assert_eq!(local.apply(&out).await.unwrap(), Verdict::Accepted { revision: 2 });
    let is_out = || local.nodes.values().all(|node| common::revision(node) == 2);
    common::until("the zone is out on every node", VIEW, is_out).await;
    let oracle = Oracle::open().await;
    send(&local, &oracle, "while cold", 1).await;
    local.shutdown().await;
}
