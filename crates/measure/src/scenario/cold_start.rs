//! Scenario `cold-start`: many routers send full load to replicas that have just started.
//!
//! A cold engine takes only a few requests at once and doubles that limit as it finishes requests.
//! The scenario counts the requests that arrive above the limit. In the baseline each router starts
//! slowly on its own, without sharing the limit with the other routers.

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
    summary: "requests above the limit of cold replicas, with many routers under full load",
    run,
};

/// Entry nodes of the zone.
const NODES: usize = 6;
/// Finished requests after which an engine takes full load: the sum of its limits 2 to 32.
const WARM_AFTER: u64 = 62;
/// Generations per second, about the capacity of two warm replicas.
const RATES: traffic::Rates = traffic::Rates { generations: 40.0, orders: 0.0 };
/// Longest wait until the engines take full load, and until restarted nodes answer.
const WARM_TIMEOUT: time::Duration = time::Duration::from_secs(25);
/// Longest wait until the engines take full load in the baseline.
const BASELINE_TIMEOUT: time::Duration = time::Duration::from_secs(12);
/// Number of nodes that restart at the same time.
const RESTARTED_NODES: usize = 3;

/// Overloads and duration of one step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Step {
    /// Requests that arrived at an engine above its limit.
    pub overloads: u64,
    /// Time until the step ended.
    pub taken: time::Duration,
}

/// Measured values of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurement {
    /// From the first cold start until the engines take full load.
    pub start: Step,
    /// From the unannounced cold restart of one engine until it takes full load.
    pub restarted: Step,
    /// From the restart of several nodes until each has answered a call completely; zero in the
    /// baseline.
    pub nodes: Step,
    /// Calls that were not complete and on time, in percent; 0 in the baseline, which does not
    /// count them.
    pub failed_percent: f64,
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    process::block_on(measure(options))
}

