//! Admission of requests to models at one node, while its groups have more than they serve in time.

#[path = "support/world.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod world;

use std::{sync, time::Duration};

use corneltrestle_gateway::{
    pipeline::{Code, Outcome},
    source::{Change, Changes, Fact, Subject},
    tables::{activity::Reporter, gates},
};
use corneltrestle_policy::deployment;
use corneltrestle_wire::mesh;
use test_case::test_case;
use world::{AMPLE, Act, World, change, whole_stream};

/// More requests than a node lets pass at once when its groups are full.
const MANY: usize = 20;

/// Timeouts of the two routes, by which upstreams' logs tell them apart.
const DRAFT_TIMEOUT: Duration = Duration::from_secs(20);
const NOTE_TIMEOUT: Duration = Duration::from_secs(40);

/// A node with one group, which is as full as another node reports. The objective of its routes is
/// `objective`; `/note/` is more urgent than `/draft/`.
fn full(mode: gates::Mode, objective: Duration) -> sync::Arc<World> {
    full_of(Act::Stream, mode, objective)
}

/// The same with a group that answers in this way.
fn full_of(act: Act, mode: gates::Mode, objective: Duration) -> sync::Arc<World> {
    let world = World::open(&[&[act]], AMPLE);
    *world.tables.gates.lock() = gates::Gates::new(mode);
    let snapshot = world.tables.current.load_full();
    let mut declared = deployment::Deployment::clone(snapshot.deployment.as_ref().expect("one"));
    declared.version += 1;
    for route in &mut declared.routes {
        let is_urgent = route.prefix == "/note/";
        route.objective = objective;
        route.timeout = if is_urgent { NOTE_TIMEOUT } else { DRAFT_TIMEOUT };
        route.priority = if is_urgent { 0 } else { 3 };
    }
    let declared = change(Subject::Deployment, Fact::Deployment(declared.into()));
    let changes = vec![Change { revision: 2, ..declared }];
    let now = world.host.now();
    world.tables.catalog.lock().apply(Changes { revision: world::rev(2), changes }, now);
    report(&world, 1, 40);
    for _ in 0..200 {
        world.tables.retries.lock().count(&"models".into(), &AMPLE, now);
    }
    sync::Arc::new(world)
}

/// Another node reports this many requests at the group, and that it gets most requests.
fn report(world: &World, sequence: u64, requests: u32) {
    let upstream = mesh::hash("models-a");
    let row = mesh::Row { upstream, requests, unread: 0, event_age: 1, late: 0, late_unread: 0 };
    let usage = mesh::Usage { service: mesh::hash("models"), requests: 10_000, extra: 0 };
    let load = mesh::Load { nodes: 1, rows: vec![row], usage: vec![usage] };
    let reporter = Reporter::Node("node-2".into());
    let now = world.host.now();
    assert!(world.tables.activity.lock().update_peer(&reporter, (1, sequence), &load, now));
}

fn waiting(world: &World) -> usize {
    world.tables.gates.lock().status().map(|(_, status)| status.waiting).sum()
}

/// Sends requests until one waits, which is the result.
async fn send_until_one_waits(world: &sync::Arc<World>) -> tokio::task::JoinHandle<u16> {
    for _ in 0..MANY {
        let sender = sync::Arc::clone(world);
        let task = tokio::spawn(async move { sender.send("/draft/7").await.0 });
        tokio::task::yield_now().await;
        while !task.is_finished() && waiting(world) == 0 {
            tokio::task::yield_now().await;
        }
        if waiting(world) > 0 {
            return task;
        }
    }
    panic!("none of {MANY} requests waits");
}

/// Guards against a change of behaviour where admission is not switched on.
#[tokio::test]
async fn nothing_waits_by_default() {
    assert_eq!(gates::Gates::default().mode(), gates::Mode::Open);
    let world = full(gates::Mode::Open, Duration::from_millis(200));
    for _ in 0..MANY {
        let (status, _, refusal) = world.send("/draft/7").await;
        assert_eq!((status, refusal), (200, None));
    }
    assert_eq!(world.tables.gates.lock().status().count(), 0);
}

/// Guards against requests that are held back although the groups have room.
#[tokio::test]
async fn nothing_waits_while_the_groups_have_room() {
    let world = full(gates::Mode::Fair, Duration::from_millis(200));
    report(&world, 2, 2);
    for _ in 0..MANY {
        let (status, _, refusal) = world.send("/draft/7").await;
        assert_eq!((status, refusal), (200, None));
    }
}

/// Guards against requests that are sent although they cannot be in time, and against refusals that
/// do not say that the request has not run and when to come back.
#[tokio::test]
async fn request_without_room_in_time_is_refused() {
    let world = full(gates::Mode::Fair, Duration::from_millis(200));
    let mut refusals = Vec::new();
    for _ in 0..MANY {
        refusals.extend(world.send("/draft/7").await.2);
    }
    assert!(!refusals.is_empty());
    assert_eq!(world.seen().len() + refusals.len(), MANY, "a refused request was sent");
    for refusal in refusals {
        assert_eq!((refusal.code, refusal.outcome), (Code::Overloaded, Outcome::NotRun));
        assert!(refusal.retry.is_some_and(|retry| !retry.is_zero()));
    }
    assert_eq!(waiting(&world), 0);
}

/// Guards against requests that are held back in mode `ranked` although all have one priority, and
/// against none that are once they differ.
#[tokio::test]
async fn requests_are_held_back_by_rank_only_where_they_have_ranks() {
    let world = full(gates::Mode::Ranked, Duration::from_millis(200));
    for _ in 0..2 * MANY {
        let (status, _, refusal) = world.send("/draft/7").await;
        assert_eq!((status, refusal), (200, None));
    }
    let mut refused = 0;
    for _ in 0..MANY {
        refused += usize::from(world.send("/note/7").await.2.is_some());
        refused += usize::from(world.send("/draft/7").await.2.is_some());
    }
    assert!(refused > 0);
}

