//! Scenario `orders`: how often the order of each idempotency key runs under faults of the store,
//! the services and the nodes, and whether the answers are true.
//!
//! The baseline sends the same calls directly to the services and retries them.

use std::{collections, net, sync, time};

use corneltrestle_kernel::{
    linkme,
    table::{self, Ranked},
};
use corneltrestle_local::client;
use corneltrestle_standin::server::{self, Api};
use rand::{Rng, SeedableRng};

use super::Result;
use crate::{process, report, scenario, traffic};

#[linkme::distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static ORDERS: scenario::Scenario = scenario::Scenario {
    name: "orders",
    summary: "runs for each idempotency key under faults of store, service and nodes",
    run,
};

/// Calls with the same key that start at about the same time.
const CONCURRENT_CALLS: usize = 3;
/// Later calls with the same key, one after the other.
const LATER_CALLS: usize = 3;
/// Time limit of a call, after which it counts as unanswered.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Upper bound of the random delay before each of the concurrent calls, in milliseconds.
const MAX_START_DELAY_MS: u64 = 30;
/// Attempts of the baseline per call; the next one follows if there was no answer.
const BASELINE_ATTEMPTS: usize = 3;

/// The fault while orders are sent. Reports print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The store loses answers after writes.
    StoreAnswers,
    /// The services lose answers after runs.
    ServiceAnswers,
    /// The store answers slowly.
    StoreSlow,
    /// The store is down for the first 0.8 s.
    StoreDown,
    /// A node drains and restarts while orders are in progress.
    NodeStop,
}

/// All faults, in the order of the report.
pub const FAULTS: [Fault; 6] = [
    Fault::None,
    Fault::StoreAnswers,
    Fault::ServiceAnswers,
    Fault::StoreSlow,
    Fault::StoreDown,
    Fault::NodeStop,
];

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// The answer of the service, as text.
    Answered(String),
    /// Refused with the outcome `not-run`; the error code.
    NotRun(String),
    /// Refused with another outcome.
    Unknown,
    /// No answer.
    Broken,
}

/// A call that has ended.
#[derive(Clone, Debug)]
struct Call {
    /// Idempotency key.
    key: String,
    /// Request identifier as sent; a node adds a random part.
    id: String,
    outcome: Outcome,
}

#[derive(Debug, Default)]
struct Calls(Vec<Call>);

impl Ranked for Calls {
    const RANK: u16 = 320;
    const NAME: &'static str = "measure-attempts";
}

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Measurement {
    /// Idempotency keys that were used.
    pub keys: usize,
    /// Calls of all keys.
    pub calls: usize,
    /// Calls that got the answer of the service.
    pub answered: usize,
    /// Calls refused with `not-run`, including those of `key_reused`.
    pub not_run: usize,
    /// Calls refused with 422 because the key belongs to another request.
    pub key_reused: usize,
    /// Calls that ended with `unknown`.
    pub unknown: usize,
    /// Calls without any answer.
    pub broken: usize,
    /// Keys whose order ran at least once.
    pub ran: usize,
    /// Runs beyond the first of each key.
    pub extra_runs: u64,
    /// Calls refused with `not-run` although they ran.
    pub false_not_run: usize,
    /// Calls that got another answer than the first call with their key.
    pub wrong_answers: usize,
    /// Calls that were answered although no order with their key ran.
    pub answered_unrun: usize,
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    process::block_on(measure(options))
}

async fn measure(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("orders", options.seed);
    let mut totals = [Measurement::default(), Measurement::default()];
    for fault in FAULTS {
        options.print_progress(format_args!("{fault:?}"));
        let ours = send_orders(fault, 40, options.seed, true).await?;
        let baseline = send_orders(fault, 40, options.seed, false).await?;
        let name = |what: &str| format!("{fault:?}: {what}");
        for (what, unit, of) in FIGURES {
            report.figure(&name(what), unit, of(&ours), Some(of(&baseline)));
        }
        for (total, part) in totals.iter_mut().zip([&ours, &baseline]) {
            total.extra_runs += part.extra_runs;
            total.false_not_run += part.false_not_run;
            total.wrong_answers += part.wrong_answers;
            total.answered_unrun += part.answered_unrun;
            total.keys += part.keys;
        }
    }
    let [ours, baseline] = totals;
    let found = format!("{} beyond one over {} keys", ours.extra_runs, ours.keys);
    report.goal("at most one run for each key", ours.extra_runs == 0, found);
    let found = ours.false_not_run.to_string();
    report.goal("no not-run for a call that ran", ours.false_not_run == 0, found);
    let wrong = ours.wrong_answers + ours.answered_unrun;
    report.goal("later calls get the recorded answer", wrong == 0, format!("{wrong} others"));
    report.remark(format!(
        "40 keys for each fault; for each key {CONCURRENT_CALLS} concurrent calls at 3 nodes, \
         one with another body and {LATER_CALLS} later ones; 2 services that take 20 ms; baseline: \
         the same calls directly to the services, with up to 3 attempts each; the orders of its \
         {} keys ran {} times too often",
        baseline.keys, baseline.extra_runs
    ));
    report.remark("NodeStop is a stop with drain; a kill of the process is not part of this run");
    report.remark("the machine is shared by several developers during these runs");
    Ok(report)
}

