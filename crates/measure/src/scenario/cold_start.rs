//! Scenario `cold-start`: many routers and cold replicas under full load.

use std::{sync, time};

use corneltrestle_kernel::{
    linkme,
    table::{self, Ranked},
};
use corneltrestle_standin::engine;
use tokio::sync::Semaphore;

use super::Result;
use crate::{
    process, report, scenario,
    traffic::{self, Route},
};

#[linkme::distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static COLD_START: scenario::Scenario = scenario::Scenario {
    name: "cold-start",
    summary: "work above what cold replicas bear, with many routers under full load",
    run,
};

/// Entry nodes of the zone.
const NODES: usize = 6;
/// Finished requests after which an engine bears full work: the sum of the levels 2 to 32.
const WARM_AFTER: u64 = 62;
/// Generations a second, about what two warm replicas can do.
const RATES: traffic::Rates = traffic::Rates { models: 40.0, orders: 0.0 };
/// Longest wait for full work.
const LIMIT: time::Duration = time::Duration::from_secs(25);
/// Longest wait for full work of the baseline.
const BASELINE_LIMIT: time::Duration = time::Duration::from_secs(12);
/// Nodes that restart at once.
const RESTARTS: usize = 3;

/// Overloads and time of one step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Step {
    /// Requests that arrived above what the engines bore.
    pub overloads: u64,
    /// Time until the step's end.
    pub taken: time::Duration,
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// From the first cold start to full work.
    pub start: Step,
    /// From a cold restart without warning to full work.
    pub again: Step,
    /// From the restart of several nodes until each has answered whole.
    pub nodes: Step,
    /// Calls that were not whole and on time, in percent.
    pub failed: f64,
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    process::wait(measure(options))
}

async fn measure(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("cold-start", options.seed);
    options.say("corneltrestle");
    let ours = through_nodes(options).await?;
    options.say("no listed router is live");
    let orphaned = without_routers(options).await?;
    options.say("baseline: each router alone");
    let baseline = alone(options).await?;
    let mut figure = |what: &str, ours: &Step, baseline: Option<&Step>| {
        let over = |step: &Step| step.overloads as f64;
        let seconds = |step: &Step| step.taken.as_secs_f64();
        let name = format!("{what}: work above the bound");
        report.figure(&name, "calls", over(ours), baseline.map(over));
        report.figure(&format!("{what}: time"), "s", seconds(ours), baseline.map(seconds));
    };
    figure("cold start to full work", &ours.start, Some(&baseline.start));
    figure("cold restart to full work", &ours.again, Some(&baseline.again));
    figure("nodes restart, warm replicas", &ours.nodes, None);
    figure("no listed router lives", &orphaned, None);
    report.figure("not whole and on time", "%", ours.failed, None);
    let total =
        ours.start.overloads + ours.again.overloads + ours.nodes.overloads + orphaned.overloads;
    report.goal("no work above the bound of a cold engine", total == 0, total.to_string());
    report.remark(format!(
        "one zone, {NODES} nodes, 2 replicas of 3 VMs, cold limit 2, {} generations a second, all \
         from the start; {RESTARTS} nodes restart at once; baseline: {NODES} routers with a level \
         of their own that starts at one, a time of 12 s means that full work was not reached",
        RATES.models
    ));
    report.remark("the machine is shared by several developers during these runs");
    Ok(report)
}

fn plan(nodes: usize, fabrics: usize) -> corneltrestle_local::Plan {
    let mut plan = corneltrestle_local::Plan::zones(&["zone-a"]);
    let zone = &mut plan.zones[0];
    (zone.nodes, zone.fabrics, zone.vms, zone.services) = (nodes, fabrics, 3, 0);
    plan.engine = engine::Config {
        first_token: time::Duration::from_millis(40),
        between_tokens: time::Duration::from_millis(8),
        // In all as many requests as from which an upstream counts as warm.
        slots: 16,
        queue: 48,
        ..plan.engine
    };
    plan
}

/// The heads of the serving replicas.
fn heads(local: &corneltrestle_local::Local) -> Vec<String> {
    let heads = traffic::serving(local);
    heads.iter().filter_map(|replica| Some(replica.head()?.id.to_string())).collect()
}

