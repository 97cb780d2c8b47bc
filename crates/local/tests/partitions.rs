//! Guards what a zone does while it is cut off from the platform and from the other zone: it
//! serves with its own VMs, refuses orders truly and joins again without reverting anything.

mod common;
#[path = "support/forwarder.rs"]
mod forwarder;

use std::time::Duration;

use common::{CONFIG, Oracle, SLACK, VIEW};
use corneltrestle_local::{Local, Overrides, Plan};
use corneltrestle_node::operate::Verdict;
use forwarder::{Forwarder, Mode};
use test_case::test_case;

/// Two zones of one node each, whose paths to the platform and to each other can be changed.
async fn open() -> (Local, Vec<Forwarder>) {
    let mut plan = Plan::zones(&["zone-a", "zone-b"]);
    plan.zones.iter_mut().for_each(|zone| (zone.nodes, zone.fabrics) = (1, 1));
    let mut local = common::open(plan, 1).await;
    let mut paths = Vec::new();
    for name in ["zone-a-entry-0", "zone-b-entry-0"] {
        local.stop_node(name).await;
        let link = local.address(name).unwrap();
        let behind = (link.ip(), link.port() + 1).into();
        paths.push(Forwarder::open(link, behind).await);
        let mut overrides = Overrides { bind: Some(behind), ..Overrides::default() };
        if name.starts_with("zone-b") {
            for (way, to) in [
                (&mut overrides.store, local.store.address()),
                (&mut overrides.vms, local.vms.address()),
            ] {
                let forwarder = Forwarder::open((link.ip(), 0).into(), to).await;
                *way = Some(forwarder.address);
                paths.push(forwarder);
            }
        }
        local.overrides.insert(name.to_owned(), overrides);
        local.start_node(name).unwrap();
    }
    common::ready(&local).await;
    let is_whole = || local.nodes.values().all(|node| common::serving(node).len() == 2);
    common::until("both replicas serve both nodes", common::FORMED, is_whole).await;
    (local, paths)
}

#[test_case(Mode::Cut; "connections refused")]
#[test_case(Mode::Silent; "connections silent")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_cut_off_serves_alone_and_joins_again(mode: Mode) {
    let (local, paths) = open().await;
    let oracle = Oracle::open().await;
    let (near, far) = (common::node(&local, "zone-a"), common::node(&local, "zone-b"));
    paths.iter().for_each(|path| path.set(mode));
    // Without reports of the other zone, each node keeps to its own.
    let alone = |node, zone: &str| {
        let serving = common::serving(node);
        serving.len() == 1 && serving[0].id.set.as_str() == format!("chat-{zone}")
    };
    let are_alone = || alone(near, "zone-a") && alone(far, "zone-b");
    common::until("each zone serves alone", VIEW + SLACK, are_alone).await;
    let note = common::zone_note("out", 1, "zone-a", "out");
    assert_eq!(near.apply(&note).await.unwrap(), Verdict::Accepted { revision: 2 });
    let caller = common::caller(far);
    for number in 0..5 {
        let prompt = format!("cut off {number}");
        let ended = common::generate(&caller, &prompt, 10).await;
        assert!(oracle.check(&prompt, 10, &ended).await, "{ended:?}");
    }
    let (_, outcome) = common::outcome(&common::order(&caller, "frame-7").await);
    assert_eq!(outcome, "not-run");
    assert_eq!((common::revision(near), common::revision(far)), (2, 1));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(common::runs(&local, "frame-7"), 0, "a not-run order ran");
    paths.iter().for_each(|path| path.set(Mode::Open));
    let is_joined = || {
        assert_eq!(common::revision(near), 2, "the revision went back");
        common::revision(far) == 2
    };
    common::until("the revision is in force in the zone", CONFIG + SLACK, is_joined).await;
    let status = || async { common::order(&caller, "frame-7").await.status.as_u16() };
    let end = std::time::Instant::now() + CONFIG + SLACK;
    while status().await != 201 {
        assert!(std::time::Instant::now() < end, "orders do not run again");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(common::runs(&local, "frame-7"), 1);
    common::assert_no_overlap(&local);
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_in_a_zone_cut_off_stops_without_a_member() {
    let (local, paths) = open().await;
    paths.iter().for_each(|path| path.set(Mode::Cut));
    let far = common::node(&local, "zone-b");
    let before = common::stored(&local, "zone-b");
    let lost = before.replicas[0].vms[1].id.to_string();
    local.engines[&lost].switch("crash", true, None).unwrap();
    let is_stopped = || common::serving(far).iter().all(|r| r.id.set.as_str() != "chat-zone-b");
    common::until("the replica takes no work", VIEW + SLACK, is_stopped).await;
    assert_eq!(common::stored(&local, "zone-b").replicas, before.replicas, "assignment not frozen");
    local.shutdown().await;
}
