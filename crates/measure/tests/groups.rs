//! Runs the scenarios at a small size and guards against violations of the guarantees that they
//! measure.

use std::time::Duration;

use corneltrestle_local::{Plan, client};
use corneltrestle_measure::scenario::{
    Options, cold_start, group_loss, orders, stranded, zone_move,
};
use corneltrestle_measure::traffic::{self, GroupSize, Kind, Outcome, Rates};
use corneltrestle_standin::engine;
use hyper::Method;
use test_case::test_case;

const OPTIONS: Options = Options { seed: 3, progress: false };

/// Guards against new work for a zone that was taken out or whose VMs are leaving, and against
/// streams that end early because of the change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_zone_gets_no_new_work_and_cuts_no_stream() {
    let rates = Rates { generations: 6.0, orders: 2.0 };
    let size =
        zone_move::Size { replicas: 1, rates, step: Duration::from_millis(300), return_s: 2 };
    let run = zone_move::move_zones(size, OPTIONS.seed, true).await.unwrap();
    let seen = traffic::describe_failures(&run.samples);
    assert_eq!((run.late, run.late_leaving, zone_move::cut_streams(&run)), (0, 0, 0), "{seen}");
}

/// Guards against a stream that ends early without an error event after its replica was lost.
#[test_case(group_loss::Loss::Vm; "one VM dark")]
#[test_case(group_loss::Loss::Fabric; "fabric domain dark")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_a_lost_replica_is_whole_or_ends_with_an_error(loss: group_loss::Loss) {
    let seen = group_loss::measure_losses(&[loss], Duration::from_secs(1), &OPTIONS).await.unwrap();
    let samples: Vec<_> = seen.into_iter().flat_map(|(_, _, samples)| samples).collect();
    assert!(!samples.is_empty());
    let is_cut = |end: &Outcome| *end == Outcome::Cut;
    assert_eq!(
        traffic::count_outcomes(&samples, is_cut),
        0,
        "{}",
        traffic::describe_failures(&samples)
    );
}

/// Guards against an error event that is lost because its connection is aborted too early. The only
/// replica is lost and no spare VM is left, so that the stream cannot be moved.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_cannot_be_moved_ends_with_an_error_event() {
    let mut plan = Plan::zones(&["zone-a"]);
    (plan.zones[0].nodes, plan.zones[0].fabrics, plan.zones[0].services) = (1, 1, 0);
    plan.engine = engine::Config { between_tokens: Duration::from_millis(50), ..plan.engine };
    let local = traffic::open(&plan, GroupSize { replicas: 1, vms: 3 }).await.unwrap();
    let node = local.nodes.values().next().unwrap();
    let caller = client::Client::new(node.callers, traffic::API_KEY);
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
    assert!(end.is_err(), "an incomplete answer was passed on as complete");
    assert!(text.contains("event: error"), "{text}");
    local.shutdown().await;
}

/// Guards against VMs that are idle although they could form a replica.
#[test_case(stranded::TARGET_ALL_FAILURES; "zone of the target")]
#[test_case(stranded::TODAY; "zone of today")]
fn no_vms_idle_that_could_form_a_replica(day: stranded::Day) {
    let day = stranded::Day { restarts: 12, duration: Duration::from_secs(5_400), ..day };
    let run = stranded::simulate_planner(&day, OPTIONS.seed);
    assert!(run.formable == 0.0, "{run:?}");
}

/// Guards against a cold replica that no node may use, or that gets load above its limit, once none
/// of its listed routers is live.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_replica_without_live_routers_is_used_within_its_limit() {
    let step = cold_start::without_routers(&OPTIONS).await.unwrap();
    assert_eq!(step.overloads, 0);
}

/// Guards against a restarted node that cannot use a warm replica because it is not a router of its
/// epoch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_node_uses_a_warm_replica() {
    let mut plan = Plan::zones(&["zone-a"]);
    (plan.zones[0].nodes, plan.zones[0].services) = (6, 0);
    let mut local = traffic::open(&plan, GroupSize { replicas: 1, vms: 3 }).await.unwrap();
    let routers = traffic::serving_replicas(&local).remove(0).routers;
    let is_router = |name: &str| routers.iter().any(|router| router.as_str() == name);
    let listed = local.nodes.iter().find(|(name, _)| is_router(name)).unwrap().1.callers;
    let other = local.nodes.keys().find(|name| !is_router(name)).unwrap().clone();
    let target = |peer| traffic::Target { peer, headers: Vec::new(), prefix: "" };
    for tag in 0..130 {
        traffic::call(Kind::Whole, &target(listed), tag).await;
    }
    local.stop_node(&other).await;
    local.start_node(&other).unwrap();
    let peer = local.nodes[&other].callers;
    let mut end = Outcome::Cut;
    for tag in 0..100 {
        end = traffic::call(Kind::Stream, &target(peer), 1_000 + tag).await.1;
        // The node refuses calls until it has its configuration.
        if end == Outcome::Whole {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(end, Outcome::Whole);
    local.shutdown().await;
}

/// Guards against a second run of an order, a false `not-run` and an answer other than the recorded
/// one.
#[test_case(orders::Fault::StoreAnswers; "store answers lost")]
#[test_case(orders::Fault::ServiceAnswers; "service answers lost")]
#[test_case(orders::Fault::StoreSlow; "store slow")]
#[test_case(orders::Fault::NodeStop; "node stops")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_runs_at_most_once_and_refusals_are_true(fault: orders::Fault) {
    let run = orders::send_orders(fault, 6, OPTIONS.seed, true).await.unwrap();
    assert!(run.ran > 0, "{run:?}");
    let wrong = (run.extra_runs, run.false_not_run, run.wrong_answers, run.answered_unrun);
    assert_eq!(wrong, (0, 0, 0, 0), "{run:?}");
}

/// Guards against non-streamed requests that wait for a lost replica until their deadline, and
/// against requests that fail because the retry budget is exhausted although they have time left.
#[test_case("pause"; "head paused")]
#[test_case("crash"; "head crashed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_streamed_requests_move_from_a_lost_replica(fault: &'static str) {
    let mut plan = Plan::zones(&["zone-a"]);
    plan.zones[0].services = 0;
    let (between_tokens, cold_limit) = (Duration::from_millis(40), 16);
    plan.engine = engine::Config { between_tokens, cold_limit, ..plan.engine };
    let local = traffic::open(&plan, GroupSize { replicas: 2, vms: 3 }).await.unwrap();
    let mut calls = tokio::task::JoinSet::new();
    for (tag, peer) in (0..12).zip(traffic::EntryNodes::of(&local).0.into_iter().cycle()) {
        let target = traffic::Target { peer, headers: Vec::new(), prefix: "" };
        calls.spawn(async move { traffic::call(Kind::Whole, &target, tag).await.1 });
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let head = traffic::serving_replicas(&local).remove(0).vms.remove(0).id.to_string();
    local.engines[&head].switch(fault, true, None).unwrap();
    let ends = calls.join_all().await;
    assert!(ends.iter().all(|end| *end == Outcome::Whole), "{ends:?}");
    local.shutdown().await;
}
