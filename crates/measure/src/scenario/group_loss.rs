//! Scenario `group-loss`: downtime of a replica after the loss of one VM and of a fabric domain.
//!
//! In the baseline no node repairs replicas; a health check with a fixed period replaces lost VMs.

use std::{collections, sync, time};

use corneltrestle_engine::engine::{self as client, Engine};
use corneltrestle_kernel::linkme;
use corneltrestle_policy::{assignment, id, report};
use corneltrestle_standin::engine;
use rand::{Rng, SeedableRng};

use super::Result;
use crate::{process, report::Report, scenario, traffic};

#[linkme::distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static GROUP_LOSS: scenario::Scenario = scenario::Scenario {
    name: "group-loss",
    summary: "downtime of a replica after the loss of one VM and of a fabric domain",
    run,
};

/// Goal for the time between a loss and the first order of the repair.
const MAX_REPAIR_DELAY: time::Duration = time::Duration::from_secs(2);
/// Longest wait for a replica to serve again.
const REPAIR_TIMEOUT: time::Duration = time::Duration::from_secs(25);
/// Interval at which the state of the deployment is read.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Period of the health check of the baseline.
const CHECK_PERIOD: time::Duration = time::Duration::from_secs(30);
/// Time with traffic, which is not counted, before the first loss.
const WARM_UP: time::Duration = time::Duration::from_secs(4);
/// Calls per second.
const RATES: traffic::Rates = traffic::Rates { generations: 30.0, orders: 0.0 };

/// What is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// A VM of the replica other than the head crashes.
    Vm,
    /// The head VM stops answering.
    Head,
    /// All VMs of a fabric domain crash.
    Fabric,
}

/// The losses of a run.
pub const LOSSES: [Loss; 3] = [Loss::Vm, Loss::Head, Loss::Fabric];

/// Times of the steps of a repair, counted from the loss.
#[derive(Clone, Copy, Debug, Default)]
pub struct Repair {
    /// When the last generation arrived at the broken replica.
    pub last_work: time::Duration,
    /// When the first order to an engine was sent.
    pub first_order: time::Duration,
    /// When the replica served again.
    pub serving: time::Duration,
}

fn run(options: &scenario::Options) -> Result<Report> {
    process::block_on(measure(options))
}

async fn measure(options: &scenario::Options) -> Result<Report> {
    let mut report = Report::new("group-loss", options.seed);
    let ours = measure_losses(&LOSSES, WARM_UP, options).await?;
    let (baseline, replaced) = measure_baseline(options).await?;
    for (loss, repair, samples) in &ours {
        let beside = replaced.get(loss_name(*loss)).map(time::Duration::as_secs_f64);
        let name = |what: &str| format!("{}: {what}", loss_name(*loss));
        report.figure(&name("last work sent to it"), "s", repair.last_work.as_secs_f64(), None);
        report.figure(&name("first order"), "s", repair.first_order.as_secs_f64(), beside);
        report.figure(&name("serves again"), "s", repair.serving.as_secs_f64(), beside);
        report.figure(&name("calls"), "calls", samples.len() as f64, None);
        let failed = traffic::count_outcomes(samples, |end| *end != traffic::Outcome::Whole);
        report.figure(&name("failed or late"), "calls", failed as f64, None);
        report.goal(
            &name("repair starts within 2 s"),
            repair.first_order <= MAX_REPAIR_DELAY,
            format!("{:.2} s", repair.first_order.as_secs_f64()),
        );
    }
    let samples: Vec<_> = ours.iter().flat_map(|(_, _, samples)| samples.clone()).collect();
    let failed = |samples: &[traffic::Sample]| 100.0 - traffic::whole_percent(samples);
    report.figure("failed or late", "%", failed(&samples), Some(failed(&baseline)));
    let cut = count_cut(&samples);
    report.figure("streams cut without an error", "streams", cut, Some(count_cut(&baseline)));
    report.goal(
        "every stream is whole or ends with an explicit error",
        cut == 0.0,
        format!("{cut} without; all that were not whole: {}", traffic::describe_failures(&samples)),
    );
    report.remark(
        "one zone, 4 fabric domains of 4 VMs, 3 replicas of 3, 2 nodes, loading takes 0.2 s; \
         baseline: round robin over the heads, lost VMs are replaced by the first idle ones in \
         a fixed order at a health check every 30 s, at a phase that the seed determines",
    );
    report.remark("the machine is shared by several developers during these runs");
    Ok(report)
}

/// Name of a loss in the report.
fn loss_name(loss: Loss) -> &'static str {
    match loss {
        Loss::Vm => "one VM dark",
        Loss::Head => "head VM silent",
        Loss::Fabric => "fabric domain dark",
    }
}

