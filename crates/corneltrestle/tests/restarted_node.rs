//! Guards against the outcome `unknown` for an order that is in progress at a node which has just
//! restarted, while the other nodes do not know of its new process yet.

use std::time::Duration;

use corneltrestle::local::{Local, Plan, client};
use corneltrestle::node::{digest, operate};
use hyper::{Method, StatusCode};

const KEY: &str = "key-of-acme";
const RESTARTED: &str = "zone-a-entry-1";

fn note(service: std::net::SocketAddr) -> String {
    format!(
        "[note]\nid = first\nbase = 0\n[zone zone-a]\nchange = add\nstate = in\n\
         [organisation acme]\nchange = add\nkey-hash = {}\nrate = 100\nconcurrency = 100\n\
         [service desk]\nchange = add\nkind = plain\nprefix = /desk\ntimeout = 30s\n\
         upstreams = zone-a {service}\n",
        digest::key(KEY)
    )
}

async fn order(node: std::net::SocketAddr, key: &str) -> client::Response {
    let headers = [("idempotency-key", key)];
    let caller = client::Client::new(node, KEY);
    caller.call(Method::POST, "/desk/orders", &headers, b"{}".to_vec()).await.unwrap()
}

/// Sends an order until it is created; the node first has to receive the release.
async fn create_order(node: std::net::SocketAddr, key: &str) {
    while order(node, key).await.status != StatusCode::CREATED {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_at_restarted_node_is_in_progress() {
    let mut local = Local::open(Plan::zones(&["zone-a"])).await.unwrap();
    let service = local.services[0].1.clone();
    let verdict = local.apply(&note(service.address())).await.unwrap();
    assert_eq!(verdict, operate::Verdict::Accepted { revision: 1 });
    let other = local.nodes["zone-a-entry-0"].callers;
    let restarted = local.nodes[RESTARTED].callers;
    create_order(other, "before").await;
    create_order(restarted, "before").await;
    // After a few pulls, each node knows the current process of the other one.
    tokio::time::sleep(Duration::from_secs(3)).await;

    local.stop_node(RESTARTED).await;
    local.start_node(RESTARTED).unwrap();
    create_order(restarted, "after").await;
    service.switch("pause", true, None).unwrap();
    let first = tokio::spawn(order(restarted, "held"));
    while service.counts().get("order").copied().unwrap_or(0) < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let second = order(other, "held").await;
    let text = String::from_utf8_lossy(&second.body);
    assert_eq!(second.status, StatusCode::CONFLICT, "{text}");
    service.switch("pause", false, None).unwrap();
    assert_eq!(first.await.unwrap().status, StatusCode::CREATED);
    create_order(other, "held").await;
    assert_eq!(service.api().runs().keys["held"], 1);
    local.shutdown().await;
}
