//! Faults: each does what its help says and ends when it is switched off.
//!
//! Guards against a fault without effect, under which tests of the nodes would pass wrongly.

use std::time::Duration;

use corneltrestle_policy::report::Phase;
use corneltrestle_standin::{engine, fault, server, service, store, vms};
use serde_json::{Value, json};
use test_case::test_case;

use crate::client::{Client, wait_until};
use crate::engine::{chat, complete, join, prompt, replica, send_order, stream};
use crate::service::order as place_order;
use crate::store::{base64, swap};
use crate::vms::vm;

/// A delay longer than any test.
const ENDLESS_MS: u64 = 600_000;

/// How long a test waits for a response that must not come.
const NO_RESPONSE_WAIT: Duration = Duration::from_millis(50);

async fn service() -> (Client, service::Handle) {
    (Client::new(), service::bind(service::Config::default()).await.unwrap())
}

/// The outcome of an order: another status than 201, another request's id, a response or an error.
async fn outcome(client: &Client, service: &service::Handle) -> &'static str {
    match place_order(client, service).await {
        Ok(answer) if answer.status != 201 => "status",
        Ok(answer) if answer.headers["x-request-id"] != "r" => "other id",
        Ok(_) => "answer",
        Err(_) => "error",
    }
}

/// Whether an order gets no response.
async fn is_unanswered(client: &Client, service: &service::Handle) -> bool {
    tokio::time::timeout(NO_RESPONSE_WAIT, place_order(client, service)).await.is_err()
}

#[test_case("slow", Some(ENDLESS_MS), "no response", 0; "slow")]
#[test_case("pause", None, "no response", 0; "pause")]
#[test_case("down", None, "status", 0; "down with a status")]
#[test_case("down", Some(0), "error", 0; "down with a closed port")]
#[test_case("crash", None, "error", 0; "crash")]
#[test_case("silent", None, "no response", 0; "silent")]
#[test_case("answer-lost", None, "error", 1; "answer lost")]
#[test_case("truncate", None, "error", 1; "truncate")]
#[test_case("wrong-id", None, "other id", 1; "wrong id")]
#[tokio::test]
async fn fault_affects_the_response(name: &str, value: Option<u64>, expected: &str, runs: u64) {
    let (client, service) = service().await;
    assert_eq!(outcome(&client, &service).await, "answer");
    service.switch(name, true, value).unwrap();
    if expected == "no response" {
        assert!(is_unanswered(&client, &service).await);
    } else {
        assert_eq!(outcome(&client, &service).await, expected);
    }
    assert_eq!(service.api().runs().keys["k"], 1 + runs);
    service.switch(name, false, None).unwrap();
    // The port may take a moment to open again, and the first client may reuse old connections.
    let fresh = Client::new();
    wait_until(async || outcome(&fresh, &service).await == "answer").await;
}

#[tokio::test]
async fn silent_connection_stays_silent_while_new_ones_work() {
    let (client, service) = service().await;
    assert_eq!(outcome(&client, &service).await, "answer");
    service.switch("silent", true, None).unwrap();
    assert_eq!(outcome(&Client::new(), &service).await, "answer");
    service.switch("silent", false, None).unwrap();
    assert!(is_unanswered(&client, &service).await);
}

#[test_case("truncate", Some(2), 2, false; "truncate")]
#[test_case("wrong-id", Some(2), 4, true; "wrong id")]
#[test_case("wrong-id", None, 4, true; "wrong id from the start")]
#[tokio::test]
async fn fault_affects_the_stream(name: &str, value: Option<u64>, count: usize, whole: bool) {
    let (client, engines) = replica(1, engine::Config::default()).await;
    engines[0].switch(name, true, value).unwrap();
    let seen = stream(&client, &engines[0], "r1", chat(4)).await;
    assert_eq!((seen.ids.len(), seen.complete), (count, whole));
    let own = seen.ids.iter().take_while(|id| id.starts_with("r1/")).count();
    assert_eq!(own, usize::try_from(value.unwrap_or(0)).unwrap());
}

#[test_case("cold-again", Phase::Ready, "m"; "cold again")]
#[test_case("crash", Phase::Idle, ""; "crash")]
#[tokio::test]
async fn restarted_engine_has_a_new_start_id_and_an_empty_cache(
    name: &str,
    phase: Phase,
    model: &str,
) {
    let (client, engines) = replica(1, engine::Config::default()).await;
    complete(&client, &engines[0], "r1", prompt(1)).await;
    let before = engines[0].api().report();
    engines[0].switch(name, true, None).unwrap();
    engines[0].switch(name, false, None).unwrap();
    let after = engines[0].api().report();
    assert_ne!(after.start, before.start);
    assert_eq!((after.phase, after.model.as_str(), after.sequence), (phase, model, 0));
}

#[tokio::test]
async fn engine_that_ignores_fencing_accepts_an_old_token() {
    let (client, engines) = replica(1, engine::Config::default()).await;
    engines[0].switch("ignore-fencing", true, None).unwrap();
    assert_eq!(send_order(&client, &engines[0], join(0, "g", 2, 0, 1)).await, "accepted");
    engines[0].switch("ignore-fencing", false, None).unwrap();
    assert_eq!(send_order(&client, &engines[0], join(0, "g", 3, 0, 1)).await, "stale");
}

