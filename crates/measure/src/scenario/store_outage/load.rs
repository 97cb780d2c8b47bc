//! Steady load of the scenario `store-outage`: model requests, orders and status checks.

use std::{net, time};

use corneltrestle_local::client;
use tokio::task;

use crate::scenario::store_outage;

/// Interval between two model requests; every second one is streamed.
const MODEL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Number of model requests for one order, and for one status check.
const ORDER_EVERY: u64 = 4;
const STATUS_EVERY: u64 = 2;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A generation.
    Model,
    /// An order with an idempotency key.
    Order,
    /// A read of the order service, which may be repeated.
    Status,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A complete answer.
    Whole,
    /// Refused with the outcome `not-run`.
    NotRun,
    /// Refused with another outcome.
    Unknown,
    /// No answer, an incomplete one or an error without an outcome.
    Broken,
}

/// A call that has ended.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) kind: Kind,
    pub(super) outcome: Outcome,
    /// Idempotency key of an order; the text of the answer for other kinds.
    pub(super) key: String,
    pub(super) sent_at: time::Instant,
    pub(super) elapsed: time::Duration,
}

/// Calls in progress and those that have ended.
#[derive(Debug, Default)]
pub(super) struct Load {
    calls: task::JoinSet<Sample>,
    /// Number of the next call, from which the idempotency keys are made.
    number: u64,
}

impl Load {
    /// Creates a load whose idempotency keys are numbered from `number` on.
    pub(super) fn new(number: u64) -> Self {
        Self { number, ..Self::default() }
    }

    /// Sends calls through the nodes in turn for `time`.
    pub(super) async fn run(&mut self, nodes: &[net::SocketAddr], time: time::Duration) {
        let end = time::Instant::now() + time;
        let mut due = tokio::time::interval(MODEL_INTERVAL);
        while time::Instant::now() < end {
            due.tick().await;
            let number = self.number;
            self.number += 1;
            let node = |offset: u64| nodes[((number + offset) % nodes.len() as u64) as usize];
            self.calls.spawn(request_model(node(0), number.is_multiple_of(2)));
            if number.is_multiple_of(ORDER_EVERY) {
                // The same order goes to two nodes at once, as from a client that retries early.
                let key = format!("order-{number}");
                let offset = number / ORDER_EVERY;
                self.calls.spawn(send_order(node(offset), key.clone()));
                self.calls.spawn(send_order(node(offset + 1), key));
            }
            if number.is_multiple_of(STATUS_EVERY) {
                self.calls.spawn(check_status(node(number / STATUS_EVERY)));
            }
        }
    }

    /// Waits for the calls in progress.
    pub(super) async fn finish(self) -> Vec<Sample> {
        self.calls.join_all().await
    }
}

async fn request_model(node: net::SocketAddr, stream: bool) -> Sample {
    let body = format!(
        "{{\"model\":\"small\",\"stream\":{stream},\"max_tokens\":8,\"prompt\":\"hello\"}}"
    );
    let path = "/v1/completions";
    let mut sample = call(Kind::Model, node, hyper::Method::POST, path, "", body).await;
    if stream && sample.outcome == Outcome::Whole && !sample.key.ends_with("data: [DONE]\n\n") {
        sample.outcome = Outcome::Broken;
    }
    sample
}

async fn send_order(node: net::SocketAddr, key: String) -> Sample {
    let sample =
        call(Kind::Order, node, hyper::Method::POST, "/desk/orders", &key, "{}".to_owned());
    Sample { key: key.clone(), ..sample.await }
}

async fn check_status(node: net::SocketAddr) -> Sample {
    call(Kind::Status, node, hyper::Method::GET, "/desk/stock/frame", "", String::new()).await
}

/// Makes a call and classifies its answer; the sample holds the text of the answer in place of the
/// key.
async fn call(
    kind: Kind,
    node: net::SocketAddr,
    method: hyper::Method,
    path: &str,
    key: &str,
    body: String,
) -> Sample {
    let sent_at = time::Instant::now();
    let headers: &[(&str, &str)] = if key.is_empty() { &[] } else { &[("idempotency-key", key)] };
    let caller = client::Client::new(node, store_outage::API_KEY);
    let answer = caller.call(method, path, headers, body.into_bytes()).await;
    let header = |answer: &client::Response| {
        let value = answer.headers.get("corneltrestle-outcome");
        value.map(|value| value.as_bytes().to_vec())
    };
    let (outcome, key) = match &answer {
        Err(_) => (Outcome::Broken, String::new()),
        Ok(answer) => match header(answer).as_deref() {
            Some(b"not-run") => (Outcome::NotRun, String::new()),
            Some(_) => (Outcome::Unknown, String::new()),
            None if matches!(answer.status, hyper::StatusCode::OK | hyper::StatusCode::CREATED) => {
                (Outcome::Whole, String::from_utf8_lossy(&answer.body).into_owned())
            }
            None => (Outcome::Broken, String::new()),
        },
    };
    Sample { kind, outcome, key, sent_at, elapsed: sent_at.elapsed() }
}