/// Number of streams that ended early without an error event.
fn count_cut(samples: &[traffic::Sample]) -> f64 {
    let is_cut = |sample: &&traffic::Sample| {
        sample.kind == traffic::Kind::Stream && sample.outcome == traffic::Outcome::Cut
    };
    samples.iter().filter(is_cut).count() as f64
}

async fn open() -> Result<corneltrestle_local::Local> {
    let mut plan = corneltrestle_local::Plan::zones(&["zone-a"]);
    (plan.zones[0].fabrics, plan.zones[0].vms, plan.zones[0].services) = (4, 4, 0);
    plan.engine = engine::Config {
        first_token: time::Duration::from_millis(40),
        between_tokens: time::Duration::from_millis(10),
        ..plan.engine
    };
    traffic::open(&plan, traffic::GroupSize { replicas: 3, vms: 3 }).await
}

/// Causes losses one after the other under traffic through the nodes and measures each repair.
///
/// # Errors
///
/// When the deployment cannot run, or a replica is not repaired.
pub async fn measure_losses(
    losses: &[Loss],
    warm_up: time::Duration,
    options: &scenario::Options,
) -> Result<Vec<(Loss, Repair, Vec<traffic::Sample>)>> {
    let local = open().await?;
    let route = sync::Arc::new(traffic::EntryNodes::of(&local));
    // This traffic only warms the engines up and is not counted.
    let warm = traffic::Traffic::start(&route, RATES, options.seed.wrapping_add(1_000));
    tokio::time::sleep(warm_up).await;
    warm.finish().await;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(options.seed);
    let mut seen = Vec::new();
    for loss in losses {
        options.print_progress(loss_name(*loss));
        let traffic = traffic::Traffic::start(&route, RATES, options.seed);
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(500..1_000))).await;
        let replicas = traffic::serving_replicas(&local);
        let replica = &replicas[rng.random_range(0..replicas.len())];
        let lost = affected_vms(&local, replica, *loss);
        let repair = measure_repair(&local, replica, &lost, *loss).await?;
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        let samples = traffic.finish().await;
        seen.push((*loss, repair, samples));
        if seen.len() == losses.len() {
            break;
        }
        lost.iter().for_each(|vm| set_fault(&local, vm, *loss, false));
        let settled = traffic::wait_until(|| traffic::serving_replicas(&local).len() == 3);
        traffic::with_timeout("settle", REPAIR_TIMEOUT, settled).await?;
        // Orders to VMs that return must not count as the start of the next repair.
        tokio::time::sleep(time::Duration::from_secs(3)).await;
    }
    local.shutdown().await;
    Ok(seen)
}

/// Names of the VMs that a loss affects.
fn affected_vms(
    local: &corneltrestle_local::Local,
    replica: &assignment::Replica,
    loss: Loss,
) -> Vec<String> {
    match loss {
        Loss::Vm => replica.vms.iter().skip(1).take(1).map(|vm| vm.id.to_string()).collect(),
        Loss::Head => replica.head().map(|vm| vm.id.to_string()).into_iter().collect(),
        Loss::Fabric => traffic::vms_with_prefix(local, &format!("{}-", replica.fabric)),
    }
}

/// Starts or ends the fault of a loss on the engine of a VM.
fn set_fault(local: &corneltrestle_local::Local, vm: &str, loss: Loss, is_on: bool) {
    let fault = if loss == Loss::Head { "pause" } else { "crash" };
    if let Some(Err(e)) = local.engines.get(vm).map(|engine| engine.switch(fault, is_on, None)) {
        log::error!("measure: {e}");
    }
}

/// Causes the loss and measures its repair.
async fn measure_repair(
    local: &corneltrestle_local::Local,
    replica: &assignment::Replica,
    lost: &[String],
    loss: Loss,
) -> Result<Repair> {
    let name = replica.id.to_string();
    let head = replica.head().map(|head| head.id.to_string()).unwrap_or_default();
    let work = || traffic::engine_count(local, [head.as_str()], "generate");
    let orders = || traffic::engine_count(local, local.engines.keys().map(String::as_str), "order");
    let (mut last, first) = (work(), orders());
    let started = time::Instant::now();
    lost.iter().for_each(|vm| set_fault(local, vm, loss, true));
    let mut repair = Repair::default();
    while repair.serving.is_zero() {
        tokio::time::sleep(POLL_INTERVAL).await;
        let taken = started.elapsed();
        if taken > REPAIR_TIMEOUT {
            let cause = format!("{name} does not serve after {taken:?}");
            return Err(scenario::Error::Failed { step: "repair", cause });
        }
        let now = traffic::assigned_replicas(local).remove(&name);
        let is_new = |found: &assignment::Replica| found.epoch > replica.epoch;
        // Generations that reach the same head in its new epoch do not belong to the broken
        // replica.
        if work() != last && !now.as_ref().is_some_and(is_new) {
            (last, repair.last_work) = (work(), taken);
        }
        if repair.first_order.is_zero() && orders() != first {
            repair.first_order = taken;
        }
        if now.is_some_and(|found| is_new(&found) && found.phase == assignment::Phase::Serving) {
            repair.serving = taken;
        }
    }
    Ok(repair)
}

