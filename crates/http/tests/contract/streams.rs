//! Guards against callers that disconnect or stop reading in the middle of a response and so occupy
//! the node or its upstreams.

use std::time::Duration;

use corneltrestle_local::{Local, Plan, client::Client};
use hyper::{Method, StatusCode};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment::{KEY, expect_service, node, note, open};

/// Opens a deployment whose engine takes `token_time` for each token.
async fn with_token_time(token_time: Duration, settings: &str) -> Local {
    let mut plan = Plan::zones(&["zone-a"]);
    plan.settings = settings.to_owned();
    plan.engine.between_tokens = token_time;
    for zone in &mut plan.zones {
        (zone.nodes, zone.fabrics, zone.vms) = (1, 1, 1);
    }
    let local = open(plan).await;
    local.apply(&note(&local)).await.unwrap();
    local
}

fn count(local: &Local, name: &str) -> u64 {
    local.engines.values().filter_map(|engine| engine.counts().get(name).copied()).sum()
}

/// Waits until a condition holds.
async fn wait_until(mut done: impl FnMut() -> bool) {
    for _ in 0..600 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the expected state was not reached");
}

/// Guards against upstream work that continues after its caller has disconnected.
#[test_case(true; "stream")]
#[test_case(false; "complete response")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disconnect_of_the_caller_cancels_upstream_work(stream: bool) {
    let local = with_token_time(Duration::from_millis(100), "").await;
    expect_service(&local).await;
    let before = count(&local, "cancelled");
    let body = format!(r#"{{"model":"small","max_tokens":1000,"stream":{stream},"prompt":"x"}}"#);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut socket = TcpStream::connect(node(&local).callers).await.unwrap();
    socket.write_all(head.as_bytes()).await.unwrap();
    if stream {
        socket.read_exact(&mut [0; 64]).await.unwrap();
    } else {
        wait_until(|| running(&local) > 0).await;
    }
    drop(socket);
    wait_until(|| count(&local, "cancelled") > before).await;
    wait_until(|| running(&local) == 0).await;
    expect_service(&local).await;
    local.shutdown().await;
}

fn running(local: &Local) -> u32 {
    local.engines.values().map(|engine| engine.api().report().running).sum()
}

/// Guards against a caller that stops reading and so occupies an upstream, and against a response
/// that is buffered for it without limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_is_not_read_is_aborted_and_its_work_cancelled() {
    let local = with_token_time(Duration::ZERO, "[callers]\nread-time = 1s\n").await;
    let caller = Client::new(node(&local).callers, KEY);
    let body = br#"{"model":"small","max_tokens":100000000,"stream":true,"prompt":"x"}"#;
    let response = caller.send(Method::POST, "/v1/completions", &[], body.to_vec()).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    wait_until(|| count(&local, "cancelled") > 0).await;
    wait_until(|| running(&local) == 0).await;
    expect_service(&local).await;
    drop(response);
    local.shutdown().await;
}
