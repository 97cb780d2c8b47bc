//! Open-loop traffic on a deployment, with the outcome and the latency of each call.
//!
//! Calls are sent at a fixed mean rate whether or not earlier ones have ended, so that a slow
//! deployment does not slow the load down.

use std::{collections, net, sync, time};

use corneltrestle_kernel::table::{self, Ranked};
use corneltrestle_local::client;
use corneltrestle_node::{digest, operate, tables};
use corneltrestle_policy::assignment;
use rand::{Rng, SeedableRng};

use crate::scenario::{self, Result};

/// API key of the organisation that sends the traffic.
pub const API_KEY: &str = "key-of-acme";
/// Tokens that each generation asks for; a complete stream has as many events.
pub const MAX_TOKENS: usize = 16;
/// Deadline sent with each call; a complete answer after it counts as [`Outcome::Late`].
pub const DEADLINE: time::Duration = time::Duration::from_secs(5);

/// Size of the serving group that the release note declares in each zone.
#[derive(Clone, Copy, Debug)]
pub struct GroupSize {
    /// Replicas in the zone.
    pub replicas: usize,
    /// VMs of each replica.
    pub vms: usize,
}

/// How a call ended. Reports print the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely before [`DEADLINE`].
    Whole,
    /// Answered completely, but after [`DEADLINE`].
    Late,
    /// Refused before any part of the answer; the text holds the outcome header and the error code.
    Refused(String),
    /// A partial answer followed by an explicit error event.
    Ended,
    /// A partial answer that ends without an error event, or no answer at all.
    Cut,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Kind of the call.
    pub kind: Kind,
    /// Time of sending, counted from the start of the traffic.
    pub sent_at: time::Duration,
    /// Time from sending to the first bytes of a stream; `None` for other kinds and for calls that
    /// were refused or timed out.
    pub first_token: Option<time::Duration>,
    /// How the call ended.
    pub outcome: Outcome,
}

/// Kind of a call. Reports print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A generation whose answer is streamed.
    Stream,
    /// A generation whose answer arrives in one body.
    Whole,
    /// An order with an idempotency key of its own.
    Order,
}

/// Address and request details of the server that a call goes to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the entry node or upstream.
    pub peer: net::SocketAddr,
    /// Headers that the server needs in addition to those of every call.
    pub headers: Vec<(&'static str, String)>,
    /// Path prefix of orders; empty when the order service is called directly.
    pub prefix: &'static str,
}

/// Chooses the target of each call; `None` if no target is known.
pub trait Route: Send + Sync + 'static {
    /// Target of the generation with sequence number `turn`.
    fn generation_target(&self, turn: usize) -> Option<Target>;
    /// Target of the order with sequence number `turn`.
    fn order_target(&self, turn: usize) -> Option<Target>;
}

/// Round robin over entry nodes, as the platform's load balancer does.
#[derive(Clone, Debug)]
pub struct EntryNodes(pub Vec<net::SocketAddr>);

impl EntryNodes {
    /// All running nodes of a deployment.
    pub fn of(local: &corneltrestle_local::Local) -> Self {
        Self(local.nodes.values().map(|node| node.callers).collect())
    }
}

impl Route for EntryNodes {
    fn generation_target(&self, turn: usize) -> Option<Target> {
        let peer = *self.0.get(turn % self.0.len().max(1))?;
        Some(Target { peer, headers: Vec::new(), prefix: "/desk" })
    }

    fn order_target(&self, turn: usize) -> Option<Target> {
        self.generation_target(turn)
    }
}

/// Upstreams that a client without entry nodes calls directly.
#[derive(Debug, Default)]
pub struct Upstreams {
    /// Replicas whose head VMs receive the generations.
    pub replicas: Vec<assignment::Replica>,
    /// Addresses of the order services.
    pub services: Vec<net::SocketAddr>,
}

impl Ranked for Upstreams {
    const RANK: u16 = 300;
    const NAME: &'static str = "measure-known";
}

/// Baseline: round robin over the head VMs of the replicas and over the order services, without
/// retries.
#[derive(Debug, Default)]
pub struct RoundRobin {
    /// Upstreams that the client knows at present.
    pub upstreams: table::Table<Upstreams>,
}

impl Route for RoundRobin {
    fn generation_target(&self, turn: usize) -> Option<Target> {
        let known = self.upstreams.lock();
        let replica = known.replicas.get(turn % known.replicas.len().max(1))?;
        let headers =
            vec![("x-replica", replica.id.to_string()), ("x-epoch", replica.epoch.to_string())];
        Some(Target { peer: replica.head()?.address, headers, prefix: "" })
    }

