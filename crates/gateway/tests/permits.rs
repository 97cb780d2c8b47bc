//! Requests to upstreams that limit the requests of all nodes, at a node that grants its own permits.

#[path = "support/world.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod world;

use std::time::Duration;

use corneltrestle_gateway::pipeline::{Code, Outcome};
use corneltrestle_policy::quota::Statement;
use test_case::test_case;
use world::{AMPLE, Act, World, whole_stream};

/// A node before two upstreams of each service that act in these ways.
async fn open(first: Act, second: Act) -> World {
    let world = World::open(&[&[first], &[second]], AMPLE);
    world.register().await;
    world
}

fn sent_to(world: &World, upstream: &str) -> usize {
    world.seen().iter().filter(|seen| seen.upstream.as_str() == upstream).count()
}

/// Guards against an upstream that gets more requests than it takes, while another one has room.
#[test_case("/draft/7", "models"; "streams")]
#[test_case("/status/7", "orders"; "lookups")]
#[test_case("/order/7", "orders"; "orders")]
#[tokio::test]
async fn requests_go_where_there_is_no_limit(path: &'static str, service: &str) {
    let world = open(Act::Limits(1.0), Act::Stream).await;
    for _ in 0..40 {
        let (status, _, refusal) = world.send(path).await;
        assert_eq!((status, refusal), (200, None));
    }
    // The first one finds out the limit.
    assert!(sent_to(&world, &format!("{service}-a")) <= 3);
}

/// Guards against requests that wait until their deadline, or are sent all the same, where all upstreams
/// limit their requests, and against callers that are not told when to come back.
#[test_case("/draft/7"; "stream")]
#[test_case("/order/7"; "order")]
#[tokio::test]
async fn request_without_a_permit_is_refused_at_once(path: &'static str) {
    let world = open(Act::Limits(0.5), Act::Limits(0.5)).await;
    let mut refused = Vec::new();
    for _ in 0..10 {
        refused.extend(world.send(path).await.2);
    }
    assert!(refused.len() >= 6, "{} were refused", refused.len());
    for refusal in refused {
        assert_eq!((refusal.code, refusal.outcome), (Code::Overloaded, Outcome::NotRun));
        assert!(refusal.retry.is_some_and(|retry| retry <= Duration::from_secs(5)), "{refusal}");
    }
    assert!(world.seen().len() <= 4);
}

/// Guards against requests that are refused although a permit comes in time for them.
#[tokio::test]
async fn request_waits_for_a_permit_that_comes_soon() {
    let world = open(Act::Limits(20.0), Act::Limits(20.0)).await;
    for _ in 0..20 {
        let (status, _, refusal) = world.send("/draft/7").await;
        assert_eq!((status, refusal), (200, None));
    }
}

/// Guards against a stream that has begun, and is cut off as no permit is left for the upstream that
/// could go on with it.
#[tokio::test]
async fn stream_that_has_begun_waits_for_a_permit() {
    let world = open(Act::Breaks(2), Act::Limits(2.0)).await;
    let known = Statement::Limited(2.0);
    world.tables.quotas.lock().record(&"models-b".into(), 1, known, 1, world.host.now());
    let mut is_resumed = false;
    for _ in 0..8 {
        let (status, body, refusal) = world.send("/draft/7").await;
        if status != 0 {
            assert_eq!((status, body, refusal), (200, whole_stream(), None));
        }
        is_resumed |= world.seen().iter().any(|seen| seen.resume_after.is_some());
    }
    assert!(is_resumed, "no stream was resumed");
}

/// Guards against requests that go from one upstream with a limit to the next until their deadline, and
/// beyond, while the node that grants permits does not answer.
#[tokio::test]
async fn request_is_refused_in_time_if_no_permit_is_answered() {
    let world = World::open(&[&[Act::Stream][..]; 4], AMPLE);
    let known = Statement::Limited(5.0);
    for upstream in ["models-a", "models-b", "models-c", "models-d"] {
        world.tables.quotas.lock().record(&upstream.into(), 1, known, 1, world.host.now());
    }
    let sent = tokio::time::timeout(Duration::from_secs(2), world.send("/draft/7")).await;
    let (_, _, refusal) = sent.expect("it ends before its deadline");
    assert_eq!(refusal.expect("no permit").outcome, Outcome::NotRun);
    assert_eq!(world.seen().len(), 0);
}

/// Guards against a request that leaves a silent upstream for one that has no permit for it.
#[tokio::test]
async fn upstream_without_a_permit_is_no_alternative() {
    let world = World::open(&[&[Act::Pauses(2)], &[Act::Limits(0.2)]], AMPLE);
    world.register().await;
    let known = Statement::Limited(0.2);
    world.tables.quotas.lock().record(&"models-b".into(), 1, known, 1, world.host.now());
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    let (status, body, refusal) = world.send("/draft/7").await;
    stall.await.expect("the watchdog task ends");
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
    assert_eq!(world.seen().len(), 1);
    let retries = world.tables.retries.lock().retries(world.host.now());
    assert!(retries.iter().all(|(_, taken)| *taken == 0), "{retries:?}");
}

/// Guards against a limit that stays in force although the upstream no longer names it.
#[tokio::test]
async fn limit_that_is_no_longer_named_has_ended() {
    let world = World::open(&[&[Act::Limits(5.0), Act::Limits(5.0), Act::Stream]], AMPLE);
    world.register().await;
    let mut answered = 0;
    for _ in 0..30 {
        answered += usize::from(world.send("/draft/7").await.0 == 200);
    }
    assert!(answered >= 28, "{answered} were answered");
    assert!(world.tables.quotas.lock().is_idle());
}

/// Guards against limits that are none, which take effect or end the limit that was named before.
#[test_case("", Statement::Invalid)]
#[test_case("none", Statement::Invalid)]
#[test_case("-3", Statement::Invalid)]
#[test_case("nan", Statement::Invalid)]
#[test_case("0", Statement::Limited(0.0))]
#[test_case(" 2.50 ", Statement::Limited(2.5))]
#[test_case("inf", Statement::Unlimited)]
#[test_case("99999999999999999999", Statement::Unlimited)]
fn absurd_limits_are_told_from_limits(text: &str, expected: Statement) {
    assert_eq!(Statement::parse(text), expected);
}
