//! Traffic on a deployment, and what became of each call.

use std::{collections, net, sync, time};

use corneltrestle_kernel::table::{self, Ranked};
use corneltrestle_local::client;
use corneltrestle_node::{digest, operate, tables};
use corneltrestle_policy::assignment;
use rand::{Rng, SeedableRng};

use crate::scenario::{self, Result};

/// Key of the organisation that sends the traffic.
pub const KEY: &str = "key-of-acme";
/// Tokens of each answer.
pub const TOKENS: usize = 16;
/// Time within which an answer is on time.
pub const DEADLINE: time::Duration = time::Duration::from_secs(5);

/// The replica sets of a note: the same in each zone.
#[derive(Clone, Copy, Debug)]
pub struct Groups {
    /// Replicas in each zone.
    pub replicas: usize,
    /// VMs of each.
    pub vms: usize,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Whole and on time.
    Whole,
    /// Whole after the deadline.
    Late,
    /// Refused with an outcome and a code before any part of the answer.
    Refused(String),
    /// A part of the answer, then an explicit error.
    Ended,
    /// A part of the answer without any word of its end, or no answer at all.
    Cut,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Sample {
    /// What was called.
    pub kind: Kind,
    /// When it was sent, since the start of the traffic.
    pub sent: time::Duration,
    /// Time to the first token of a stream.
    pub first: Option<time::Duration>,
    /// How it ended.
    pub end: End,
}

/// What is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A streamed generation.
    Stream,
    /// A generation in one body.
    Whole,
    /// An order with an idempotency key of its own.
    Order,
}

/// Where a call goes.
#[derive(Clone, Debug)]
pub struct Way {
    /// The address.
    pub peer: net::SocketAddr,
    /// Headers that it needs.
    pub headers: Vec<(&'static str, String)>,
    /// Prefix of the path of orders.
    pub prefix: &'static str,
}

/// The choice of a way for each call.
pub trait Route: Send + Sync + 'static {
    /// The way of the generation number `turn`.
    fn model(&self, turn: usize) -> Option<Way>;
    /// The way of the order number `turn`.
    fn desk(&self, turn: usize) -> Option<Way>;
}

/// Entry nodes in turn, as the platform's load balancer chooses them.
#[derive(Clone, Debug)]
pub struct Entries(pub Vec<net::SocketAddr>);

impl Entries {
    /// All running nodes of a deployment.
    pub fn of(local: &corneltrestle_local::Local) -> Self {
        Self(local.nodes.values().map(|node| node.callers).collect())
    }
}

impl Route for Entries {
    fn model(&self, turn: usize) -> Option<Way> {
        let peer = *self.0.get(turn % self.0.len().max(1))?;
        Some(Way { peer, headers: Vec::new(), prefix: "/desk" })
    }

    fn desk(&self, turn: usize) -> Option<Way> {
        self.model(turn)
    }
}

/// Upstreams of a client that has no entry nodes.
#[derive(Debug, Default)]
pub struct Known {
    /// Replicas whose heads it calls in turn.
    pub replicas: Vec<assignment::Replica>,
    /// Order services that it calls in turn.
    pub desks: Vec<net::SocketAddr>,
}

impl Ranked for Known {
    const RANK: u16 = 300;
    const NAME: &'static str = "measure-known";
}

/// Baseline: round robin over the heads of the replicas and over the services, without retries.
#[derive(Debug, Default)]
pub struct RoundRobin {
    /// What the client knows.
    pub known: table::Table<Known>,
}

impl Route for RoundRobin {
    fn model(&self, turn: usize) -> Option<Way> {
        let known = self.known.lock();
        let replica = known.replicas.get(turn % known.replicas.len().max(1))?;
        let headers =
            vec![("x-replica", replica.id.to_string()), ("x-epoch", replica.epoch.to_string())];
        Some(Way { peer: replica.head()?.address, headers, prefix: "" })
    }

    fn desk(&self, turn: usize) -> Option<Way> {
        let known = self.known.lock();
        let peer = *known.desks.get(turn % known.desks.len().max(1))?;
        Some(Way { peer, headers: Vec::new(), prefix: "" })
    }
}

/// Samples of one run.
#[derive(Debug, Default)]
pub struct Samples(pub Vec<Sample>);

impl Ranked for Samples {
    const RANK: u16 = 310;
    const NAME: &'static str = "measure-samples";
}

/// Calls a second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Generations; every second one is streamed.
    pub models: f64,
    /// Orders.
    pub orders: f64,
}

/// Traffic in progress.
#[derive(Debug)]
pub struct Traffic {
    started: time::Instant,
    samples: sync::Arc<table::Table<Samples>>,
    jobs: Vec<tokio::task::JoinHandle<()>>,
    stop: tokio::sync::watch::Sender<bool>,
}

