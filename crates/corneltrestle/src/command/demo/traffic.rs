//! Callers of the organisations, which send random requests at a fixed rate and check the answers.

use std::{net, sync, time};

use corneltrestle_kernel::{plugin, pool, table};
use corneltrestle_local::client;
use rand::SeedableRng;
use serde_json::json;
use tokio::sync::Semaphore;

use super::{
    check,
    notes::{self, ORDER_PREFIX},
    request, tally,
};

/// Interval between two requests of one organisation.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Limit on the requests of one organisation in progress; at the limit, sending pauses until one
/// ends.
const MAX_IN_PROGRESS: usize = 64;
/// Error code for an order while another call with its key is in progress.
const IN_PROGRESS_CODE: &str = "in-progress";
/// Limit on the times that an order is sent again after [`IN_PROGRESS_CODE`].
const MAX_ORDER_RETRIES: u32 = 10;
/// Delay before an order is sent again, as `Retry-After` in the answer says.
const ORDER_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// The callers of all organisations; clones share their state.
#[derive(Clone, Debug)]
pub(super) struct Traffic {
    /// What the callers have observed.
    pub tally: sync::Arc<table::Table<tally::Tally>>,
    balancer: sync::Arc<table::Table<Balancer>>,
    tasks: plugin::Handle,
    pool: sync::Arc<pool::Pool>,
}

/// Load balancer of the callers: for each node index, the address that its requests are sent to.
#[derive(Debug)]
struct Balancer(Vec<net::SocketAddr>);

impl table::Ranked for Balancer {
    const RANK: u16 = 310;
    const NAME: &'static str = "demo-nodes";
}

