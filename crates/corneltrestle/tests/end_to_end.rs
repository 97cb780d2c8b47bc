//! Guards against a failure at any stage between a release note and a streamed answer: store,
//! assignment, reports, routing, relay.

use std::time::Duration;

use corneltrestle::local::{Local, Plan, client};
use corneltrestle::node::{digest, operate};
use hyper::{Method, StatusCode};

const KEY: &str = "key-of-acme";

fn note() -> String {
    format!(
        "[note]\nid = first\nbase = 0\n\
         [zone zone-a]\nchange = add\nstate = in\n\
         [organisation acme]\nchange = add\nkey-hash = {}\nweight = 1\nrate = 100\nconcurrency = 100\n\
         [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 20s\n\
         [group chat-a]\nchange = add\nservice = chat\nzone = zone-a\nvms = 3\nreplicas = 1\n\
         model = small\nversion = 1\nfencing = checked\n",
        digest::key(KEY)
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_request_gets_complete_answer_after_note() {
    let local = Local::open(Plan::zones(&["zone-a"])).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let verdict = local.apply(&note()).await.unwrap();
    assert_eq!(verdict, operate::Verdict::Accepted { revision: 1 });

    let node = local.nodes.values().last().unwrap();
    let caller = client::Client::new(node.callers, KEY);
    // The note was applied at another node and takes effect at this one within seconds.
    for _ in 0..60 {
        let models = caller.call(Method::GET, "/v1/models", &[], Vec::new()).await.unwrap();
        if models.status == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let body = br#"{"model":"small","stream":true,"max_tokens":8,"prompt":"hello"}"#;
    let mut answer =
        caller.send(Method::POST, "/v1/completions", &[], body.to_vec()).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    let mut text = String::new();
    while let Some(part) = answer.next().await.unwrap() {
        text.push_str(std::str::from_utf8(&part).unwrap());
    }
    assert_eq!(text.matches("data: {").count(), 8, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    local.shutdown().await;
}