#[test_case("late-events", ENDLESS_MS, &[]; "late")]
#[test_case("gapped-events", 2, &[1, 3]; "gapped")]
#[tokio::test]
async fn cache_events_are_missing(name: &str, value: u64, seen: &[u64]) {
    let (client, engines) = replica(1, engine::Config::default()).await;
    for (id, text) in [("a", "1"), ("b", "2"), ("c", "3")] {
        complete(&client, &engines[0], id, json!({"model": "m", "prompt": text})).await;
    }
    let path = "/v1/cache-events?after=0";
    let sequences = |events: &Value| -> Vec<u64> {
        events.as_array().unwrap().iter().map(|e| e["sequence"].as_u64().unwrap()).collect()
    };
    engines[0].switch(name, true, Some(value)).unwrap();
    assert_eq!(sequences(&client.get(engines[0].address(), path).await.unwrap().json), seen);
    engines[0].switch(name, false, None).unwrap();
    assert_eq!(sequences(&client.get(engines[0].address(), path).await.unwrap().json), [1, 2, 3]);
}

#[tokio::test]
async fn lagging_list_shows_an_older_list() {
    let config = vms::Config { vms: vec![vm("a")], ..vms::Config::default() };
    let (client, list) = (Client::new(), vms::bind(config).await.unwrap());
    list.switch("lagging-list", true, Some(ENDLESS_MS)).unwrap();
    list.api().set(&[]);
    let lagging = client.get(list.address(), "/v1/vms").await.unwrap().json;
    assert_eq!(lagging[0]["labels"]["vm"], "a");
    list.switch("lagging-list", false, None).unwrap();
    assert_eq!(client.get(list.address(), "/v1/vms").await.unwrap().json, json!([]));
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let (client, store) = (Client::new(), store::bind(store::Config::default()).await.unwrap());
    let peer = store.address();
    let lease = client.post(peer, "/v3/lease/grant", json!({"TTL": "30"})).await.unwrap().json;
    let id = lease["ID"].as_str().unwrap();
    client.post(peer, "/v3/kv/txn", swap(0, "a", id)).await.unwrap();
    store.switch("lease-lapse", true, None).unwrap();
    let key = json!({"key": base64("k")});
    let read = client.post(peer, "/v3/kv/range", key).await.unwrap().json;
    assert_eq!(read["kvs"], Value::Null);
    let renewed = client.post(peer, "/v3/lease/keepalive", json!({"ID": id})).await.unwrap().json;
    assert_eq!(renewed["result"]["TTL"], Value::Null);
}

#[tokio::test]
async fn write_takes_effect_when_its_response_is_lost() {
    let (client, store) = (Client::new(), store::bind(store::Config::default()).await.unwrap());
    store.switch("answer-lost", true, Some(1)).unwrap();
    let key = json!({"key": base64("k")});
    client.post(store.address(), "/v3/kv/range", key).await.unwrap();
    client.post(store.address(), "/v3/kv/txn", swap(0, "a", "")).await.unwrap_err();
    assert_eq!(store.api().value("k"), Some(b"a".to_vec()));
    let second = client.post(store.address(), "/v3/kv/txn", swap(2, "b", "")).await.unwrap();
    assert_eq!(second.json["succeeded"], true);
}

#[tokio::test]
async fn control_port_switches_one_server_and_outlives_its_crash() {
    let (client, engines) = replica(2, engine::Config::default()).await;
    let named = engines.iter().map(|e| (e.api().vm().to_string(), e.clone())).collect();
    let control = server::control(named, "127.0.0.1:0".parse().unwrap()).await.unwrap();
    let switch = |on| json!({"name": "crash", "on": on, "server": "vm-1"});
    let peer = control.address();
    assert_eq!(client.post(peer, "/control/faults", switch(true)).await.unwrap().status, 200);
    assert!(Client::new().get(engines[1].address(), "/v1/report").await.is_err());
    assert!(Client::new().get(engines[0].address(), "/v1/report").await.is_ok());
    let counts = client.get(peer, "/control/counts").await.unwrap().json;
    assert_eq!(counts["vm-0"]["report"], 1);
    client.post(peer, "/control/faults", switch(false)).await.unwrap();
    let report = async || Client::new().get(engines[1].address(), "/v1/report").await;
    wait_until(async || report().await.is_ok_and(|answer| answer.json["phase"] == "idle")).await;
}

#[test_case(json!({"name": "fast", "on": true}); "unknown fault")]
#[test_case(json!({"name": "slow"}); "neither on nor off")]
#[test_case(json!({"name": "slow", "on": true, "server": "other"}); "unknown server")]
#[tokio::test]
async fn invalid_control_call_is_refused(body: Value) {
    let (client, service) = service().await;
    let answer = client.post(service.address(), "/control/faults", body).await;
    assert_eq!(answer.unwrap().status, 400);
}

#[test]
fn every_fault_is_registered_under_its_own_name() {
    let mut names: Vec<_> = fault::FAULTS.iter().map(|fault| fault.name).collect();
    names.sort_unstable();
    let expected = "answer-lost cold-again crash down gapped-events ignore-fencing lagging-list late-events lease-lapse pause silent slow truncate wrong-id";
    assert_eq!(names.join(" "), expected);
}