fn count(local: &corneltrestle_local::Local, heads: &[String], name: &str) -> u64 {
    traffic::count(local, heads.iter().map(String::as_str), name)
}

/// Waits until each of these engines bears full work.
async fn warm(local: &corneltrestle_local::Local, heads: &[String]) -> Result<()> {
    let is_warm =
        |head: &String| count(local, std::slice::from_ref(head), "finished") >= WARM_AFTER;
    traffic::within("warm up", LIMIT, traffic::until(|| heads.iter().all(is_warm))).await
}

/// Measures one step.
async fn step(
    local: &corneltrestle_local::Local,
    heads: &[String],
    work: impl Future<Output = Result<()>>,
) -> Result<Step> {
    let (before, started) = (count(local, heads, "overload"), time::Instant::now());
    work.await?;
    let taken = started.elapsed();
    // Requests that were sent on an old view arrive within the view bound.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    Ok(Step { overloads: count(local, heads, "overload") - before, taken })
}

fn restart(local: &corneltrestle_local::Local, head: &str) -> Result<()> {
    let Some(engine) = local.engines.get(head) else { return Ok(()) };
    engine
        .switch("cold-again", true, None)
        .map_err(|e| scenario::Error::Failed { step: "restart engine", cause: e.to_string() })
}

async fn through_nodes(options: &scenario::Options) -> Result<Outcome> {
    let mut local = traffic::open(&plan(NODES, 2), traffic::Groups { replicas: 2, vms: 3 }).await?;
    let heads = heads(&local);
    let route = sync::Arc::new(traffic::Entries::of(&local));
    let traffic = traffic::Traffic::start(&route, RATES, options.seed);
    let start = step(&local, &heads, warm(&local, &heads)).await?;
    options.say(format_args!("cold start: {start:?}"));
    restart(&local, &heads[0])?;
    let again = step(&local, &heads, warm(&local, &heads)).await?;
    options.say(format_args!("cold again: {again:?}"));
    let samples = traffic.finish().await;
    let failed = 100.0 - traffic::whole_percent(&samples);
    options.say(format_args!("not whole: {}", traffic::failures(&samples)));
    let nodes = restart_nodes(&mut local, &heads, options).await?;
    options.say(format_args!("nodes restart: {nodes:?}"));
    local.shutdown().await;
    Ok(Outcome { start, again, nodes, failed })
}

/// Restarts several nodes at once while the others serve.
async fn restart_nodes(
    local: &mut corneltrestle_local::Local,
    heads: &[String],
    options: &scenario::Options,
) -> Result<Step> {
    let names: Vec<_> = local.nodes.keys().take(RESTARTS).cloned().collect();
    let others = local.nodes.iter().filter(|(name, _)| !names.contains(name));
    let route = sync::Arc::new(traffic::Entries(others.map(|(_, node)| node.callers).collect()));
    let traffic = traffic::Traffic::start(&route, RATES, options.seed.wrapping_add(7));
    let stopped: Vec<_> = names.iter().filter_map(|name| local.nodes.remove(name)).collect();
    let mut stops = tokio::task::JoinSet::new();
    for node in stopped {
        stops.spawn(node.shutdown());
    }
    while stops.join_next().await.is_some() {}
    names.iter().try_for_each(|name| local.start_node(name))?;
    let peers: Vec<_> =
        names.iter().filter_map(|name| local.nodes.get(name)).map(|node| node.callers).collect();
    let result = step(local, heads, answered(peers)).await;
    traffic.finish().await;
    result
}