impl Traffic {
    /// Starts traffic at steady rates with jitter; calls do not wait for each other.
    pub fn start<R: Route>(route: &sync::Arc<R>, rates: Rates, seed: u64) -> Self {
        let (stop, _) = tokio::sync::watch::channel(false);
        let mut traffic = Self {
            started: time::Instant::now(),
            samples: sync::Arc::default(),
            jobs: Vec::new(),
            stop,
        };
        for (kinds, rate, number) in [
            (&[Kind::Stream, Kind::Whole][..], rates.models, 1),
            (&[Kind::Order][..], rates.orders, 2),
        ] {
            if rate > 0.0 {
                let rng = rand_chacha::ChaCha8Rng::seed_from_u64(
                    seed.wrapping_mul(10).wrapping_add(number),
                );
                traffic.launch(sync::Arc::clone(route), kinds, rate, rng);
            }
        }
        traffic
    }

    fn launch<R: Route>(
        &mut self,
        route: sync::Arc<R>,
        kinds: &'static [Kind],
        rate: f64,
        mut rng: rand_chacha::ChaCha8Rng,
    ) {
        let (started, samples) = (self.started, sync::Arc::clone(&self.samples));
        let mut stopped = self.stop.subscribe();
        self.jobs.push(tokio::spawn(async move {
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
                    let sent = started.elapsed();
                    let way = match kind {
                        // Both kinds of generations visit every upstream.
                        Kind::Stream | Kind::Whole => route.model(turn / 2),
                        Kind::Order => route.desk(turn),
                    };
                    let (first, end) = match way {
                        Some(way) => call(kind, &way, tag).await,
                        None => (None, End::Refused("no upstream is known".to_owned())),
                    };
                    samples.lock().0.push(Sample { kind, sent, first, end });
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
        for job in self.jobs {
            let _ = job.await;
        }
        std::mem::take(&mut self.samples.lock().0)
    }
}

/// Makes one call and judges its answer.
pub async fn call(kind: Kind, way: &Way, tag: u64) -> (Option<time::Duration>, End) {
    let started = time::Instant::now();
    let caller = client::Client::new(way.peer, KEY);
    let (deadline, key) = (DEADLINE.as_millis().to_string(), format!("key-{tag:016x}"));
    let id = format!("call-{tag:016x}");
    let mut headers: Vec<(&str, &str)> =
        way.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    headers.extend([("x-deadline-ms", deadline.as_str()), ("x-request-id", id.as_str())]);
    let is_stream = kind == Kind::Stream;
    let (path, body) = match kind {
        Kind::Order => {
            headers.push(("idempotency-key", key.as_str()));
            (format!("{}/orders", way.prefix), format!("{{\"item\":{tag}}}"))
        }
        _ => (
            "/v1/completions".to_owned(),
            format!(
                "{{\"model\":\"small\",\"stream\":{is_stream},\"max_tokens\":{TOKENS},\
                 \"prompt\":\"prompt {tag}\"}}"
            ),
        ),
    };
    let parts = caller.send(hyper::Method::POST, &path, &headers, body.into_bytes());
    let limit = DEADLINE * 2;
    let Ok(Ok(parts)) = tokio::time::timeout(limit, parts).await else { return (None, End::Cut) };
    let (first, end) = match tokio::time::timeout(limit, read(parts, is_stream, started)).await {
        Ok(read) => read,
        Err(_) => (None, End::Cut),
    };
    let is_late = end == End::Whole && started.elapsed() > DEADLINE;
    (first, if is_late { End::Late } else { end })
}

async fn read(
    mut parts: client::StreamedResponse,
    is_stream: bool,
    started: time::Instant,
) -> (Option<time::Duration>, End) {
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
        return (None, End::Refused(format!("{outcome} {code}")));
    }
    let is_whole = !is_stream
        || text.ends_with("data: [DONE]\n\n") && text.matches("data: {").count() == TOKENS;
    let end = match (broken, is_whole) {
        (false, true) => End::Whole,
        _ if text.contains("event: error") => End::Ended,
        _ => End::Cut,
    };
    (first.filter(|_| is_stream), end)
}

/// The note that declares everything of a deployment.
pub fn note(
    plan: &corneltrestle_local::Plan,
    local: &corneltrestle_local::Local,
    groups: Groups,
) -> String {
    let hash = digest::key(KEY);
    let mut note = format!(
        "[note]\nid = first\nbase = 0\n\
         [organisation acme]\nchange = add\nkey-hash = {hash}\nweight = 1\nrate = 100000\n\
         concurrency = 10000\n\
         [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 10s\n"
    );
    for zone in &plan.zones {
        let (name, Groups { replicas, vms }) = (&zone.name, groups);
        note.push_str(&format!(
            "[zone {name}]\nchange = add\nstate = in\n\
             [group chat-{name}]\nchange = add\nservice = chat\nzone = {name}\nvms = {vms}\n\
             replicas = {replicas}\nmodel = small\nversion = 1\nfencing = checked\n\
             cold-limit = {}\n",
            plan.engine.cold
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

/// Opens a deployment, applies its note and waits until all replicas serve.
///
/// # Errors
///
/// When it does not get that far.
pub async fn open(
    plan: &corneltrestle_local::Plan,
    groups: Groups,
) -> Result<corneltrestle_local::Local> {
    let local = corneltrestle_local::Local::open(plan.clone()).await?;
    // A node that is not known yet when a replica forms is no router of its epoch.
    let known = nodes_known(plan, &local);
    within("find peers", time::Duration::from_secs(10), known).await?;
    let accepted = async {
        loop {
            match local.apply(&note(plan, &local, groups)).await {
                Ok(operate::Verdict::Accepted { .. }) => return,
                Ok(operate::Verdict::Rejected { faults }) => {
                    log::error!("measure: the note is not valid: {faults:?}");
                }
                _ => {}
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    };
    within("apply note", time::Duration::from_secs(10), accepted).await?;
    let wanted = groups.replicas * plan.zones.len();
    let formed = until(|| serving(&local).len() == wanted);
    within("form replicas", time::Duration::from_secs(15), formed).await?;
    Ok(local)
}

/// Waits until each node knows all nodes of its zone as alive.
async fn nodes_known(plan: &corneltrestle_local::Plan, local: &corneltrestle_local::Local) {
    let is_known = |(name, node): (&String, &corneltrestle_local::Node)| {
        let host = node.running.host();
        let zone = plan.zones.iter().find(|zone| name.starts_with(&zone.name));
        let (Some(zone), Ok(tables)) = (zone, tables::Tables::of(host)) else { return false };
        let members = tables.members.lock();
        members.known.view(host.now()).live(&zone.name).count() >= zone.nodes
    };
    until(|| local.nodes.iter().all(is_known)).await;
}

/// The replicas that every running node lists as serving, as the first node of each zone knows.
pub fn serving(local: &corneltrestle_local::Local) -> Vec<assignment::Replica> {
    replicas(local)
        .into_values()
        .filter(|replica| replica.phase == assignment::Phase::Serving)
        .collect()
}

/// All assigned replicas by name, at the highest version that a node knows.
pub fn replicas(
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

/// Waits until something holds.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Bounds a step of a scenario.
///
/// # Errors
///
/// When the step takes longer.
pub async fn within<T>(
    step: &'static str,
    limit: time::Duration,
    work: impl Future<Output = T>,
) -> Result<T> {
    let late = |_| scenario::Error::Failed { step, cause: format!("not done within {limit:?}") };
    tokio::time::timeout(limit, work).await.map_err(late)
}

/// The sum of a count over some engines.
pub fn count<'a>(
    local: &corneltrestle_local::Local,
    vms: impl IntoIterator<Item = &'a str>,
    name: &str,
) -> u64 {
    let of = |vm: &str| local.engines.get(vm)?.counts().get(name).copied();
    vms.into_iter().filter_map(of).sum()
}

/// Names of the engine VMs whose name begins like this.
pub fn vms_of(local: &corneltrestle_local::Local, prefix: &str) -> Vec<String> {
    local.engines.keys().filter(|vm| vm.starts_with(prefix)).cloned().collect()
}

/// Fraction of samples that are whole and on time, in percent; 100 without samples.
pub fn whole_percent(samples: &[Sample]) -> f64 {
    let whole = samples.iter().filter(|sample| sample.end == End::Whole).count();
    if samples.is_empty() { 100.0 } else { whole as f64 * 100.0 / samples.len() as f64 }
}

/// The number of samples that ended like this.
pub fn ended(samples: &[Sample], is_wanted: impl Fn(&End) -> bool) -> usize {
    samples.iter().filter(|sample| is_wanted(&sample.end)).count()
}

/// Quantile of the times to the first token in milliseconds.
pub fn first_ms(samples: &[Sample], quantile: f64) -> f64 {
    let mut times: Vec<_> = samples.iter().filter_map(|sample| sample.first).collect();
    times.sort();
    let at = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(at).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

/// The kinds of failures with their numbers, in words.
pub fn failures(samples: &[Sample]) -> String {
    let mut counts: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.end != End::Whole) {
        *counts.entry(format!("{:?} {:?}", sample.kind, sample.end)).or_default() += 1;
    }
    let words: Vec<_> = counts.iter().map(|(kind, count)| format!("{count} {kind}")).collect();
    if words.is_empty() { "none".to_owned() } else { words.join(", ") }
}
