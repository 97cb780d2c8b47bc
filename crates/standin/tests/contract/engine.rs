//! Engine: reports, orders, generation, the queue and the loss of a replica's members.
//!
//! Guards against an engine that accepts work which a real engine would refuse, or that resumes a
//! stream with other tokens; tests of the nodes would then pass wrongly.

use std::time::Duration;

use corneltrestle_policy::{prefix, report::Phase};
use corneltrestle_standin::engine::{self, Config, Fabric, Handle};
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};
use test_case::test_case;

use crate::client::{Answer, Client, Events, events, wait_until};

/// Time between tokens of requests that must still be in progress when a test inspects them.
const LONG_INTERVAL: Duration = Duration::from_secs(600);

pub(crate) fn join(token: u64, set: &str, epoch: u64, rank: u16, size: u16) -> Value {
    let replica = json!({"set": set, "index": 0});
    json!({"order": "join", "token": token, "replica": replica, "epoch": epoch, "rank": rank,
        "size": size, "model": "m", "adapter": "", "version": "1"})
}

pub(crate) async fn send_order(client: &Client, engine: &Handle, order: Value) -> Value {
    let answer = client.post(engine.address(), "/v1/orders", order).await.unwrap();
    answer.json["answer"].clone()
}

/// Binds the engines of replica `g/0` at epoch 1, the head first, and waits until all are ready.
pub(crate) async fn replica(size: u16, config: Config) -> (Client, Vec<Handle>) {
    let (client, fabric, mut engines) = (Client::new(), Fabric::default(), Vec::new());
    for rank in 0..size {
        let vm = format!("vm-{rank}").as_str().into();
        let config = Config { vm, fabric: fabric.clone(), ..config.clone() };
        let engine = engine::bind(config).await.unwrap();
        assert_eq!(send_order(&client, &engine, join(1, "g", 1, rank, size)).await, "accepted");
        wait_until(async || engine.api().report().phase == Phase::Ready).await;
        engines.push(engine);
    }
    (client, engines)
}

pub(crate) fn headers<'a>(id: &'a str, epoch: &'a str) -> [(&'a str, &'a str); 3] {
    [("x-request-id", id), ("x-replica", "g/0"), ("x-epoch", epoch)]
}

pub(crate) async fn complete(client: &Client, engine: &Handle, id: &str, body: Value) -> Answer {
    let path = "/v1/completions";
    client.call(Method::POST, engine.address(), path, &headers(id, "1"), &body).await.unwrap()
}

/// Opens a stream; returns once the engine has given it a slot.
async fn open(client: &Client, engine: &Handle, id: &str, body: Value) -> Response<Incoming> {
    let path = "/v1/chat/completions";
    let mut headers = headers(id, "1").to_vec();
    // Tests in which the priority matters use it as the request id.
    headers.push(("x-priority", id));
    client.open(Method::POST, engine.address(), path, &headers, &body).await.unwrap()
}

pub(crate) async fn stream(client: &Client, engine: &Handle, id: &str, body: Value) -> Events {
    events(open(client, engine, id, body).await).await
}

