//! Steady load: model requests, orders and status checks.

use std::{net, time};

use corneltrestle_local::client;
use tokio::task;

use crate::scenario::store_outage;

/// Time between two model requests; every second one is streamed.
const MODEL_PERIOD: time::Duration = time::Duration::from_millis(50);
/// Model requests between two orders, and between two status checks.
const ORDER_EVERY: u64 = 4;
const STATUS_EVERY: u64 = 2;

/// What a call was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Model,
    Order,
    Status,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Whole,
    NotRun,
    Unknown,
    Broken,
}

/// One call.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) kind: Kind,
    pub(super) end: End,
    /// Idempotency key of an order.
    pub(super) key: String,
    pub(super) sent: time::Instant,
    pub(super) taken: time::Duration,
}

/// Calls in progress and those that have ended.
#[derive(Debug, Default)]
pub(super) struct Load {
    calls: task::JoinSet<Sample>,
    number: u64,
}

impl Load {
    /// A load whose orders have keys from `number` on.
    pub(super) fn starting(number: u64) -> Self {
        Self { number, ..Self::default() }
    }

    /// Sends calls through the nodes in turn for the stated time.
    pub(super) async fn run(&mut self, nodes: &[net::SocketAddr], time: time::Duration) {
        let end = time::Instant::now() + time;
        let mut due = tokio::time::interval(MODEL_PERIOD);
        while time::Instant::now() < end {
            due.tick().await;
            let number = self.number;
            self.number += 1;
            let node = |offset: u64| nodes[((number + offset) % nodes.len() as u64) as usize];
            self.calls.spawn(model(node(0), number.is_multiple_of(2)));
            if number.is_multiple_of(ORDER_EVERY) {
                // The same order goes to two nodes at once, as an impatient caller does.
                let key = format!("order-{number}");
                let offset = number / ORDER_EVERY;
                self.calls.spawn(order(node(offset), key.clone()));
                self.calls.spawn(order(node(offset + 1), key));
            }
            if number.is_multiple_of(STATUS_EVERY) {
                self.calls.spawn(status(node(number / STATUS_EVERY)));
            }
        }
    }

    /// Waits for the calls in progress.
    pub(super) async fn finish(self) -> Vec<Sample> {
        self.calls.join_all().await
    }
}

async fn model(node: net::SocketAddr, stream: bool) -> Sample {
    let body = format!(
        "{{\"model\":\"small\",\"stream\":{stream},\"max_tokens\":8,\"prompt\":\"hello\"}}"
    );
    let path = "/v1/completions";
    let mut sample = call(Kind::Model, node, hyper::Method::POST, path, "", body).await;
    if stream && sample.end == End::Whole && !sample.key.ends_with("data: [DONE]\n\n") {
        sample.end = End::Broken;
    }
    sample
}

async fn order(node: net::SocketAddr, key: String) -> Sample {
    let sample =
        call(Kind::Order, node, hyper::Method::POST, "/desk/orders", &key, "{}".to_owned());
    Sample { key: key.clone(), ..sample.await }
}

async fn status(node: net::SocketAddr) -> Sample {
    call(Kind::Status, node, hyper::Method::GET, "/desk/stock/frame", "", String::new()).await
}

/// Sends a call; the sample has the answer's text in place of the key.
async fn call(
    kind: Kind,
    node: net::SocketAddr,
    method: hyper::Method,
    path: &str,
    key: &str,
    body: String,
) -> Sample {
    let sent = time::Instant::now();
    let headers: &[(&str, &str)] = if key.is_empty() { &[] } else { &[("idempotency-key", key)] };
    let caller = client::Client::new(node, store_outage::KEY);
    let answer = caller.call(method, path, headers, body.into_bytes()).await;
    let outcome = |answer: &client::Response| {
        let value = answer.headers.get("corneltrestle-outcome");
        value.map(|value| value.as_bytes().to_vec())
    };
    let (end, key) = match &answer {
        Err(_) => (End::Broken, String::new()),
        Ok(answer) => match outcome(answer).as_deref() {
            Some(b"not-run") => (End::NotRun, String::new()),
            Some(_) => (End::Unknown, String::new()),
            None if matches!(answer.status, hyper::StatusCode::OK | hyper::StatusCode::CREATED) => {
                (End::Whole, String::from_utf8_lossy(&answer.body).into_owned())
            }
            None => (End::Broken, String::new()),
        },
    };
    Sample { kind, end, key, sent, taken: sent.elapsed() }
}