async fn measure(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("cold-start", options.seed);
    options.print_progress("through the nodes");
    let ours = measure_nodes(options).await?;
    options.print_progress("no listed router is live");
    let orphaned = without_routers(options).await?;
    options.print_progress("baseline: each router alone");
    let baseline = measure_baseline(options).await?;
    let mut figure = |what: &str, ours: &Step, baseline: Option<&Step>| {
        let over = |step: &Step| step.overloads as f64;
        let seconds = |step: &Step| step.taken.as_secs_f64();
        let name = format!("{what}: work above the bound");
        report.figure(&name, "calls", over(ours), baseline.map(over));
        report.figure(&format!("{what}: time"), "s", seconds(ours), baseline.map(seconds));
    };
    figure("cold start to full work", &ours.start, Some(&baseline.start));
    figure("cold restart to full work", &ours.restarted, Some(&baseline.restarted));
    figure("nodes restart, warm replicas", &ours.nodes, None);
    figure("no listed router lives", &orphaned, None);
    report.figure("not whole and on time", "%", ours.failed_percent, None);
    let total =
        ours.start.overloads + ours.restarted.overloads + ours.nodes.overloads + orphaned.overloads;
    report.goal("no work above the bound of a cold engine", total == 0, total.to_string());
    report.remark(format!(
        "one zone, {NODES} nodes, 2 replicas of 3 VMs, cold limit 2, {} generations per second, all \
         from the start; {RESTARTED_NODES} nodes restart at the same time; baseline: {NODES} routers, each \
         with a concurrency limit of its own that starts at one; a time of 12 s means that full load \
         was not reached",
        RATES.generations
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
        // Together as many requests as the limit from which an upstream counts as warm.
        slots: 16,
        queue: 48,
        ..plan.engine
    };
    plan
}

/// Names of the head VMs of the serving replicas.
fn heads(local: &corneltrestle_local::Local) -> Vec<String> {
    let heads = traffic::serving_replicas(local);
    heads.iter().filter_map(|replica| Some(replica.head()?.id.to_string())).collect()
}

/// Sums the counter `name` over the engines on these VMs.
fn count(local: &corneltrestle_local::Local, heads: &[String], name: &str) -> u64 {
    traffic::engine_count(local, heads.iter().map(String::as_str), name)
}

/// Waits until each of these engines takes full load.
async fn wait_until_warm(local: &corneltrestle_local::Local, heads: &[String]) -> Result<()> {
    let is_warm =
        |head: &String| count(local, std::slice::from_ref(head), "finished") >= WARM_AFTER;
    traffic::with_timeout(
        "warm up",
        WARM_TIMEOUT,
        traffic::wait_until(|| heads.iter().all(is_warm)),
    )
    .await
}

/// Runs one step and measures its duration and the overloads during it and one second after it.
async fn measure_step(
    local: &corneltrestle_local::Local,
    heads: &[String],
    work: impl Future<Output = Result<()>>,
) -> Result<Step> {
    let (before, started) = (count(local, heads, "overload"), time::Instant::now());
    work.await?;
    let taken = started.elapsed();
    // Requests routed on an outdated view still arrive within the maximum age of the view.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    Ok(Step { overloads: count(local, heads, "overload") - before, taken })
}

/// Restarts the engine of a head VM without a warning, so that it is cold again.
fn restart_engine(local: &corneltrestle_local::Local, head: &str) -> Result<()> {
    let Some(engine) = local.engines.get(head) else { return Ok(()) };
    engine
        .switch("cold-again", true, None)
        .map_err(|e| scenario::Error::Failed { step: "restart engine", cause: e.to_string() })
}

/// Measures a cold start, a cold restart of one engine and a restart of nodes, through the entry
/// nodes.
async fn measure_nodes(options: &scenario::Options) -> Result<Measurement> {
    let mut local =
        traffic::open(&plan(NODES, 2), traffic::GroupSize { replicas: 2, vms: 3 }).await?;
    let heads = heads(&local);
    let route = sync::Arc::new(traffic::EntryNodes::of(&local));
    let traffic = traffic::Traffic::start(&route, RATES, options.seed);
    let start = measure_step(&local, &heads, wait_until_warm(&local, &heads)).await?;
    options.print_progress(format_args!("cold start: {start:?}"));
    restart_engine(&local, &heads[0])?;
    let restarted = measure_step(&local, &heads, wait_until_warm(&local, &heads)).await?;
    options.print_progress(format_args!("cold again: {restarted:?}"));
    let samples = traffic.finish().await;
    let failed_percent = 100.0 - traffic::whole_percent(&samples);
    options.print_progress(format_args!("not whole: {}", traffic::describe_failures(&samples)));
    let nodes = restart_nodes(&mut local, &heads, options).await?;
    options.print_progress(format_args!("nodes restart: {nodes:?}"));
    local.shutdown().await;
    Ok(Measurement { start, restarted, nodes, failed_percent })
}

/// Restarts several nodes at the same time while the others serve.
async fn restart_nodes(
    local: &mut corneltrestle_local::Local,
    heads: &[String],
    options: &scenario::Options,
) -> Result<Step> {
    let names: Vec<_> = local.nodes.keys().take(RESTARTED_NODES).cloned().collect();
    let others = local.nodes.iter().filter(|(name, _)| !names.contains(name));
    let route = sync::Arc::new(traffic::EntryNodes(others.map(|(_, node)| node.callers).collect()));
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
    let result = measure_step(local, heads, wait_for_answers(peers)).await;
    traffic.finish().await;
    result
}

/// Waits until each of these nodes has answered a call completely.
async fn wait_for_answers(peers: Vec<std::net::SocketAddr>) -> Result<()> {
    let mut calls = tokio::task::JoinSet::new();
    for peer in peers {
        calls.spawn(async move {
            let target = traffic::Target { peer, headers: Vec::new(), prefix: "" };
            while traffic::call(traffic::Kind::Stream, &target, rand::random()).await.1
                != traffic::Outcome::Whole
            {
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        });
    }
    let all = async { while calls.join_next().await.is_some() {} };
    traffic::with_timeout("answers of restarted nodes", WARM_TIMEOUT, all).await
}

/// Stops every node that is listed as router of a cold replica and sends load through the remaining
/// nodes.
///
/// # Errors
///
/// When the remaining nodes cannot warm the replica up in time.
pub async fn without_routers(options: &scenario::Options) -> Result<Step> {
    let mut local =
        traffic::open(&plan(NODES, 1), traffic::GroupSize { replicas: 1, vms: 3 }).await?;
    let heads = heads(&local);
    let routers = traffic::serving_replicas(&local).remove(0).routers;
    for router in &routers {
        local.stop_node(router.as_str()).await;
    }
    let route = sync::Arc::new(traffic::EntryNodes::of(&local));
    let rates = traffic::Rates { generations: RATES.generations / 2.0, ..RATES };
    let traffic = traffic::Traffic::start(&route, rates, options.seed);
    let result = measure_step(&local, &heads, wait_until_warm(&local, &heads)).await;
    let samples = traffic.finish().await;
    options.print_progress(format_args!(
        "{result:?}; not whole: {}",
        traffic::describe_failures(&samples)
    ));
    local.shutdown().await;
    result
}

/// Slow start of one router of the baseline at one replica: the limit doubles each time as many
/// calls have finished.
#[derive(Debug)]
struct Level {
    /// As many permits as the present limit.
    permits: sync::Arc<Semaphore>,
    /// Calls allowed at once.
    level: u32,
    /// Calls finished since the limit was last raised.
    finished: u32,
}

/// Slow-start levels of all routers, indexed by router and replica.
#[derive(Debug, Default)]
struct Levels(Vec<Level>);

impl Ranked for Levels {
    const RANK: u16 = 330;
    const NAME: &'static str = "measure-levels";
}

impl Level {
    fn cold() -> Self {
        Self { permits: sync::Arc::new(Semaphore::new(1)), level: 1, finished: 0 }
    }

    /// Counts a finished call; a failed one starts over at a limit of one.
    fn record(&mut self, is_whole: bool) {
        if !is_whole {
            *self = Self::cold();
            return;
        }
        self.finished += 1;
        if self.finished >= self.level && self.level < 64 {
            self.permits.add_permits(self.level as usize);
            (self.level, self.finished) = (self.level * 2, 0);
        }
    }
}

/// Baseline: each router starts slowly by its own calls alone, beginning at one at a time.
async fn measure_baseline(options: &scenario::Options) -> Result<Measurement> {
    let local = traffic::open(&plan(2, 2), traffic::GroupSize { replicas: 2, vms: 3 }).await?;
    let heads = heads(&local);
    let route = sync::Arc::new(traffic::RoundRobin::default());
    route.upstreams.lock().replicas = traffic::serving_replicas(&local);
    let levels: sync::Arc<table::Table<Levels>> = sync::Arc::default();
    levels.lock().0 = (0..NODES * heads.len()).map(|_| Level::cold()).collect();
    let job = tokio::spawn(offer_load(sync::Arc::clone(&route), levels, heads.len()));
    // Overloaded engines may never warm up; the step then lasts for the whole time limit.
    let bounded = || async {
        let _ = tokio::time::timeout(BASELINE_TIMEOUT, wait_until_warm(&local, &heads)).await;
        Ok(())
    };
    let start = measure_step(&local, &heads, bounded()).await?;
    restart_engine(&local, &heads[0])?;
    let restarted = measure_step(&local, &heads, bounded()).await?;
    options.print_progress(format_args!("baseline: {start:?}, {restarted:?}"));
    job.abort();
    local.shutdown().await;
    Ok(Measurement { start, restarted, nodes: Step::default(), failed_percent: 0.0 })
}

/// Sends calls at a steady rate; each waits for a permit of its router at its replica.
async fn offer_load(
    route: sync::Arc<traffic::RoundRobin>,
    levels: sync::Arc<table::Table<Levels>>,
    replicas: usize,
) {
    let mut calls = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(time::Duration::from_secs_f64(1.0 / RATES.generations));
    for turn in 0.. {
        ticks.tick().await;
        let at = turn % (NODES * replicas);
        let Some(target) = route.generation_target(at) else { continue };
        let levels = sync::Arc::clone(&levels);
        calls.spawn(async move {
            let permits = sync::Arc::clone(&levels.lock().0[at].permits);
            let Ok(permit) = permits.acquire().await else { return };
            let (_, end) = traffic::call(traffic::Kind::Stream, &target, rand::random()).await;
            levels.lock().0[at]
                .record(matches!(end, traffic::Outcome::Whole | traffic::Outcome::Late));
            drop(permit);
        });
        while calls.try_join_next().is_some() {}
    }
}