impl Traffic {
    /// Starts the callers of all organisations on the current runtime.
    pub(super) fn start(nodes: Vec<net::SocketAddr>, seed: u64) -> Self {
        let node_count = nodes.len();
        let traffic = Self {
            tally: sync::Arc::default(),
            balancer: sync::Arc::new(table::Table::new(Balancer(nodes))),
            tasks: plugin::Handle::default(),
            pool: sync::Arc::new(pool::Pool::attach(tokio::runtime::Handle::current())),
        };
        for (number, organisation) in (0..).zip(notes::ORGANISATIONS) {
            let sender = traffic.clone();
            let rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_add(number));
            traffic
                .tasks
                .spawn_until_stop(&traffic.pool, sender.send_all(organisation, node_count, rng));
        }
        traffic
    }

    /// Stops sending and waits until the requests in progress have ended.
    pub(super) async fn shutdown(&self) {
        self.tasks.shutdown().await;
    }

    /// Sends the requests for the node with this index to `address` from now on.
    pub(super) fn redirect(&self, index: usize, address: net::SocketAddr) {
        self.balancer.lock().0[index] = address;
    }

    fn address(&self, index: usize) -> net::SocketAddr {
        self.balancer.lock().0[index]
    }

    async fn send_all(
        self,
        organisation: notes::Organisation,
        node_count: usize,
        mut rng: rand_chacha::ChaCha8Rng,
    ) {
        let permits = sync::Arc::new(Semaphore::new(MAX_IN_PROGRESS));
        let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for number in 0.. {
            ticks.tick().await;
            let permit = sync::Arc::clone(&permits).acquire_owned().await;
            let request = request::Request::random(organisation, number, node_count, &mut rng);
            let caller = self.clone();
            self.tasks.spawn(&self.pool, async move {
                caller.send(request).await;
                drop(permit);
            });
        }
    }

    async fn send(self, request: request::Request) {
        let caller = client::Client::new(self.address(request.node), request.organisation.key);
        match &request.operation {
            request::Operation::Generation(generation) => {
                let kind = if generation.stream { "streamed" } else { "whole" };
                self.generate(&caller, kind, generation).await;
            }
            request::Operation::Order { key, overlap } => {
                let other = client::Client::new(
                    self.address(request.repeat_node),
                    request.organisation.key,
                );
                if *overlap {
                    tokio::join!(self.order(&caller, "order", key), async {
                        self.order(&other, "order repeated", key).await;
                    });
                } else {
                    self.order(&caller, "order", key).await;
                    self.order(&other, "order repeated", key).await;
                }
            }
            request::Operation::Status { key } => {
                let path = format!("{ORDER_PREFIX}/orders/{key}/status");
                self.look_up(&caller, "status", &path, |answer| is_status(answer, key)).await;
            }
            request::Operation::Stock { item } => {
                let path = format!("{ORDER_PREFIX}/stock/{item}");
                self.look_up(&caller, "stock", &path, |answer| is_stock(answer, item)).await;
            }
        }
    }

    /// Sends a generation and records how it ended.
    pub(super) async fn generate(
        &self,
        caller: &client::Client,
        kind: &'static str,
        generation: &request::Generation,
    ) {
        self.tally.lock().record_sent(kind);
        let end = check::generate(caller, generation).await;
        self.tally.lock().record_end(kind, end);
    }

    /// Sends an order, and sends it again while another call with its key is in progress.
    async fn order(&self, caller: &client::Client, kind: &'static str, key: &str) {
        self.tally.lock().record_sent(kind);
        let mut end = self.try_order(caller, key).await;
        for _ in 0..MAX_ORDER_RETRIES {
            match end {
                check::End::Refused { code, outcome, .. } if code == IN_PROGRESS_CODE => {
                    self.tally.lock().record_refusal(code, outcome);
                }
                end => return self.tally.lock().record_end(kind, end),
            }
            tokio::time::sleep(ORDER_RETRY_DELAY).await;
            end = self.try_order(caller, key).await;
        }
        self.tally.lock().record_end(kind, end);
    }

    async fn try_order(&self, caller: &client::Client, key: &str) -> check::End {
        let headers = [("idempotency-key", key)];
        let body = json!({"item": key}).to_string().into_bytes();
        let result = caller
            .call(hyper::Method::POST, &format!("{ORDER_PREFIX}/orders"), &headers, body)
            .await;
        let mut tally = self.tally.lock();
        match result {
            Ok(answer) => match check::refusal(&answer.headers, &answer.body) {
                Some(refused) => {
                    let not_run = matches!(&refused, check::End::Refused { outcome, .. } if outcome == "not-run");
                    tally.record_order(key, None, not_run);
                    refused
                }
                None if !is_order(&answer, key) => check::End::Wrong(describe(&answer)),
                None if !tally.record_order(key, Some(&answer.body), false) => check::End::Wrong(
                    format!("order {key} got a different second answer: {}", describe(&answer)),
                ),
                None => check::End::Whole(None),
            },
            Err(e) => {
                tally.record_order(key, None, false);
                check::End::NoAnswer(e.to_string())
            }
        }
    }

    async fn look_up(
        &self,
        caller: &client::Client,
        kind: &'static str,
        path: &str,
        is_valid: impl Fn(&client::Response) -> bool,
    ) {
        self.tally.lock().record_sent(kind);
        let end = match caller.call(hyper::Method::GET, path, &[], Vec::new()).await {
            Ok(answer) => match check::refusal(&answer.headers, &answer.body) {
                Some(refused) => refused,
                None if is_valid(&answer) => check::End::Whole(None),
                None => check::End::Wrong(format!("{path} got {}", describe(&answer))),
            },
            Err(e) => check::End::NoAnswer(e.to_string()),
        };
        self.tally.lock().record_end(kind, end);
    }
}

fn decode(answer: &client::Response) -> serde_json::Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn is_order(answer: &client::Response, key: &str) -> bool {
    answer.status == hyper::StatusCode::CREATED && decode(answer)["key"] == key
}

/// Whether an answer is a valid status of the order. 404 is valid, too, as the service of each zone
/// only knows the orders that it ran.
fn is_status(answer: &client::Response, key: &str) -> bool {
    let body = decode(answer);
    match answer.status {
        hyper::StatusCode::OK => body["key"] == key && body["runs"] == 1,
        status => status == hyper::StatusCode::NOT_FOUND,
    }
}

fn is_stock(answer: &client::Response, item: &str) -> bool {
    let body = decode(answer);
    answer.status == hyper::StatusCode::OK && body["item"] == item && body["stock"].is_u64()
}

fn describe(answer: &client::Response) -> String {
    format!("status {} with {}", answer.status, String::from_utf8_lossy(&answer.body))
}