/// Guards against requests that are never woken.
#[tokio::test]
async fn request_with_room_in_time_waits_and_is_answered() {
    let world = full(gates::Mode::Fair, Duration::from_secs(10));
    let waits = send_until_one_waits(&world).await;
    assert_eq!(waits.await.expect("no panic"), 200);
    assert_eq!(waiting(&world), 0);
}

/// Guards against requests that go on to wait when the groups have room again.
#[tokio::test]
async fn waiting_requests_pass_when_the_groups_have_room_again() {
    let world = full(gates::Mode::Fair, Duration::from_secs(10));
    let mut tasks = vec![send_until_one_waits(&world).await];
    for _ in 0..3 {
        let sender = sync::Arc::clone(&world);
        tasks.push(tokio::spawn(async move { sender.send("/draft/7").await.0 }));
    }
    while waiting(&world) < 2 {
        tokio::task::yield_now().await;
    }
    report(&world, 2, 0);
    for task in tasks {
        assert_eq!(task.await.expect("no panic"), 200);
    }
}

/// Guards against a stream that waits for room when its node begins to stop, and then begins although it
/// may outlast the node; and against one whose connection is closed as it still waits then.
#[test_case(true; "room before the end")]
#[test_case(false; "no room")]
#[tokio::test]
async fn request_that_waits_in_a_stop_is_refused(has_room: bool) {
    let world = full(gates::Mode::Fair, Duration::from_secs(10));
    let task = send_until_one_waits(&world).await;
    let sent = world.seen().len();
    world.host.lifecycle.drain(world.host.now() + Duration::from_secs(1));
    if has_room {
        report(&world, 2, 0);
    }
    let status = tokio::time::timeout(Duration::from_secs(5), task).await;
    assert_eq!(status.expect("it does not wait for its deadline").expect("no panic"), 0);
    assert_eq!(world.seen().len(), sent);
}

/// Guards against less urgent requests that are served before more urgent ones.
#[tokio::test]
async fn urgent_request_goes_before_one_that_waits() {
    let world = full(gates::Mode::Fair, Duration::from_secs(10));
    let first = send_until_one_waits(&world).await;
    let sent = world.seen().len();
    let (status, body, refusal) = world.send("/note/7").await;
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
    assert_eq!(first.await.expect("no panic"), 200);
    let seen = world.seen();
    assert_eq!(seen.len(), sent + 2);
    assert!(seen[sent].remaining > DRAFT_TIMEOUT, "the urgent request was sent first");
}

/// Guards against requests whose callers have left and that keep their places, or are sent.
#[tokio::test]
async fn request_whose_caller_leaves_no_longer_waits() {
    let world = full(gates::Mode::Fair, Duration::from_secs(10));
    let waits = send_until_one_waits(&world).await;
    let sent = world.seen().len();
    waits.abort();
    assert!(waits.await.is_err_and(|error| error.is_cancelled()));
    assert_eq!(waiting(&world), 0);
    assert_eq!(world.seen().len(), sent);
}

/// Guards against a node that takes a request that returns for a new one: it would be served before
/// new ones although it cannot be in time.
#[tokio::test]
async fn request_that_returns_is_known_by_the_time_that_its_client_has_left() {
    let world = full(gates::Mode::Fair, Duration::from_millis(200));
    report(&world, 2, 2);
    let request = |left: Duration| {
        let mut request = world.request("/draft/7");
        request.deadline = Some(request.arrived + left);
        request
    };
    let usual = Duration::from_secs(6);
    for _ in 0..MANY {
        let (status, _, _) = world.send_request(request(usual)).await;
        assert_eq!(status, 200);
    }
    let key = ("models".into(), "small".into());
    let now = world.host.now();
    let before = |left| world.tables.gates.lock().sent_before(&key, &"/draft/".into(), left, now);
    assert_eq!(before(usual), None);
    assert_eq!(before(Duration::from_secs(4)), Some(Duration::from_secs(2)));
}

/// Guards against streams that are compared with their predictions although nothing reads the result,
/// and against admission that does not learn from them.
#[test_case(gates::Mode::Open; "open")]
#[test_case(gates::Mode::Fair; "fair")]
#[tokio::test]
async fn overhead_of_first_events_is_learned_only_for_admission(mode: gates::Mode) {
    let world = full_of(Act::Late(Duration::from_millis(400)), mode, Duration::from_secs(60));
    report(&world, 2, 2);
    let streams = (0..MANY).map(|_| world.send("/draft/7"));
    for (status, ..) in futures_util::future::join_all(streams).await {
        assert_eq!(status, 200);
    }
    let overhead = world.tables.demand.lock().overhead("models", "small");
    assert_eq!(overhead > Duration::ZERO, mode == gates::Mode::Fair, "{overhead:?}");
}

/// Guards against a log line for each request that is held back.
#[tokio::test]
async fn log_names_what_is_held_back_once_a_second() {
    let world = full(gates::Mode::Fair, Duration::from_millis(200));
    for _ in 0..MANY {
        world.send("/draft/7").await;
    }
    let key = ("models".into(), "small".into());
    let now = world.host.now();
    let mut gates = world.tables.gates.lock();
    assert_eq!(gates.log_due(&key, now), None, "the first refusal has been logged");
    let due = gates.log_due(&key, now + Duration::from_secs(1)).expect("more were refused");
    assert!(due.counts.refused > 1);
    assert_eq!(gates.log_due(&key, now + Duration::from_secs(3)), None, "nothing since");
}
