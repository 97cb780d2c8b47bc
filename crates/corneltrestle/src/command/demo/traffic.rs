//! Callers that send requests at a bounded rate.

use std::{net, sync, time};

use corneltrestle_kernel::{plugin, pool, table};
use corneltrestle_local::client;
use rand::SeedableRng;
use serde_json::json;
use tokio::sync::Semaphore;

use super::{
    check,
    notes::{self, DESK},
    request, tally,
};

/// Time between two requests of one organisation.
const PERIOD: time::Duration = time::Duration::from_millis(40);
/// Most requests of one organisation in progress; the next one waits for an end.
const IN_PROGRESS: usize = 64;
/// The code of the answer to an order whose first call is in progress.
const IN_PROGRESS_CODE: &str = "in-progress";
/// Times that such an order is sent again.
const ORDER_TRIES: u32 = 10;
/// Wait before that, as `Retry-After` in the answer says.
const ORDER_PAUSE: time::Duration = time::Duration::from_secs(1);

/// The callers.
#[derive(Clone, Debug)]
pub(super) struct Traffic {
    /// What they saw.
    pub tally: sync::Arc<table::Table<tally::Tally>>,
    nodes: sync::Arc<table::Table<Nodes>>,
    jobs: plugin::Handle,
    pool: sync::Arc<pool::Pool>,
}

/// The nodes as the callers' balancer knows them: where each one's requests go.
#[derive(Debug)]
struct Nodes(Vec<net::SocketAddr>);

impl table::Ranked for Nodes {
    const RANK: u16 = 310;
    const NAME: &'static str = "demo-nodes";
}

impl Traffic {
    /// Starts the callers of all organisations.
    pub(super) fn open(nodes: Vec<net::SocketAddr>, seed: u64) -> Self {
        let number_of_nodes = nodes.len();
        let traffic = Self {
            tally: sync::Arc::default(),
            nodes: sync::Arc::new(table::Table::new(Nodes(nodes))),
            jobs: plugin::Handle::default(),
            pool: sync::Arc::new(pool::Pool::attach(tokio::runtime::Handle::current())),
        };
        for (number, organisation) in (0..).zip(notes::ORGANISATIONS) {
            let sender = traffic.clone();
            let rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_add(number));
            traffic.jobs.spawn_until_stop(
                &traffic.pool,
                sender.send_all(organisation, number_of_nodes, rng),
            );
        }
        traffic
    }

    /// Sends no more requests and waits until those in progress have ended.
    pub(super) async fn shutdown(&self) {
        self.jobs.shutdown().await;
    }

    /// Sends the requests for node `number` to `address` from now on.
    pub(super) fn redirect(&self, number: usize, address: net::SocketAddr) {
        self.nodes.lock().0[number] = address;
    }

    fn node(&self, number: usize) -> net::SocketAddr {
        self.nodes.lock().0[number]
    }

    async fn send_all(
        self,
        organisation: notes::Organisation,
        nodes: usize,
        mut rng: rand_chacha::ChaCha8Rng,
    ) {
        let slots = sync::Arc::new(Semaphore::new(IN_PROGRESS));
        let mut ticks = tokio::time::interval(PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for number in 0.. {
            ticks.tick().await;
            let slot = sync::Arc::clone(&slots).acquire_owned().await;
            let request = request::Request::draw(organisation, number, nodes, &mut rng);
            let caller = self.clone();
            self.jobs.spawn(&self.pool, async move {
                caller.run(request).await;
                drop(slot);
            });
        }
    }

    async fn run(self, request: request::Request) {
        let caller = client::Client::new(self.node(request.node), request.organisation.key);
        match &request.work {
            request::Work::Generation(generation) => {
                let kind = if generation.stream { "streamed" } else { "whole" };
                self.generate(&caller, kind, generation).await;
            }
            request::Work::Order { key, overlap } => {
                let other = client::Client::new(self.node(request.other), request.organisation.key);
                if *overlap {
                    tokio::join!(self.order(&caller, "order", key), async {
                        self.order(&other, "order repeated", key).await;
                    });
                } else {
                    self.order(&caller, "order", key).await;
                    self.order(&other, "order repeated", key).await;
                }
            }
            request::Work::Status { key } => {
                let path = format!("{DESK}/orders/{key}/status");
                self.look_up(&caller, "status", &path, |answer| is_status(answer, key)).await;
            }
            request::Work::Stock { item } => {
                let path = format!("{DESK}/stock/{item}");
                self.look_up(&caller, "stock", &path, |answer| is_stock(answer, item)).await;
            }
        }
    }

    /// Sends a generation and counts its end.
    pub(super) async fn generate(
        &self,
        caller: &client::Client,
        kind: &'static str,
        generation: &request::Generation,
    ) {
        self.tally.lock().sent(kind);
        let end = check::generate(caller, generation).await;
        self.tally.lock().ended(kind, end);
    }

    /// Sends an order, again while another call with its key is in progress.
    async fn order(&self, caller: &client::Client, kind: &'static str, key: &str) {
        self.tally.lock().sent(kind);
        let mut end = self.try_order(caller, key).await;
        for _ in 0..ORDER_TRIES {
            match end {
                check::End::Refused { code, outcome, .. } if code == IN_PROGRESS_CODE => {
                    self.tally.lock().refused(code, outcome);
                }
                end => return self.tally.lock().ended(kind, end),
            }
            tokio::time::sleep(ORDER_PAUSE).await;
            end = self.try_order(caller, key).await;
        }
        self.tally.lock().ended(kind, end);
    }

    async fn try_order(&self, caller: &client::Client, key: &str) -> check::End {
        let headers = [("idempotency-key", key)];
        let body = json!({"item": key}).to_string().into_bytes();
        let called =
            caller.call(hyper::Method::POST, &format!("{DESK}/orders"), &headers, body).await;
        let mut tally = self.tally.lock();
        match called {
            Ok(answer) => match check::refusal(&answer.headers, &answer.body) {
                Some(refused) => {
                    let not_run = matches!(&refused, check::End::Refused { outcome, .. } if outcome == "not-run");
                    tally.ordered(key, None, not_run);
                    refused
                }
                None if !is_order(&answer, key) => check::End::Wrong(describe(&answer)),
                None if !tally.ordered(key, Some(&answer.body), false) => check::End::Wrong(
                    format!("order {key} got a second answer: {}", describe(&answer)),
                ),
                None => check::End::Whole(None),
            },
            Err(e) => {
                tally.ordered(key, None, false);
                check::End::NoAnswer(e.to_string())
            }
        }
    }

    async fn look_up(
        &self,
        caller: &client::Client,
        kind: &'static str,
        path: &str,
        is_right: impl Fn(&client::Response) -> bool,
    ) {
        self.tally.lock().sent(kind);
        let end = match caller.call(hyper::Method::GET, path, &[], Vec::new()).await {
            Ok(answer) => match check::refusal(&answer.headers, &answer.body) {
                Some(refused) => refused,
                None if is_right(&answer) => check::End::Whole(None),
                None => check::End::Wrong(format!("{path} got {}", describe(&answer))),
            },
            Err(e) => check::End::NoAnswer(e.to_string()),
        };
        self.tally.lock().ended(kind, end);
    }
}

fn decode(answer: &client::Response) -> serde_json::Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn is_order(answer: &client::Response, key: &str) -> bool {
    answer.status == hyper::StatusCode::CREATED && decode(answer)["key"] == key
}

/// Whether a status is that of the order; each zone's service knows only the orders that it ran.
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
