//! Scenario `orders`: runs for each idempotency key under faults of the store, the service and the
//! nodes.

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

/// Calls with the same key that begin at about the same time.
const CONCURRENT: usize = 3;
/// Later calls with the same key.
const REPEATS: usize = 3;
/// Longest wait for an answer.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(10);
/// Longest random wait before each of the concurrent calls, in milliseconds.
const SPREAD_MS: u64 = 30;
/// Attempts of the baseline for each call.
const BASELINE_TRIES: usize = 3;

/// What is wrong while orders are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// The store loses answers after writes.
    StoreAnswers,
    /// The services lose answers after runs.
    ServiceAnswers,
    /// The store answers slowly.
    StoreSlow,
    /// The store is down at first.
    StoreDown,
    /// A node stops in the middle and starts again.
    NodeStop,
}

/// All kinds of trouble.
pub const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::StoreAnswers,
    Trouble::ServiceAnswers,
    Trouble::StoreSlow,
    Trouble::StoreDown,
    Trouble::NodeStop,
];

/// How one call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    Answered(String),
    NotRun(String),
    Unknown,
    Broken,
}

/// One call.
#[derive(Clone, Debug)]
struct Attempt {
    key: String,
    /// Request id as sent; a node adds a random part.
    id: String,
    end: End,
}

#[derive(Debug, Default)]
struct Attempts(Vec<Attempt>);

impl Ranked for Attempts {
    const RANK: u16 = 320;
    const NAME: &'static str = "measure-attempts";
}

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Idempotency keys.
    pub keys: usize,
    /// Calls.
    pub calls: usize,
    /// Calls that got the service's answer.
    pub answered: usize,
    /// Calls refused with `not-run`.
    pub not_run: usize,
    /// Calls refused with 422 because the key belongs to another request.
    pub different: usize,
    /// Calls that ended with `unknown`.
    pub unknown: usize,
    /// Calls without any answer.
    pub broken: usize,
    /// Keys that ran.
    pub ran: usize,
    /// Runs beyond one for each key.
    pub surplus: u64,
    /// Calls refused with `not-run` that ran.
    pub false_not_run: usize,
    /// Calls that got an answer other than the first one to their key.
    pub false_answers: usize,
    /// Keys whose calls were answered although nothing ran.
    pub unfounded: usize,
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    process::wait(measure(options))
}

async fn measure(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("orders", options.seed);
    let mut totals = [Outcome::default(), Outcome::default()];
    for trouble in TROUBLES {
        options.say(format_args!("{trouble:?}"));
        let ours = send_orders(trouble, 40, options.seed, true).await?;
        let baseline = send_orders(trouble, 40, options.seed, false).await?;
        let name = |what: &str| format!("{trouble:?}: {what}");
        for (what, unit, of) in FIGURES {
            report.figure(&name(what), unit, of(&ours), Some(of(&baseline)));
        }
        for (total, part) in totals.iter_mut().zip([&ours, &baseline]) {
            total.surplus += part.surplus;
            total.false_not_run += part.false_not_run;
            total.false_answers += part.false_answers;
            total.unfounded += part.unfounded;
            total.keys += part.keys;
        }
    }
    let [ours, baseline] = totals;
    let found = format!("{} beyond one over {} keys", ours.surplus, ours.keys);
    report.goal("at most one run for each key", ours.surplus == 0, found);
    let found = ours.false_not_run.to_string();
    report.goal("no not-run for a call that ran", ours.false_not_run == 0, found);
    let wrong = ours.false_answers + ours.unfounded;
    report.goal("later calls get the recorded answer", wrong == 0, format!("{wrong} others"));
    report.remark(format!(
        "40 keys for each kind of trouble; for each key {CONCURRENT} concurrent calls at 3 nodes, \
         one with another body and {REPEATS} later ones; 2 services that take 20 ms; baseline: the \
         same calls directly to the services, sent again up to 3 times; it ran {} keys' orders \
         {} times too often",
        baseline.keys, baseline.surplus
    ));
    report.remark("NodeStop is a stop with drain; a kill of the process is not part of this run");
    report.remark("the machine is shared by several developers during these runs");
    Ok(report)
}

