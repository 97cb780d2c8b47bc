//! Callers that leave or stop reading in the middle of an answer.

use std::time::Duration;

use corneltrestle_local::{Local, Plan, client::Client};
use hyper::{Method, StatusCode};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment::{KEY, expect_service, node, note, open};

/// Opens a deployment whose engine takes `token` for each token.
async fn slow(token: Duration, settings: &str) -> Local {
    let mut plan = Plan::zones(&["zone-a"]);
    plan.settings = settings.to_owned();
    plan.engine.token = token;
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

async fn until(mut done: impl FnMut() -> bool) {
    for _ in 0..600 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the awaited state is not reached");
}

/// Guards against work that goes on upstream for a caller who has left.
#[test_case(true; "stream")]
#[test_case(false; "whole answer")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_caller_cancels_the_work_upstream(stream: bool) {
    let local = slow(Duration::from_millis(100), "").await;
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
        until(|| running(&local) > 0).await;
    }
    drop(socket);
    until(|| count(&local, "cancelled") > before).await;
    until(|| running(&local) == 0).await;
    expect_service(&local).await;
    local.shutdown().await;
}

fn running(local: &Local) -> u32 {
    local.engines.values().map(|engine| engine.api().report().running).sum()
}

/// Guards against a caller who stops reading and so holds a place upstream, and against an answer
/// that is buffered without bound for that caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_stops_reading_is_cut_off_and_its_work_cancelled() {
    let local = slow(Duration::ZERO, "[callers]\nread-time = 1s\n").await;
    let caller = Client::new(node(&local).callers, KEY);
    let body = br#"{"model":"small","max_tokens":100000000,"stream":true,"prompt":"x"}"#;
    let answer = caller.send(Method::POST, "/v1/completions", &[], body.to_vec()).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    until(|| count(&local, "cancelled") > 0).await;
    until(|| running(&local) == 0).await;
    expect_service(&local).await;
    drop(answer);
    local.shutdown().await;
}