    fn order_target(&self, turn: usize) -> Option<Target> {
        let known = self.upstreams.lock();
        let peer = *known.services.get(turn % known.services.len().max(1))?;
        Some(Target { peer, headers: Vec::new(), prefix: "" })
    }
}

/// Samples of the calls that have ended.
#[derive(Debug, Default)]
pub struct Samples(pub Vec<Sample>);

impl Ranked for Samples {
    const RANK: u16 = 310;
    const NAME: &'static str = "measure-samples";
}

/// Mean rates of calls per second; no calls of a kind whose rate is 0.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Generations, alternating between streamed and whole answers.
    pub generations: f64,
    /// Orders.
    pub orders: f64,
}

/// Running traffic.
#[derive(Debug)]
pub struct Traffic {
    started: time::Instant,
    samples: sync::Arc<table::Table<Samples>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    stop: tokio::sync::watch::Sender<bool>,
}

impl Traffic {
    /// Starts traffic whose intervals vary by half around the mean; calls do not wait for each
    /// other.
    pub fn start<R: Route>(route: &sync::Arc<R>, rates: Rates, seed: u64) -> Self {
        let (stop, _) = tokio::sync::watch::channel(false);
        let mut traffic = Self {
            started: time::Instant::now(),
            samples: sync::Arc::default(),
            tasks: Vec::new(),
            stop,
        };
        for (kinds, rate, number) in [
            (&[Kind::Stream, Kind::Whole][..], rates.generations, 1),
            (&[Kind::Order][..], rates.orders, 2),
        ] {
            if rate > 0.0 {
                let rng = rand_chacha::ChaCha8Rng::seed_from_u64(
                    seed.wrapping_mul(10).wrapping_add(number),
                );
                traffic.spawn_sender(sync::Arc::clone(route), kinds, rate, rng);
            }
        }
        traffic
    }

    fn spawn_sender<R: Route>(
        &mut self,
        route: sync::Arc<R>,
        kinds: &'static [Kind],
        rate: f64,
        mut rng: rand_chacha::ChaCha8Rng,
    ) {
        let (started, samples) = (self.started, sync::Arc::clone(&self.samples));
        let mut stopped = self.stop.subscribe();
        self.tasks.push(tokio::spawn(async move {
            let mut calls = tokio::task::JoinSet::new();
            let mut due = tokio::time::Instant::now();
            for turn in 0.. {
                due += time::Duration::from_secs_f64(rng.random_range(0.5..1.5) / rate);
                tokio::select! {
                    () = tokio::time::sleep_until(due) => {}
                    _ = stopped.changed() => break,
                }
                let kind = kinds[turn % kinds.len()];
                let (route, samples, tag) =
                    (sync::Arc::clone(&route), sync::Arc::clone(&samples), rng.random::<u64>());
                calls.spawn(async move {
                    let sent_at = started.elapsed();
                    let target = match kind {
                        // Halving the number sends both kinds of generations to every upstream.
                        Kind::Stream | Kind::Whole => route.generation_target(turn / 2),
                        Kind::Order => route.order_target(turn),
                    };
                    let (first_token, outcome) = match target {
                        Some(target) => call(kind, &target, tag).await,
                        None => (None, Outcome::Refused("no upstream is known".to_owned())),
                    };
                    samples.lock().0.push(Sample { kind, sent_at, first_token, outcome });
                });
                while calls.try_join_next().is_some() {}
            }
            while calls.join_next().await.is_some() {}
        }));
    }