/// Reads one figure from the counts of a run.
type Value = fn(&Measurement) -> f64;

const FIGURES: [(&str, &str, Value); 8] = [
    ("calls", "calls", |run| run.calls as f64),
    ("answered", "calls", |run| run.answered as f64),
    ("refused not-run", "calls", |run| run.not_run as f64),
    ("refused as another request", "calls", |run| run.key_reused as f64),
    ("ended unknown", "calls", |run| run.unknown as f64),
    ("without an answer", "calls", |run| run.broken as f64),
    ("keys that ran", "keys", |run| run.ran as f64),
    ("runs beyond one", "runs", |run| run.extra_runs as f64),
];

/// Sends orders with `keys` keys under a fault, through the nodes or directly to the services, and
/// counts what ran.
///
/// # Errors
///
/// When the deployment cannot run.
pub async fn send_orders(
    fault: Fault,
    keys: usize,
    seed: u64,
    through_nodes: bool,
) -> Result<Measurement> {
    let mut plan = corneltrestle_local::Plan::zones(&["zone-a"]);
    (plan.zones[0].nodes, plan.zones[0].services) = (3, 2);
    let mut local = traffic::open(&plan, traffic::GroupSize { replicas: 1, vms: 3 }).await?;
    for (_, service) in &local.services {
        set_fault(service, "slow", true, Some(20));
    }
    let peers: Vec<net::SocketAddr> = if through_nodes {
        local.nodes.values().map(|node| node.callers).collect()
    } else {
        local.services.iter().map(|(_, service)| service.address()).collect()
    };
    inject_fault(&local, fault, keys as u64);
    let calls: sync::Arc<table::Table<Calls>> = sync::Arc::default();
    let mut jobs = tokio::task::JoinSet::new();
    for number in 0..keys {
        let mut rng =
            rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64);
        let (peers, calls) = (peers.clone(), sync::Arc::clone(&calls));
        jobs.spawn(async move {
            let key = format!("key-{number}");
            for call in send_with_key(&peers, &key, &mut rng, through_nodes).await {
                calls.lock().0.push(call);
            }
        });
    }
    if fault == Fault::NodeStop && through_nodes {
        let name = local.nodes.keys().nth(1).cloned().unwrap_or_default();
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        local.stop_node(&name).await;
        local.start_node(&name)?;
    }
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    if fault == Fault::StoreDown {
        set_fault(&local.store, "down", false, None);
    }
    while jobs.join_next().await.is_some() {}
    // Orders that still run must be counted too.
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let calls = std::mem::take(&mut calls.lock().0);
    let measured = evaluate(&local, keys, &calls);
    local.shutdown().await;
    Ok(measured)
}

/// Starts or ends a fault of a stand-in.
fn set_fault<A: Api>(server: &server::Handle<A>, fault: &str, is_on: bool, value: Option<u64>) {
    if let Err(e) = server.switch(fault, is_on, value) {
        log::error!("measure: {e}");
    }
}

/// Starts a fault of the store or of the services.
fn inject_fault(local: &corneltrestle_local::Local, fault: Fault, keys: u64) {
    match fault {
        Fault::None | Fault::NodeStop => {}
        Fault::StoreAnswers => set_fault(&local.store, "answer-lost", true, Some(keys)),
        Fault::ServiceAnswers => {
            for (_, service) in &local.services {
                set_fault(service, "answer-lost", true, Some(keys / 4));
            }
        }
        Fault::StoreSlow => set_fault(&local.store, "slow", true, Some(250)),
        Fault::StoreDown => set_fault(&local.store, "down", true, None),
    }
}