/// Baseline: the same losses, detected and repaired by a health check with a fixed period.
async fn measure_baseline(
    options: &scenario::Options,
) -> Result<(Vec<traffic::Sample>, collections::BTreeMap<&'static str, time::Duration>)> {
    options.print_progress("baseline: a health check every 30 s");
    let mut local = open().await?;
    let route = sync::Arc::new(traffic::RoundRobin::default());
    let replicas = traffic::serving_replicas(&local);
    route.upstreams.lock().replicas.clone_from(&replicas);
    let names: Vec<_> = local.nodes.keys().cloned().collect();
    for name in names {
        local.stop_node(&name).await;
    }
    let warm = traffic::Traffic::start(&route, RATES, options.seed.wrapping_add(1_000));
    tokio::time::sleep(WARM_UP).await;
    warm.finish().await;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(options.seed);
    let traffic = traffic::Traffic::start(&route, RATES, options.seed);
    let check = tokio::time::Instant::now() + CHECK_PERIOD;
    let mut lost = Vec::new();
    for (loss, replica) in [Loss::Vm, Loss::Fabric].into_iter().zip(&replicas) {
        let wait = time::Duration::from_millis(
            rng.random_range(1_000..CHECK_PERIOD.as_millis() as u64 / 2),
        );
        tokio::time::sleep(wait).await;
        let vms = affected_vms(&local, replica, loss);
        vms.iter().for_each(|vm| set_fault(&local, vm, loss, true));
        lost.push((loss, time::Instant::now()));
    }
    tokio::time::sleep_until(check).await;
    let replaced = replace_lost(&local, &replicas).await;
    route.upstreams.lock().replicas = replaced;
    let replaced = lost.into_iter().map(|(loss, since)| (loss_name(loss), since.elapsed()));
    let replaced = replaced.collect();
    let samples = traffic.finish().await;
    local.shutdown().await;
    Ok((samples, replaced))
}

/// Replaces each VM that does not report by the first idle one, regardless of its fabric domain,
/// and waits until all are ready.
async fn replace_lost(
    local: &corneltrestle_local::Local,
    replicas: &[assignment::Replica],
) -> Vec<assignment::Replica> {
    let config = client::http::Config::default();
    let timeout = config.timeout;
    let engine = client::http::HttpEngine::open(config);
    let (mut idle, mut present) = (Vec::new(), Vec::new());
    for (vm, handle) in &local.engines {
        let Ok(report) = engine.report(handle.address(), timeout).await else { continue };
        let member = assignment::Member { id: vm.as_str().into(), address: handle.address() };
        if report.replica.is_none() { idle.push(member) } else { present.push(member) }
    }
    idle.reverse();
    let mut replaced = replicas.to_vec();
    for replica in &mut replaced {
        let is_lost = |member: &&mut assignment::Member| !present.contains(member);
        let mut changed = false;
        for member in replica.vms.iter_mut().filter(is_lost) {
            let Some(spare) = idle.pop() else { continue };
            (*member, changed) = (spare, true);
        }
        if changed {
            replica.epoch += 100;
            join(&engine, replica).await;
        }
    }
    let is_ready = |vm: &id::Vm| {
        let engine = local.engines.get(vm.as_str());
        engine.is_some_and(|engine| engine.api().report().phase == report::Phase::Ready)
    };
    let all = || replaced.iter().flat_map(|replica| &replica.vms).all(|vm| is_ready(&vm.id));
    if tokio::time::timeout(time::Duration::from_secs(5), traffic::wait_until(all)).await.is_err() {
        log::error!("measure: the baseline's replicas are not ready");
    }
    replaced
}

/// Orders all VMs of a replica to join it.
async fn join(engine: &client::http::HttpEngine, replica: &assignment::Replica) {
    for (rank, member) in (0..).zip(&replica.vms) {
        let order = client::Order::Join {
            token: u64::MAX,
            replica: &replica.id,
            epoch: replica.epoch,
            rank,
            size: u16::try_from(replica.vms.len()).unwrap_or(u16::MAX),
            model: "small",
            adapter: "",
            version: "1",
        };
        if let Err(e) = engine.order(member.address, &order).await {
            log::error!("measure: {e}");
        }
    }
}