    /// Time since the start.
    pub fn elapsed(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Stops sending and returns the samples once all calls have ended.
    pub async fn finish(self) -> Vec<Sample> {
        let _ = self.stop.send(true);
        for job in self.tasks {
            let _ = job.await;
        }
        std::mem::take(&mut self.samples.lock().0)
    }
}

/// Makes one call; returns the time to the first bytes of a stream and the outcome.
pub async fn call(kind: Kind, target: &Target, tag: u64) -> (Option<time::Duration>, Outcome) {
    let started = time::Instant::now();
    let caller = client::Client::new(target.peer, API_KEY);
    let (deadline, key) = (DEADLINE.as_millis().to_string(), format!("key-{tag:016x}"));
    let id = format!("call-{tag:016x}");
    let mut headers: Vec<(&str, &str)> =
        target.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    headers.extend([("x-deadline-ms", deadline.as_str()), ("x-request-id", id.as_str())]);
    let is_stream = kind == Kind::Stream;
    let (path, body) = match kind {
        Kind::Order => {
            headers.push(("idempotency-key", key.as_str()));
            (format!("{}/orders", target.prefix), format!("{{\"item\":{tag}}}"))
        }
        _ => (
            "/v1/completions".to_owned(),
            format!(
                "{{\"model\":\"small\",\"stream\":{is_stream},\"max_tokens\":{MAX_TOKENS},\
                 \"prompt\":\"prompt {tag}\"}}"
            ),
        ),
    };
    let parts = caller.send(hyper::Method::POST, &path, &headers, body.into_bytes());
    let limit = DEADLINE * 2;
    let Ok(Ok(parts)) = tokio::time::timeout(limit, parts).await else {
        return (None, Outcome::Cut);
    };
    let (first, end) = match tokio::time::timeout(limit, read(parts, is_stream, started)).await {
        Ok(read) => read,
        Err(_) => (None, Outcome::Cut),
    };
    let is_late = end == Outcome::Whole && started.elapsed() > DEADLINE;
    (first, if is_late { Outcome::Late } else { end })
}

async fn read(
    mut parts: client::StreamedResponse,
    is_stream: bool,
    started: time::Instant,
) -> (Option<time::Duration>, Outcome) {
    let status = parts.status();
    let outcome = parts.headers().get("corneltrestle-outcome").cloned();
    let (mut text, mut first, mut broken) = (String::new(), None, false);
    loop {
        match parts.next().await {
            Ok(Some(bytes)) => {
                first = first.or(Some(started.elapsed()));
                text.push_str(&String::from_utf8_lossy(&bytes));
            }
            Ok(None) => break,
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    if !status.is_success() {
        let outcome = outcome.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("-");
        let code = serde_json::from_str::<serde_json::Value>(&text)
            .ok()
            .and_then(|value| Some(value["error"]["code"].as_str()?.to_owned()));
        let code = code.unwrap_or_else(|| status.as_u16().to_string());
        return (None, Outcome::Refused(format!("{outcome} {code}")));
    }
    let is_whole = !is_stream
        || text.ends_with("data: [DONE]\n\n") && text.matches("data: {").count() == MAX_TOKENS;
    let end = match (broken, is_whole) {
        (false, true) => Outcome::Whole,
        _ if text.contains("event: error") => Outcome::Ended,
        _ => Outcome::Cut,
    };
    (first.filter(|_| is_stream), end)
}

/// The release note that declares the organisation, services, zones and groups of a deployment.
pub fn release_note(
    plan: &corneltrestle_local::Plan,
    local: &corneltrestle_local::Local,
    groups: GroupSize,
) -> String {
    let hash = digest::key(API_KEY);
    let mut note = format!(
        "[note]\nid = first\nbase = 0\n\
         [organisation acme]\nchange = add\nkey-hash = {hash}\nweight = 1\nrate = 100000\n\
         concurrency = 10000\n\
         [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 10s\n"
    );
    for zone in &plan.zones {
        let (name, GroupSize { replicas, vms }) = (&zone.name, groups);
        note.push_str(&format!(
            "[zone {name}]\nchange = add\nstate = in\n\
             [group chat-{name}]\nchange = add\nservice = chat\nzone = {name}\nvms = {vms}\n\
             replicas = {replicas}\nmodel = small\nversion = 1\nfencing = checked\n\
             cold-limit = {}\n",
            plan.engine.cold_limit
        ));
    }
    if !local.services.is_empty() {
        let upstreams: Vec<_> = (local.services.iter())
            .map(|(zone, service)| format!("{zone} {}", service.address()))
            .collect();
        note.push_str(&format!(
            "[service desk]\nchange = add\nkind = plain\nprefix = /desk\nupstreams = {}\n\
             repeatable = GET /stock/*\nrequire-key = yes\ntimeout = 5s\n",
            upstreams.join(", ")
        ));
    }
    note
}

/// Starts a deployment, applies its release note and waits until all replicas serve.
///
/// # Errors
///
/// When a step fails or exceeds its time limit.
pub async fn open(
    plan: &corneltrestle_local::Plan,
    groups: GroupSize,
) -> Result<corneltrestle_local::Local> {
    let local = corneltrestle_local::Local::open(plan.clone()).await?;
    // Only nodes that are known when a replica forms become routers of its epoch.
    let known = wait_for_members(plan, &local);
    with_timeout("find peers", time::Duration::from_secs(10), known).await?;
    let accepted = async {
        loop {
            match local.apply(&release_note(plan, &local, groups)).await {
                Ok(operate::Verdict::Accepted { .. }) => return,
                Ok(operate::Verdict::Rejected { faults }) => {
                    log::error!("measure: the release note is not valid: {faults:?}");
                }
                _ => {}
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    };
    with_timeout("apply note", time::Duration::from_secs(10), accepted).await?;
    let wanted = groups.replicas * plan.zones.len();
    let formed = wait_until(|| serving_replicas(&local).len() == wanted);
    with_timeout("form replicas", time::Duration::from_secs(15), formed).await?;
    Ok(local)
}

/// Waits until each node lists all nodes of its zone as live.
async fn wait_for_members(plan: &corneltrestle_local::Plan, local: &corneltrestle_local::Local) {
    let is_known = |(name, node): (&String, &corneltrestle_local::Node)| {
        let host = node.running.host();
        let zone = plan.zones.iter().find(|zone| name.starts_with(&zone.name));
        let (Some(zone), Ok(tables)) = (zone, tables::Tables::new(host)) else { return false };
        let members = tables.members.lock();
        members.known.view(host.now()).live(&zone.name).count() >= zone.nodes
    };
    wait_until(|| local.nodes.iter().all(is_known)).await;
}

/// The replicas in phase `Serving`, from the newest assignments that any running node knows.
pub fn serving_replicas(local: &corneltrestle_local::Local) -> Vec<assignment::Replica> {
    assigned_replicas(local)
        .into_values()
        .filter(|replica| replica.phase == assignment::Phase::Serving)
        .collect()
}

/// All assigned replicas by identifier, from the newest assignment of each zone that any running
/// node knows.
pub fn assigned_replicas(
    local: &corneltrestle_local::Local,
) -> collections::BTreeMap<String, assignment::Replica> {
    let mut newest: collections::BTreeMap<String, tables::replicas::Stored> =
        collections::BTreeMap::new();
    for node in local.nodes.values() {
        let table = node.running.host().table::<tables::replicas::Replicas>();
        for (zone, stored) in table.lock().zones() {
            let known = newest.entry(zone.to_string()).or_default();
            if stored.version > known.version {
                *known = stored.clone();
            }
        }
    }
    let all = newest.values().flat_map(|stored| stored.assignment.replicas.iter().cloned());
    all.map(|replica| (replica.id.to_string(), replica)).collect()
}

/// Checks a condition every 10 ms until it holds.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Runs a step of a scenario with a time limit.
///
/// # Errors
///
/// When the step exceeds the limit.
pub async fn with_timeout<T>(
    step: &'static str,
    limit: time::Duration,
    work: impl Future<Output = T>,
) -> Result<T> {
    let late = |_| scenario::Error::Failed { step, cause: format!("not done within {limit:?}") };
    tokio::time::timeout(limit, work).await.map_err(late)
}

/// Sums the counter `name` of the stand-in engines on these VMs; VMs without an engine count as 0.
pub fn engine_count<'a>(
    local: &corneltrestle_local::Local,
    vms: impl IntoIterator<Item = &'a str>,
    name: &str,
) -> u64 {
    let counter = |vm: &str| local.engines.get(vm)?.counts().get(name).copied();
    vms.into_iter().filter_map(counter).sum()
}

/// Names of the engine VMs that begin with `prefix`.
pub fn vms_with_prefix(local: &corneltrestle_local::Local, prefix: &str) -> Vec<String> {
    local.engines.keys().filter(|vm| vm.starts_with(prefix)).cloned().collect()
}

/// Percentage of samples with the outcome [`Outcome::Whole`]; 100 without samples.
pub fn whole_percent(samples: &[Sample]) -> f64 {
    let whole = samples.iter().filter(|sample| sample.outcome == Outcome::Whole).count();
    if samples.is_empty() { 100.0 } else { whole as f64 * 100.0 / samples.len() as f64 }
}

/// Number of samples whose outcome satisfies `is_wanted`.
pub fn count_outcomes(samples: &[Sample], is_wanted: impl Fn(&Outcome) -> bool) -> usize {
    samples.iter().filter(|sample| is_wanted(&sample.outcome)).count()
}

/// Quantile, between 0 and 1, of the times to the first token in milliseconds; 0 without any.
pub fn first_token_ms(samples: &[Sample], quantile: f64) -> f64 {
    let mut times: Vec<_> = samples.iter().filter_map(|sample| sample.first_token).collect();
    times.sort();
    let at = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(at).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

/// Lists how many samples of each kind failed in each way, for reports; `none` without failures.
pub fn describe_failures(samples: &[Sample]) -> String {
    let mut counts: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.outcome != Outcome::Whole) {
        *counts.entry(format!("{:?} {:?}", sample.kind, sample.outcome)).or_default() += 1;
    }
    let words: Vec<_> = counts.iter().map(|(kind, count)| format!("{count} {kind}")).collect();
    if words.is_empty() { "none".to_owned() } else { words.join(", ") }
}