/// Makes all calls with one key: concurrent ones, one of which has another body, then later ones.
async fn send_with_key(
    peers: &[net::SocketAddr],
    key: &str,
    rng: &mut rand_chacha::ChaCha8Rng,
    through_nodes: bool,
) -> Vec<Call> {
    let mut jobs = tokio::task::JoinSet::new();
    for number in 0..=CONCURRENT_CALLS {
        let wait = time::Duration::from_millis(rng.random_range(0..MAX_START_DELAY_MS));
        let peer = peers[(number + rng.random_range(0..peers.len())) % peers.len()];
        // The last call reuses the key for another body.
        let body = if number < CONCURRENT_CALLS { "{\"item\":1}" } else { "{\"item\":2}" };
        let (key, id) = (key.to_owned(), format!("{key}-{number}"));
        jobs.spawn(async move {
            tokio::time::sleep(wait).await;
            call_with_retries(peer, key, id, body, through_nodes).await
        });
    }
    let mut attempts = jobs.join_all().await;
    for number in 0..LATER_CALLS {
        tokio::time::sleep(time::Duration::from_millis(400)).await;
        let peer = peers[rng.random_range(0..peers.len())];
        let id = format!("{key}-repeat-{number}");
        attempts
            .push(call_with_retries(peer, key.to_owned(), id, "{\"item\":1}", through_nodes).await);
    }
    attempts
}

/// Makes a call; without nodes, repeats it up to [`BASELINE_ATTEMPTS`] times until there is an
/// answer.
async fn call_with_retries(
    peer: net::SocketAddr,
    key: String,
    id: String,
    body: &'static str,
    through_nodes: bool,
) -> Call {
    let attempts = if through_nodes { 1 } else { BASELINE_ATTEMPTS };
    let mut outcome = Outcome::Broken;
    for _ in 0..attempts {
        outcome = send(peer, &key, &id, body, through_nodes).await;
        if outcome != Outcome::Broken {
            break;
        }
    }
    Call { key, id, outcome }
}

/// Sends one request and classifies the answer.
async fn send(
    peer: net::SocketAddr,
    key: &str,
    id: &str,
    body: &str,
    through_nodes: bool,
) -> Outcome {
    let caller = client::Client::new(peer, traffic::API_KEY);
    let path = if through_nodes { "/desk/orders" } else { "/orders" };
    let headers = [("idempotency-key", key), ("x-request-id", id)];
    let call = caller.call(hyper::Method::POST, path, &headers, body.as_bytes().to_vec());
    let Ok(Ok(answer)) = tokio::time::timeout(CALL_TIMEOUT, call).await else {
        return Outcome::Broken;
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let outcome = answer.headers.get("corneltrestle-outcome").map(|value| value.as_bytes());
    match outcome {
        Some(b"not-run") => {
            let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            Outcome::NotRun(body["error"]["code"].as_str().unwrap_or_default().to_owned())
        }
        Some(_) => Outcome::Unknown,
        None => Outcome::Answered(text),
    }
}

/// Compares the answers that the clients got with the orders that ran.
fn evaluate(local: &corneltrestle_local::Local, keys: usize, calls: &[Call]) -> Measurement {
    let mut measured = Measurement { keys, calls: calls.len(), ..Measurement::default() };
    let mut runs: collections::BTreeMap<String, u64> = collections::BTreeMap::new();
    let mut ran: collections::BTreeSet<String> = collections::BTreeSet::new();
    for (_, service) in &local.services {
        let orders = service.api().runs();
        for (key, count) in orders.keys {
            *runs.entry(key).or_default() += count;
        }
        // A node adds a full stop and a random part to the request identifier of the client.
        let ids = orders.requests.into_keys();
        ran.extend(ids.map(|id| id.split('.').next().unwrap_or_default().to_owned()));
    }
    measured.ran = runs.len();
    measured.extra_runs = runs.values().map(|count| count - 1).sum();
    let mut answers: collections::BTreeMap<&str, &str> = collections::BTreeMap::new();
    for call in calls {
        match &call.outcome {
            Outcome::Answered(text) => {
                measured.answered += 1;
                measured.answered_unrun += usize::from(!runs.contains_key(&call.key));
                let first = answers.entry(&call.key).or_insert(text);
                measured.wrong_answers += usize::from(first != text);
            }
            Outcome::NotRun(code) => {
                measured.not_run += 1;
                measured.key_reused += usize::from(code == "key-reused");
                measured.false_not_run += usize::from(ran.contains(&call.id));
            }
            Outcome::Unknown => measured.unknown += 1,
            Outcome::Broken => measured.broken += 1,
        }
    }
    measured
}