type Of = fn(&Outcome) -> f64;

const FIGURES: [(&str, &str, Of); 8] = [
    ("calls", "calls", |run| run.calls as f64),
    ("answered", "calls", |run| run.answered as f64),
    ("refused not-run", "calls", |run| run.not_run as f64),
    ("refused as another request", "calls", |run| run.different as f64),
    ("ended unknown", "calls", |run| run.unknown as f64),
    ("without an answer", "calls", |run| run.broken as f64),
    ("keys that ran", "keys", |run| run.ran as f64),
    ("runs beyond one", "runs", |run| run.surplus as f64),
];

/// Sends orders with `keys` keys under one kind of trouble, through nodes or without them.
///
/// # Errors
///
/// When the deployment does not run.
pub async fn send_orders(
    trouble: Trouble,
    keys: usize,
    seed: u64,
    is_ours: bool,
) -> Result<Outcome> {
    let mut plan = corneltrestle_local::Plan::zones(&["zone-a"]);
    (plan.zones[0].nodes, plan.zones[0].services) = (3, 2);
    let mut local = traffic::open(&plan, traffic::Groups { replicas: 1, vms: 3 }).await?;
    for (_, service) in &local.services {
        switch(service, "slow", true, Some(20));
    }
    let peers: Vec<net::SocketAddr> = if is_ours {
        local.nodes.values().map(|node| node.callers).collect()
    } else {
        local.services.iter().map(|(_, service)| service.address()).collect()
    };
    begin(&local, trouble, keys as u64);
    let attempts: sync::Arc<table::Table<Attempts>> = sync::Arc::default();
    let mut jobs = tokio::task::JoinSet::new();
    for number in 0..keys {
        let mut rng =
            rand_chacha::ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64);
        let (peers, attempts) = (peers.clone(), sync::Arc::clone(&attempts));
        jobs.spawn(async move {
            let key = format!("key-{number}");
            for attempt in order(&peers, &key, &mut rng, is_ours).await {
                attempts.lock().0.push(attempt);
            }
        });
    }
    if trouble == Trouble::NodeStop && is_ours {
        let name = local.nodes.keys().nth(1).cloned().unwrap_or_default();
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        local.stop_node(&name).await;
        local.start_node(&name)?;
    }
    tokio::time::sleep(time::Duration::from_millis(800)).await;
    if trouble == Trouble::StoreDown {
        switch(&local.store, "down", false, None);
    }
    while jobs.join_next().await.is_some() {}
    // Work that is still under way must not be missed.
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let attempts = std::mem::take(&mut attempts.lock().0);
    let outcome = judge(&local, keys, &attempts);
    local.shutdown().await;
    Ok(outcome)
}

fn switch<A: Api>(server: &server::Handle<A>, fault: &str, is_on: bool, value: Option<u64>) {
    if let Err(e) = server.switch(fault, is_on, value) {
        log::error!("measure: {e}");
    }
}

fn begin(local: &corneltrestle_local::Local, trouble: Trouble, keys: u64) {
    match trouble {
        Trouble::None | Trouble::NodeStop => {}
        Trouble::StoreAnswers => switch(&local.store, "answer-lost", true, Some(keys)),
        Trouble::ServiceAnswers => {
            for (_, service) in &local.services {
                switch(service, "answer-lost", true, Some(keys / 4));
            }
        }
        Trouble::StoreSlow => switch(&local.store, "slow", true, Some(250)),
        Trouble::StoreDown => switch(&local.store, "down", true, None),
    }
}

