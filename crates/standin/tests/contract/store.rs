//! Key-value store: guards against a difference from the parts of the etcd gateway that the store
//! client relies on.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use corneltrestle_standin::store;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use test_case::test_case;

use crate::client::{Client, wait_until};

pub(crate) fn base64(text: &str) -> String {
    STANDARD.encode(text)
}

/// A compare-and-swap of the key `k`.
pub(crate) fn swap(expected: u64, value: &str, lease: &str) -> Value {
    let (key, mut put) = (base64("k"), json!({"key": base64("k"), "value": base64(value)}));
    if !lease.is_empty() {
        put["lease"] = lease.into();
    }
    let compare = json!({"target": "MOD", "result": "EQUAL", "key": key, "mod_revision": expected.to_string()});
    json!({
        "compare": [compare],
        "success": [{"request_put": put}],
        "failure": [{"request_range": {"key": key}}],
    })
}

#[tokio::test]
async fn compare_and_swap_takes_effect_once_and_returns_the_conflicting_value() {
    let (client, store) = (Client::new(), store::bind(store::Config::default()).await.unwrap());
    let (peer, key) = (store.address(), json!({"key": base64("k")}));
    let absent = client.post(peer, "/v3/kv/range", key.clone()).await.unwrap().json;
    assert_eq!((&absent["kvs"], &absent["header"]["revision"]), (&Value::Null, &json!("1")));

    let first = client.post(peer, "/v3/kv/txn", swap(0, "a", "")).await.unwrap().json;
    assert_eq!((&first["succeeded"], &first["header"]["revision"]), (&json!(true), &json!("2")));
    let second = client.post(peer, "/v3/kv/txn", swap(0, "b", "")).await.unwrap().json;
    assert_eq!(second["succeeded"], Value::Null);
    let seen = &second["responses"][0]["response_range"]["kvs"][0];
    let present = json!({"key": base64("k"), "value": base64("a"), "create_revision": "2", "mod_revision": "2", "version": "1"});
    assert_eq!(seen, &present);
    let read = client.post(peer, "/v3/kv/range", key).await.unwrap().json;
    assert_eq!((&read["kvs"][0], &read["count"]), (&present, &json!("1")));
    let counts = client.get(peer, "/control/counts").await.unwrap().json;
    assert_eq!(counts, json!({"range": 2, "txn": 2, "watching": 0}));
}

#[tokio::test]
async fn watch_sends_changes_progress_and_the_deletion_by_a_revoked_lease() {
    let progress_interval = std::time::Duration::from_millis(20);
    let config = store::Config { progress_interval, ..store::Config::default() };
    let (client, store) = (Client::new(), store::bind(config).await.unwrap());
    let peer = store.address();
    let lease = client.post(peer, "/v3/lease/grant", json!({"TTL": "30"})).await.unwrap().json;
    assert_eq!(lease["TTL"], "30");
    let id = lease["ID"].as_str().unwrap();
    client.post(peer, "/v3/kv/txn", swap(0, "a", id)).await.unwrap();
    let renewed = client.post(peer, "/v3/lease/keepalive", json!({"ID": id})).await.unwrap().json;
    assert_eq!(renewed["result"]["TTL"], "30");

    let create = json!({"create_request": {"key": base64("k"), "start_revision": "2", "progress_notify": true}});
    let mut watch = client.open(Method::POST, peer, "/v3/watch", &[], &create).await.unwrap();
    let mut lines = Vec::new();
    let mut revoked = false;
    while lines.len() < 5 {
        let frame = watch.body_mut().frame().await.unwrap().unwrap().into_data().unwrap();
        let line: Value = serde_json::from_slice(&frame).unwrap();
        lines.push(line["result"].clone());
        if lines.len() >= 3 && !revoked {
            client.post(peer, "/v3/lease/revoke", json!({"ID": id})).await.unwrap();
            revoked = true;
        }
    }
    assert_eq!(lines[0]["created"], true);
    assert_eq!(lines[1]["events"][0]["kv"]["lease"], id);
    assert_eq!(
        lines[2].as_object().unwrap().len(),
        1,
        "a progress notification has only the header"
    );
    let deleted = lines.iter().find(|line| line["events"][0]["type"] == "DELETE").unwrap();
    let key = json!({"key": base64("k"), "mod_revision": "3"});
    assert_eq!(deleted["events"][0]["kv"], key);
    assert_eq!(store.counts()["watching"], 1);
    drop(watch);
    wait_until(async || store.counts()["watching"] == 0).await;
}

#[test_case("/v3/kv/txn", swap(0, "a", "77"), 404; "put with an unknown lease")]
#[test_case("/v3/kv/txn", swap(0, &"a".repeat((1 << 20) + 1), ""), 400; "value above the limit")]
#[test_case("/v3/kv/txn", json!({"compare": []}), 400; "transaction without compare")]
#[test_case("/v3/kv/range", json!({"key": "%"}), 400; "key that is not base64")]
#[test_case("/v3/lease/revoke", json!({"ID": "77"}), 404; "unknown lease")]
#[test_case("/v3/lease/grant", json!({"TTL": "0"}), 400; "lease without a time to live")]
#[test_case("/v3/kv/other", json!({}), 404; "unknown call")]
#[tokio::test]
async fn invalid_call_is_refused_without_effect(path: &str, body: Value, status: u16) {
    let (client, store) = (Client::new(), store::bind(store::Config::default()).await.unwrap());
    let answer = client.post(store.address(), path, body).await.unwrap();
    assert_eq!(answer.status, StatusCode::from_u16(status).unwrap());
    assert_eq!(store.api().value("k"), None);
}