pub(crate) fn chat(tokens: u64) -> Value {
    json!({"model": "m", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hello"}]})
}

pub(crate) fn prompt(tokens: u64) -> Value {
    json!({"model": "m", "prompt": "hello", "max_tokens": tokens})
}

#[tokio::test]
async fn resumed_stream_continues_after_the_last_delivered_token() {
    let (client, engines) = replica(2, Config::default()).await;
    let whole = stream(&client, &engines[0], "r1", chat(6)).await;
    assert!(whole.complete);
    assert_eq!(whole.ids, (0..6).map(|n| format!("r1/{n}")).collect::<Vec<_>>());
    let delivered: String = whole.text.split_inclusive(' ').take(4).collect();
    let delivered = delivered.trim_end();
    let mut body = chat(6);
    body["resume"] = json!({"text": delivered, "next": 4});
    let rest = stream(&client, &engines[0], "r1", body.clone()).await;
    assert!(rest.complete);
    assert_eq!((rest.ids[0].as_str(), format!("{delivered}{}", rest.text)), ("r1/4", whole.text));
    body["resume"]["text"] = "another".into();
    let refused = complete(&client, &engines[0], "r1", body).await;
    assert_eq!(refused.status, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn whole_response_is_complete_and_counted() {
    let (client, engines) = replica(1, Config::default()).await;
    let answer = complete(&client, &engines[0], "r1", prompt(3)).await;
    assert_eq!(
        (&answer.headers["x-request-id"], &answer.json["id"]),
        (&"r1".parse().unwrap(), &json!("r1"))
    );
    assert_eq!(answer.json["usage"]["completion_tokens"], 3);
    let report = client.get(engines[0].address(), "/v1/report").await.unwrap().json;
    let expected = json!({"vm": "vm-0", "replica": {"set": "g", "index": 0}, "epoch": 1,
        "start": report["start"], "model": "m", "adapter": "", "version": "1", "phase": "ready",
        "running": 0, "waiting": 0, "finished": 1, "blocks": 1023, "sequence": 1});
    assert_eq!(report, expected);
    let prefix = prefix::chain(["hello"], 1)[0];
    let events = client.get(engines[0].address(), "/v1/cache-events?after=0").await.unwrap().json;
    assert_eq!(events, json!([{"sequence": 1, "prefix": prefix, "stored": true}]));
}

#[tokio::test]
async fn exported_cache_can_be_imported() {
    let (client, engines) = replica(1, Config::default()).await;
    complete(&client, &engines[0], "r1", prompt(1)).await;
    let (_, others) = replica(1, Config::default()).await;
    let cache = client.get(engines[0].address(), "/v1/kv/r1").await.unwrap().json;
    let target = others[0].address();
    let imported = client.call(Method::PUT, target, "/v1/kv/r1", &[], &cache).await.unwrap();
    assert_eq!((imported.status.as_u16(), others[0].api().report().sequence), (204, 1));
    assert_eq!(client.get(target, "/v1/kv/other").await.unwrap().status, 404);
}

#[test_case("g/0", "2", 0, 409; "another epoch")]
#[test_case("g/1", "1", 0, 409; "another replica")]
#[test_case("g/0", "1", 1, 409; "a member that is not the head")]
#[test_case("g/0", "1", 0, 200; "the head of the replica")]
#[tokio::test]
async fn only_the_head_of_the_named_replica_answers(
    name: &str,
    epoch: &str,
    rank: usize,
    status: u16,
) {
    let (client, engines) = replica(2, Config::default()).await;
    let headers = [("x-request-id", "r"), ("x-replica", name), ("x-epoch", epoch)];
    let peer = engines[rank].address();
    let answer = client.call(Method::POST, peer, "/v1/completions", &headers, &prompt(1)).await;
    assert_eq!(answer.unwrap().status.as_u16(), status);
}

/// Guards against sending the load of a warm engine to one that has restarted unnoticed.
#[tokio::test]
async fn request_for_another_start_is_refused() {
    let (client, engines) = replica(1, Config::default()).await;
    let start = engines[0].api().report().start;
    for (expected_start, status) in [(start, 200), (start ^ 1, 409), (0, 200)] {
        let expected_start = expected_start.to_string();
        let headers = [
            ("x-request-id", "r"),
            ("x-replica", "g/0"),
            ("x-epoch", "1"),
            ("x-start", &expected_start),
        ];
        let peer = engines[0].address();
        let answer = client.call(Method::POST, peer, "/v1/completions", &headers, &prompt(1)).await;
        assert_eq!(answer.unwrap().status.as_u16(), status, "{expected_start}");
    }
}

#[test_case(join(1, "g", 1, 0, 1), "accepted"; "the same join again")]
#[test_case(join(2, "g", 2, 0, 1), "accepted"; "a later epoch")]
#[test_case(join(2, "g", 0, 0, 1), "refused"; "an earlier epoch")]
#[test_case(join(2, "h", 2, 0, 1), "refused"; "another replica before release")]
#[test_case(join(0, "g", 2, 0, 1), "stale"; "an old token")]
#[test_case(json!({"order": "release", "token": 1, "epoch": 1}), "accepted"; "release")]
#[test_case(json!({"order": "release", "token": 1, "epoch": 0}), "refused"; "release of an earlier epoch")]
#[test_case(json!({"order": "release", "token": 0, "epoch": 1}), "stale"; "release with an old token")]
#[test_case(json!({"order": "load", "token": 1, "model": "n", "adapter": "", "version": "1"}), "accepted"; "load")]
#[tokio::test]
async fn order_is_decided_by_its_token_and_epoch(given: Value, answer: &str) {
    let (client, engines) = replica(1, Config::default()).await;
    assert_eq!(send_order(&client, &engines[0], given).await, answer);
}

#[tokio::test]
async fn loading_replica_refuses_work() {
    let (client, engine) =
        (Client::new(), Config { load_time: LONG_INTERVAL, ..Config::default() });
    let engine = engine::bind(engine).await.unwrap();
    send_order(&client, &engine, join(1, "g", 1, 0, 1)).await;
    assert_eq!(engine.api().report().phase, Phase::Loading);
    assert_eq!(complete(&client, &engine, "r", prompt(1)).await.status, 503);
}

#[test_case("shutdown")]
#[test_case("crash")]
#[test_case("pause")]
#[test_case("release")]
#[tokio::test]
async fn replica_fails_with_any_of_its_members(end: &str) {
    let (client, engines) =
        replica(3, Config { between_tokens: LONG_INTERVAL, ..Config::default() }).await;
    let running = tokio::spawn({
        let (client, head) = (client.clone(), engines[0].clone());
        async move { stream(&client, &head, "r1", chat(4)).await }
    });
    wait_until(async || engines[0].api().report().running == 1).await;
    match end {
        "shutdown" => engines[2].shutdown().await,
        "release" => {
            send_order(&client, &engines[2], json!({"order": "release", "token": 1, "epoch": 1}))
                .await;
        }
        fault => engines[2].switch(fault, true, None).unwrap(),
    }
    assert!(!running.await.unwrap().complete);
    assert_eq!(complete(&client, &engines[0], "r2", prompt(1)).await.status, 503);
}

#[test_case(true; "by a call")]
#[test_case(false; "by closing the connection")]
#[tokio::test]
async fn cancelled_request_releases_its_slot(by_call: bool) {
    let (client, engines) =
        replica(1, Config { between_tokens: LONG_INTERVAL, ..Config::default() }).await;
    let peer = engines[0].address();
    let opened = open(&client, &engines[0], "r1", chat(4)).await;
    wait_until(async || engines[0].api().report().running == 1).await;
    if by_call {
        let path = "/v1/requests/r1";
        let cancelled = client.call(Method::DELETE, peer, path, &[], &Value::Null).await.unwrap();
        assert_eq!(cancelled.status, 204);
        assert!(!events(opened).await.complete);
    } else {
        drop(opened);
    }
    wait_until(async || engines[0].counts()["cancelled"] == 1).await;
    assert_eq!(engines[0].api().report().running, 0);
}

#[tokio::test]
async fn queue_is_bounded_and_serves_higher_priority_first() {
    let config = Config {
        slots: 1,
        queue: 2,
        cold_limit: 8,
        between_tokens: LONG_INTERVAL,
        ..Config::default()
    };
    let (client, engines) = replica(1, config).await;
    let first = open(&client, &engines[0], "0", chat(2)).await;
    let mut waiting = Vec::new();
    for (place, priority) in [(1, "1"), (2, "7")] {
        let (client, engine) = (client.clone(), engines[0].clone());
        waiting.push(tokio::spawn(async move { open(&client, &engine, priority, chat(2)).await }));
        wait_until(async || engines[0].api().report().waiting == place).await;
    }
    assert_eq!(complete(&client, &engines[0], "r3", prompt(1)).await.status, 429);
    drop(first);
    let high = waiting.pop().unwrap().await.unwrap();
    assert_eq!(high.status(), 200);
    assert_eq!(engines[0].api().report().waiting, 1);
    drop(high);
    assert_eq!(waiting.pop().unwrap().await.unwrap().status(), 200);
}

#[test_case(0, 1, 0; "one at the cold limit")]
#[test_case(0, 2, 1; "one above the cold limit")]
#[test_case(1, 2, 0; "two after one has finished")]
#[test_case(3, 4, 0; "four after three have finished")]
#[test_case(3, 5, 1; "five after three have finished")]
#[tokio::test]
async fn requests_above_the_warm_up_limit_count_as_overload(
    finished: u32,
    held: u64,
    overloads: u64,
) {
    let config = Config { cold_limit: 1, between_tokens: LONG_INTERVAL, ..Config::default() };
    let (client, engines) = replica(1, config).await;
    for _ in 0..finished {
        complete(&client, &engines[0], "r", prompt(1)).await;
    }
    let mut open_streams = Vec::new();
    for _ in 0..held {
        open_streams.push(open(&client, &engines[0], "r", chat(2)).await);
    }
    assert_eq!(engines[0].counts()["overload"], overloads);
}