/// Waits until each of these nodes has answered a call whole.
async fn answered(peers: Vec<std::net::SocketAddr>) -> Result<()> {
    let mut calls = tokio::task::JoinSet::new();
    for peer in peers {
        calls.spawn(async move {
            let way = traffic::Way { peer, headers: Vec::new(), prefix: "" };
            while traffic::call(traffic::Kind::Stream, &way, rand::random()).await.1
                != traffic::End::Whole
            {
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        });
    }
    let all = async { while calls.join_next().await.is_some() {} };
    traffic::within("answers of restarted nodes", LIMIT, all).await
}

/// Stops every router that is listed for a cold replica, and calls the nodes that are left.
///
/// # Errors
///
/// When they cannot use the replica.
pub async fn without_routers(options: &scenario::Options) -> Result<Step> {
    let mut local = traffic::open(&plan(NODES, 1), traffic::Groups { replicas: 1, vms: 3 }).await?;
    let heads = heads(&local);
    let routers = traffic::serving(&local).remove(0).routers;
    for router in &routers {
        local.stop_node(router.as_str()).await;
    }
    let route = sync::Arc::new(traffic::Entries::of(&local));
    let rates = traffic::Rates { models: RATES.models / 2.0, ..RATES };
    let traffic = traffic::Traffic::start(&route, rates, options.seed);
    let result = step(&local, &heads, warm(&local, &heads)).await;
    let samples = traffic.finish().await;
    options.say(format_args!("{result:?}; not whole: {}", traffic::failures(&samples)));
    local.shutdown().await;
    result
}

/// The level of one router of the baseline at one replica.
#[derive(Debug)]
struct Level {
    places: sync::Arc<Semaphore>,
    level: u32,
    finished: u32,
}

/// Levels by router and replica.
#[derive(Debug, Default)]
struct Levels(Vec<Level>);

impl Ranked for Levels {
    const RANK: u16 = 330;
    const NAME: &'static str = "measure-levels";
}

impl Level {
    fn cold() -> Self {
        Self { places: sync::Arc::new(Semaphore::new(1)), level: 1, finished: 0 }
    }

    fn ended(&mut self, is_whole: bool) {
        if !is_whole {
            *self = Self::cold();
            return;
        }
        self.finished += 1;
        if self.finished >= self.level && self.level < 64 {
            self.places.add_permits(self.level as usize);
            (self.level, self.finished) = (self.level * 2, 0);
        }
    }
}

/// Baseline: each router starts slowly by what it sees alone, with a floor of one.
async fn alone(options: &scenario::Options) -> Result<Outcome> {
    let local = traffic::open(&plan(2, 2), traffic::Groups { replicas: 2, vms: 3 }).await?;
    let heads = heads(&local);
    let route = sync::Arc::new(traffic::RoundRobin::default());
    route.known.lock().replicas = traffic::serving(&local);
    let levels: sync::Arc<table::Table<Levels>> = sync::Arc::default();
    levels.lock().0 = (0..NODES * heads.len()).map(|_| Level::cold()).collect();
    let job = tokio::spawn(offer(sync::Arc::clone(&route), levels, heads.len()));
    // Overloaded engines may stay cold for good, which counts as the whole limit.
    let bounded = || async {
        let _ = tokio::time::timeout(BASELINE_LIMIT, warm(&local, &heads)).await;
        Ok(())
    };
    let start = step(&local, &heads, bounded()).await?;
    restart(&local, &heads[0])?;
    let again = step(&local, &heads, bounded()).await?;
    options.say(format_args!("baseline: {start:?}, {again:?}"));
    job.abort();
    local.shutdown().await;
    Ok(Outcome { start, again, nodes: Step::default(), failed: 0.0 })
}

/// Offers calls at the steady rate; each waits for a place of its router at its replica.
async fn offer(
    route: sync::Arc<traffic::RoundRobin>,
    levels: sync::Arc<table::Table<Levels>>,
    replicas: usize,
) {
    let mut calls = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(time::Duration::from_secs_f64(1.0 / RATES.models));
    for turn in 0.. {
        ticks.tick().await;
        let at = turn % (NODES * replicas);
        let Some(way) = route.model(at) else { continue };
        let levels = sync::Arc::clone(&levels);
        calls.spawn(async move {
            let places = sync::Arc::clone(&levels.lock().0[at].places);
            let Ok(place) = places.acquire().await else { return };
            let (_, end) = traffic::call(traffic::Kind::Stream, &way, rand::random()).await;
            levels.lock().0[at].ended(matches!(end, traffic::End::Whole | traffic::End::Late));
            drop(place);
        });
        while calls.try_join_next().is_some() {}
    }
}
