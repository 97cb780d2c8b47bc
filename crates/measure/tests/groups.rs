//! Guards, with small numbers, against breaks of the laws that the scenarios measure.

use std::time::Duration;

use corneltrestle_local::{Plan, client};
use corneltrestle_measure::scenario::{
    Options, cold_start, group_loss, orders, stranded, zone_move,
};
use corneltrestle_measure::traffic::{self, End, Groups, Kind, Rates};
use corneltrestle_standin::engine;
use hyper::Method;
use test_case::test_case;

const OPTIONS: Options = Options { seed: 3, progress: false };

/// Guards against new work for a zone that was taken out or whose VMs leave, and against streams
/// that the move cuts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_that_leaves_gets_no_new_work_and_cuts_no_stream() {
    let rates = Rates { models: 6.0, orders: 2.0 };
    let size = zone_move::Size { replicas: 1, rates, step: Duration::from_millis(300), back: 2 };
    let run = zone_move::move_zones(size, OPTIONS.seed, true).await.unwrap();
    let seen = traffic::failures(&run.samples);
    assert_eq!((run.late, run.late_leaving, zone_move::cut(&run)), (0, 0, 0), "{seen}");
}

/// Guards against a stream that ends without a word after its replica was lost.
#[test_case(group_loss::Loss::Vm; "one VM dark")]
#[test_case(group_loss::Loss::Fabric; "fabric domain dark")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_a_lost_replica_is_whole_or_ends_with_an_error(loss: group_loss::Loss) {
    let seen = group_loss::lose(&[loss], Duration::from_secs(1), &OPTIONS).await.unwrap();
    let samples: Vec<_> = seen.into_iter().flat_map(|(_, _, samples)| samples).collect();
    assert!(!samples.is_empty());
    let is_cut = |end: &End| *end == End::Cut;
    assert_eq!(traffic::ended(&samples, is_cut), 0, "{}", traffic::failures(&samples));
}

/// Guards against an error event that the abort of its connection drops: the only replica is lost
/// and no spare is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_cannot_be_moved_ends_with_an_error_event() {
    let mut plan = Plan::zones(&["zone-a"]);
    (plan.zones[0].nodes, plan.zones[0].fabrics, plan.zones[0].services) = (1, 1, 0);
    plan.engine = engine::Config { token: Duration::from_millis(50), ..plan.engine };
    let local = traffic::open(&plan, Groups { replicas: 1, vms: 3 }).await.unwrap();
    let node = local.nodes.values().next().unwrap();
    let caller = client::Client::new(node.callers, traffic::KEY);
    let body = br#"{"model":"small","stream":true,"max_tokens":400,"prompt":"hello"}"#;
    let headers = [("x-deadline-ms", "2000")];
    let mut parts =
        caller.send(Method::POST, "/v1/completions", &headers, body.to_vec()).await.unwrap();
    parts.next().await.unwrap();
    local.engines.values().last().unwrap().switch("crash", true, None).unwrap();
    let mut text = String::new();
    let end = loop {
        match parts.next().await {
            Ok(Some(part)) => text.push_str(std::str::from_utf8(&part).unwrap()),
            end => break end,
        }
    };
    assert!(end.is_err(), "a part was passed on as complete");
    assert!(text.contains("event: error"), "{text}");
    local.shutdown().await;
}

/// Guards against VMs that idle although a replica could be formed of them.
#[test_case(stranded::TARGET_ALL; "zone of the target")]
#[test_case(stranded::TODAY; "zone of today")]
fn nothing_idles_that_could_form_a_replica(day: stranded::Day) {
    let day = stranded::Day { restarts: 12, length: Duration::from_secs(5_400), ..day };
    let run = stranded::planned(&day, OPTIONS.seed);
    assert!(run.formable == 0.0, "{run:?}");
}

/// Guards against a cold replica that nobody may use, or that gets too much, once none of its
/// listed routers lives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_replica_without_live_routers_is_used_within_its_bound() {
    let step = cold_start::without_routers(&OPTIONS).await.unwrap();
    assert_eq!(step.overloads, 0);
}

/// Guards against a restarted node that cannot use a warm replica of whose epoch it is no router.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_node_uses_a_warm_replica() {
    let mut plan = Plan::zones(&["zone-a"]);
    (plan.zones[0].nodes, plan.zones[0].services) = (6, 0);
    let mut local = traffic::open(&plan, Groups { replicas: 1, vms: 3 }).await.unwrap();
    let routers = traffic::serving(&local).remove(0).routers;
    let is_router = |name: &str| routers.iter().any(|router| router.as_str() == name);
    let listed = local.nodes.iter().find(|(name, _)| is_router(name)).unwrap().1.callers;
    let other = local.nodes.keys().find(|name| !is_router(name)).unwrap().clone();
    let way = |peer| traffic::Way { peer, headers: Vec::new(), prefix: "" };
    for tag in 0..130 {
        traffic::call(Kind::Whole, &way(listed), tag).await;
    }
    local.stop_node(&other).await;
    local.start_node(&other).unwrap();
    let peer = local.nodes[&other].callers;
    let mut end = End::Cut;
    for tag in 0..100 {
        end = traffic::call(Kind::Stream, &way(peer), 1_000 + tag).await.1;
        // The node refuses calls until it has its configuration.
        if end == End::Whole {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(end, End::Whole);
    local.shutdown().await;
}

/// Guards against a second run of an order, a false `not-run` and an answer that is not the
/// recorded one.
#[test_case(orders::Trouble::StoreAnswers; "store answers lost")]
#[test_case(orders::Trouble::ServiceAnswers; "service answers lost")]
#[test_case(orders::Trouble::StoreSlow; "store slow")]
#[test_case(orders::Trouble::NodeStop; "node stops")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_runs_at_most_once_and_refusals_are_true(trouble: orders::Trouble) {
    let run = orders::send_orders(trouble, 6, OPTIONS.seed, true).await.unwrap();
    assert!(run.ran > 0, "{run:?}");
    let wrong = (run.surplus, run.false_not_run, run.false_answers, run.unfounded);
    assert_eq!(wrong, (0, 0, 0, 0), "{run:?}");
}

/// Guards against answers in one body that wait for a lost replica until their deadline, and
/// against requests that fail for want of a retry budget although they have time left.
#[test_case("pause"; "head silent")]
#[test_case("crash"; "head dark")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answers_move_from_a_lost_replica(fault: &'static str) {
    let mut plan = Plan::zones(&["zone-a"]);
    plan.zones[0].services = 0;
    let (token, cold) = (Duration::from_millis(40), 16);
    plan.engine = engine::Config { token, cold, ..plan.engine };
    let local = traffic::open(&plan, Groups { replicas: 2, vms: 3 }).await.unwrap();
    let mut calls = tokio::task::JoinSet::new();
    for (tag, peer) in (0..12).zip(traffic::Entries::of(&local).0.into_iter().cycle()) {
        let way = traffic::Way { peer, headers: Vec::new(), prefix: "" };
        calls.spawn(async move { traffic::call(Kind::Whole, &way, tag).await.1 });
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let head = traffic::serving(&local).remove(0).vms.remove(0).id.to_string();
    local.engines[&head].switch(fault, true, None).unwrap();
    let ends = calls.join_all().await;
    assert!(ends.iter().all(|end| *end == End::Whole), "{ends:?}");
    local.shutdown().await;
}