/// Makes all calls with one key.
async fn order(
    peers: &[net::SocketAddr],
    key: &str,
    rng: &mut rand_chacha::ChaCha8Rng,
    is_ours: bool,
) -> Vec<Attempt> {
    let mut jobs = tokio::task::JoinSet::new();
    for number in 0..=CONCURRENT {
        let wait = time::Duration::from_millis(rng.random_range(0..SPREAD_MS));
        let peer = peers[(number + rng.random_range(0..peers.len())) % peers.len()];
        // The last one has another body.
        let body = if number < CONCURRENT { "{\"item\":1}" } else { "{\"item\":2}" };
        let (key, id) = (key.to_owned(), format!("{key}-{number}"));
        jobs.spawn(async move {
            tokio::time::sleep(wait).await;
            attempt(peer, key, id, body, is_ours).await
        });
    }
    let mut attempts = jobs.join_all().await;
    for number in 0..REPEATS {
        tokio::time::sleep(time::Duration::from_millis(400)).await;
        let peer = peers[rng.random_range(0..peers.len())];
        let id = format!("{key}-repeat-{number}");
        attempts.push(attempt(peer, key.to_owned(), id, "{\"item\":1}", is_ours).await);
    }
    attempts
}

async fn attempt(
    peer: net::SocketAddr,
    key: String,
    id: String,
    body: &'static str,
    is_ours: bool,
) -> Attempt {
    let tries = if is_ours { 1 } else { BASELINE_TRIES };
    let mut end = End::Broken;
    for _ in 0..tries {
        end = send(peer, &key, &id, body, is_ours).await;
        if end != End::Broken {
            break;
        }
    }
    Attempt { key, id, end }
}

async fn send(peer: net::SocketAddr, key: &str, id: &str, body: &str, is_ours: bool) -> End {
    let caller = client::Client::new(peer, traffic::KEY);
    let path = if is_ours { "/desk/orders" } else { "/orders" };
    let headers = [("idempotency-key", key), ("x-request-id", id)];
    let call = caller.call(hyper::Method::POST, path, &headers, body.as_bytes().to_vec());
    let Ok(Ok(answer)) = tokio::time::timeout(CALL_LIMIT, call).await else { return End::Broken };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let outcome = answer.headers.get("corneltrestle-outcome").map(|value| value.as_bytes());
    match outcome {
        Some(b"not-run") => {
            let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            End::NotRun(body["error"]["code"].as_str().unwrap_or_default().to_owned())
        }
        Some(_) => End::Unknown,
        None => End::Answered(text),
    }
}

/// Compares what callers were told with what ran.
fn judge(local: &corneltrestle_local::Local, keys: usize, attempts: &[Attempt]) -> Outcome {
    let mut outcome = Outcome { keys, calls: attempts.len(), ..Outcome::default() };
    let mut runs: collections::BTreeMap<String, u64> = collections::BTreeMap::new();
    let mut ran: collections::BTreeSet<String> = collections::BTreeSet::new();
    for (_, service) in &local.services {
        let orders = service.api().runs();
        for (key, count) in orders.keys {
            *runs.entry(key).or_default() += count;
        }
        // A node adds a random part to a caller's request id after a full stop.
        let ids = orders.requests.into_keys();
        ran.extend(ids.map(|id| id.split('.').next().unwrap_or_default().to_owned()));
    }
    outcome.ran = runs.len();
    outcome.surplus = runs.values().map(|count| count - 1).sum();
    let mut answers: collections::BTreeMap<&str, &str> = collections::BTreeMap::new();
    for attempt in attempts {
        match &attempt.end {
            End::Answered(text) => {
                outcome.answered += 1;
                outcome.unfounded += usize::from(!runs.contains_key(&attempt.key));
                let first = answers.entry(&attempt.key).or_insert(text);
                outcome.false_answers += usize::from(first != text);
            }
            End::NotRun(code) => {
                outcome.not_run += 1;
                outcome.different += usize::from(code == "key-reused");
                outcome.false_not_run += usize::from(ran.contains(&attempt.id));
            }
            End::Unknown => outcome.unknown += 1,
            End::Broken => outcome.broken += 1,
        }
    }
    outcome
}
