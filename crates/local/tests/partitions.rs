//! Guards against failures of a zone while it is partitioned from the platform and the other zone: it
//! must serve from its own VMs, refuse orders without running them, and rejoin without reverting a
//! revision.

mod common;
#[path = "support/forwarder.rs"]
mod forwarder;

use std::time::Duration;

use common::{CONFIG_TIMEOUT, Oracle, REPORT_MAX_AGE, SLACK};
use corneltrestle_local::{Local, Overrides, Plan};
use corneltrestle_node::operate::Verdict;
use forwarder::{Forwarder, Mode};
use test_case::test_case;

/// Opens two zones of one node each, with forwarders between the nodes, and between the node of
/// `zone-b` and the platform.
async fn open() -> (Local, Vec<Forwarder>) {
    let mut plan = Plan::zones(&["zone-a", "zone-b"]);
    plan.zones.iter_mut().for_each(|zone| (zone.nodes, zone.fabrics) = (1, 1));
    let mut local = common::open(plan, 1).await;
    let mut forwarders = Vec::new();
    for name in ["zone-a-entry-0", "zone-b-entry-0"] {
        local.stop_node(name).await;
        let link = local.address(name).unwrap();
        let bind = (link.ip(), link.port() + 1).into();
        forwarders.push(Forwarder::open(link, bind).await);
        let mut overrides = Overrides { bind: Some(bind), ..Overrides::default() };
        if name.starts_with("zone-b") {
            for (endpoint, to) in [
                (&mut overrides.store, local.store.address()),
                (&mut overrides.vms, local.vms.address()),
            ] {
                let forwarder = Forwarder::open((link.ip(), 0).into(), to).await;
                *endpoint = Some(forwarder.address);
                forwarders.push(forwarder);
            }
        }
        local.overrides.insert(name.to_owned(), overrides);
        local.start_node(name).unwrap();
    }
    common::wait_ready(&local).await;
    let is_serving = || local.nodes.values().all(|node| common::serving(node).len() == 2);
    common::wait_until("both replicas serve both nodes", common::REPAIR_TIMEOUT, is_serving).await;
    (local, forwarders)
}

#[test_case(Mode::Cut; "connections refused")]
#[test_case(Mode::Silent; "connections silent")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_zone_serves_alone_and_rejoins(mode: Mode) {
    let (local, forwarders) = open().await;
    let oracle = Oracle::open().await;
    let (near, far) = (common::node(&local, "zone-a"), common::node(&local, "zone-b"));
    forwarders.iter().for_each(|forwarder| forwarder.set(mode));
    // Without reports from the other zone, each node only dispatches to replicas of its own zone.
    let alone = |node, zone: &str| {
        let serving = common::serving(node);
        serving.len() == 1 && serving[0].id.set.as_str() == format!("chat-{zone}")
    };
    let are_alone = || alone(near, "zone-a") && alone(far, "zone-b");
    common::wait_until("each zone serves alone", REPORT_MAX_AGE + SLACK, are_alone).await;
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
    forwarders.iter().for_each(|forwarder| forwarder.set(Mode::Open));
    let has_rejoined = || {
        assert_eq!(common::revision(near), 2, "the revision decreased");
        common::revision(far) == 2
    };
    common::wait_until(
        "the revision is in force in the zone",
        CONFIG_TIMEOUT + SLACK,
        has_rejoined,
    )
    .await;
    let status = || async { common::order(&caller, "frame-7").await.status.as_u16() };
    let end = std::time::Instant::now() + CONFIG_TIMEOUT + SLACK;
    while status().await != 201 {
        assert!(std::time::Instant::now() < end, "orders do not run again");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(common::runs(&local, "frame-7"), 1);
    common::assert_no_overlap(&local);
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_in_partitioned_zone_takes_no_work_without_a_member() {
    let (local, forwarders) = open().await;
    forwarders.iter().for_each(|forwarder| forwarder.set(Mode::Cut));
    let far = common::node(&local, "zone-b");
    let before = common::assignment(&local, "zone-b");
    let lost = before.replicas[0].vms[1].id.to_string();
    local.engines[&lost].switch("crash", true, None).unwrap();
    let is_stopped = || common::serving(far).iter().all(|r| r.id.set.as_str() != "chat-zone-b");
    common::wait_until("the replica takes no work", REPORT_MAX_AGE + SLACK, is_stopped).await;
    assert_eq!(
        common::assignment(&local, "zone-b").replicas,
        before.replicas,
        "the assignment changed"
    );
    local.shutdown().await;
}
