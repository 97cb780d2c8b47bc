//! Scenario `zone-move`: service while a release note takes a zone out and brings it back, and
//! while the VMs of another zone are announced as leaving.
//!
//! The baseline calls the upstreams directly and learns of changes only from the VM list.

use std::{sync, time};

use corneltrestle_kernel::linkme;
use corneltrestle_node::operate;
use corneltrestle_policy::vm;
use corneltrestle_standin::engine;

use super::Result;
use crate::{process, report, scenario, traffic};

#[linkme::distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static ZONE_MOVE: scenario::Scenario = scenario::Scenario {
    name: "zone-move",
    summary: "service while a zone leaves and returns, and while its VMs are announced as leaving",
    run,
};

/// Zone that a release note takes out.
const REMOVED_ZONE: &str = "zone-c";
/// Zone whose VMs the VM list announces as leaving.
const LEAVING_ZONE: &str = "zone-b";
/// Time after which a zone that was taken out must not get new work.
const GRACE: time::Duration = time::Duration::from_secs(3);
/// Time until a change of a VM is visible in the VM list.
const LIST_LAG: time::Duration = time::Duration::from_secs(2);
/// Longest time between two reads of the VM list by a node or by the baseline.
const LIST_READ_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Goal for the percentage of answers that are complete and on time.
const MIN_WHOLE_PERCENT: f64 = 99.9;

/// Finished requests after which an engine takes full load: the sum of its limits 2 to 32.
const WARM_AFTER: u64 = 62;
/// Generations per second, for each replica of one zone, while the engines warm up; half the
/// capacity of the three zones.
const WARM_RATE_PER_S: f64 = 30.0;
/// Longest wait until the engines are warm.
const WARM_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Size and timing of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Replicas of three VMs in each zone.
    pub replicas: usize,
    /// Calls per second.
    pub rates: traffic::Rates,
    /// Time between two steps of the schedule, where no other time is fixed.
    pub step: time::Duration,
    /// Seconds for which the returning zone is observed.
    pub return_s: u64,
}

/// Measured values of a run.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// All calls of the schedule.
    pub samples: Vec<traffic::Sample>,
    /// Generations and orders that reached the zone later than 3 s after it was taken out.
    pub late: u64,
    /// Generations that reached leaving VMs later than 3 s after the VM list showed them as
    /// leaving.
    pub late_leaving: u64,
    /// Requests above the limit of the engines of the returning zone.
    pub overloads: u64,
    /// Largest number of requests in one second at the returning zone, relative to its mean before
    /// the zone was taken out.
    pub jump: f64,
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    process::block_on(measure(options))
}

async fn measure(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("zone-move", options.seed);
    for (deployment, replicas) in [("6 VMs a zone", 2), ("9 VMs a zone", 3)] {
        let rate = 12.0 * replicas as f64;
        let rates = traffic::Rates { generations: rate, orders: 8.0 };
        let size = Size { replicas, rates, step: time::Duration::from_secs(2), return_s: 6 };
        options.print_progress(format_args!(
            "{deployment}: through the nodes and, at the same time, the baseline"
        ));
        let (ours, baseline) = tokio::join!(
            move_zones(size, options.seed, true),
            move_zones(size, options.seed, false)
        );
        let (ours, baseline) = (ours?, baseline?);
        add_figures(&mut report, deployment, &ours, &baseline);
    }
    report.remark("3 zones, 2 entry nodes a zone, replicas of 3 VMs; VM list 2 s late");
    report.remark(
        "maintenance stops the zone's engines 5 s after it was taken out and starts them empty; \
         the baseline takes the zone's VMs out in the VM list at the same moment",
    );
    report.remark(
        "the baseline is round robin over the heads of the replicas in the assignment whose VMs \
         the list shows as live, read each second, without retries",
    );
    report.remark("the machine is shared by several developers during these runs");
    Ok(report)
}

fn add_figures(
    report: &mut report::Report,
    name: &str,
    ours: &Measurement,
    baseline: &Measurement,
) {
    let mut figure = |what: &str, unit, of: &dyn Fn(&Measurement) -> f64| {
        report.figure(&format!("{name}: {what}"), unit, of(ours), Some(of(baseline)));
    };
    figure("calls", "calls", &|run| run.samples.len() as f64);
    figure("whole answers on time", "%", &|run| traffic::whole_percent(&run.samples));
    for (what, kind) in [
        ("whole and on time, streams", traffic::Kind::Stream),
        ("whole and on time, bodies", traffic::Kind::Whole),
        ("whole and on time, orders", traffic::Kind::Order),
    ] {
        figure(what, "%", &|run| traffic::whole_percent(&of_kind(&run.samples, kind)));
    }
    figure("time to first token p50", "ms", &|run| traffic::first_token_ms(&run.samples, 0.5));
    figure("time to first token p99", "ms", &|run| traffic::first_token_ms(&run.samples, 0.99));
    figure("new work 3 s after the note", "calls", &|run| run.late as f64);
    figure("new work 3 s after VMs leave", "calls", &|run| run.late_leaving as f64);
    figure("streams cut", "streams", &|run| cut_streams(run) as f64);
    figure("work above the bound on the return", "calls", &|run| run.overloads as f64);
    figure("load jump on the return", "x steady", &|run| run.jump);
    let whole = traffic::whole_percent(&ours.samples);
    report.goal(
        &format!("{name}: at least 99.9 % whole answers on time"),
        whole >= MIN_WHOLE_PERCENT,
        format!("{whole:.3} %; others: {}", traffic::describe_failures(&ours.samples)),
    );
    let late = ours.late + ours.late_leaving;
    let goal = format!("{name}: no new work later than 3 s after a zone or its VMs leave");
    report.goal(&goal, late == 0, format!("{} and {}", ours.late, ours.late_leaving));
    report.goal(
        &format!("{name}: no stream cut"),
        cut_streams(ours) == 0,
        cut_streams(ours).to_string(),
    );
    let goal = format!("{name}: no work above the bound of cold engines on the return");
    report.goal(&goal, ours.overloads == 0, ours.overloads.to_string());
}

fn of_kind(samples: &[traffic::Sample], kind: traffic::Kind) -> Vec<traffic::Sample> {
    samples.iter().filter(|sample| sample.kind == kind).cloned().collect()
}

/// Number of streams that ended before they were complete, with or without an error event.
pub fn cut_streams(run: &Measurement) -> usize {
    let is_cut = |s: &&traffic::Sample| {
        s.kind == traffic::Kind::Stream
            && matches!(s.outcome, traffic::Outcome::Cut | traffic::Outcome::Ended)
    };
    run.samples.iter().filter(is_cut).count()
}

/// Runs the schedule once, through the entry nodes or with the client of the baseline.
///
/// # Errors
///
/// When the deployment cannot run or a note is not accepted.
pub async fn move_zones(size: Size, seed: u64, through_nodes: bool) -> Result<Measurement> {
    let groups = traffic::GroupSize { replicas: size.replicas, vms: 3 };
    let mut plan = corneltrestle_local::Plan::zones(&["zone-a", LEAVING_ZONE, REMOVED_ZONE]);
    plan.list_lag = LIST_LAG;
    plan.engine = engine::Config {
        first_token: time::Duration::from_millis(40),
        between_tokens: time::Duration::from_millis(10),
        ..plan.engine
    };
    for zone in &mut plan.zones {
        (zone.fabrics, zone.vms) = (size.replicas, 3);
    }
    let mut local = traffic::open(&plan, groups).await?;
    // The traffic of the baseline alone would not warm the engines up.
    let route = sync::Arc::new(traffic::EntryNodes::of(&local));
    warm_up(&local, &route, size, seed).await?;
    let outcome = if through_nodes {
        run_schedule(&mut local, &route, size, seed, true).await
    } else {
        let route = sync::Arc::new(traffic::RoundRobin::default());
        refresh_upstreams(&local, &route, &[]);
        run_schedule(&mut local, &route, size, seed, false).await
    };
    local.shutdown().await;
    outcome
}

/// Warms all engines up, as in a deployment in use, with traffic that is not counted.
async fn warm_up(
    local: &corneltrestle_local::Local,
    route: &sync::Arc<traffic::EntryNodes>,
    size: Size,
    seed: u64,
) -> Result<()> {
    let generations = size.rates.generations.max(WARM_RATE_PER_S * size.replicas as f64);
    let rates = traffic::Rates { generations, orders: 0.0 };
    let traffic = traffic::Traffic::start(route, rates, seed.wrapping_add(1_000));
    let heads: Vec<_> = traffic::serving_replicas(local)
        .iter()
        .filter_map(|replica| Some(replica.head()?.id.to_string()))
        .collect();
    let is_warm =
        |head: &String| traffic::engine_count(local, [head.as_str()], "finished") >= WARM_AFTER;
    let all = traffic::wait_until(|| heads.iter().all(is_warm));
    let warmed = traffic::with_timeout("warm up", WARM_TIMEOUT, all).await;
    traffic.finish().await;
    warmed
}

/// Updates the upstreams of the baseline to those that are not in a zone of `leaving`.
fn refresh_upstreams(
    local: &corneltrestle_local::Local,
    route: &traffic::RoundRobin,
    leaving: &[&str],
) {
    let is_leaving = |name: &str| leaving.iter().any(|zone| name.starts_with(zone));
    let mut replicas = traffic::serving_replicas(local);
    replicas.retain(|replica| replica.head().is_some_and(|head| !is_leaving(head.id.as_str())));
    let services = local.services.iter().filter(|(zone, _)| !is_leaving(zone));
    let addresses = services.map(|(_, service)| service.address()).collect();
    let mut known = route.upstreams.lock();
    (known.replicas, known.services) = (replicas, addresses);
}

/// How a route learns of changes of the upstreams. Entry nodes learn of them by themselves.
trait Discovery: traffic::Route {
    /// Applies the visible VM list, in which the zones of `leaving` are leaving.
    fn update(&self, local: &corneltrestle_local::Local, leaving: &[&str]);
}

impl Discovery for traffic::EntryNodes {
    fn update(&self, _: &corneltrestle_local::Local, _: &[&str]) {}
}

impl Discovery for traffic::RoundRobin {
    fn update(&self, local: &corneltrestle_local::Local, leaving: &[&str]) {
        refresh_upstreams(local, self, leaving);
    }
}

/// Waits for `span` while the client of the baseline reads the VM list each second. The list shows
/// `before` as leaving zones until its lag has passed, then `after`.
async fn run_for<R: Discovery>(
    local: &corneltrestle_local::Local,
    route: &R,
    span: time::Duration,
    before: &[&str],
    after: &[&str],
) {
    let end = tokio::time::Instant::now() + span;
    let visible = tokio::time::Instant::now() + LIST_LAG;
    while tokio::time::Instant::now() < end {
        tokio::time::sleep(LIST_READ_INTERVAL.min(end - tokio::time::Instant::now())).await;
        let is_visible = tokio::time::Instant::now() >= visible;
        route.update(local, if is_visible { after } else { before });
    }
}

/// Runs the schedule and counts the work that reaches the two zones.
async fn run_schedule<R: Discovery>(
    local: &mut corneltrestle_local::Local,
    route: &sync::Arc<R>,
    size: Size,
    seed: u64,
    through_nodes: bool,
) -> Result<Measurement> {
    let (out_vms, leaving_vms) = (
        traffic::vms_with_prefix(local, REMOVED_ZONE),
        traffic::vms_with_prefix(local, LEAVING_ZONE),
    );
    let traffic = traffic::Traffic::start(route, size.rates, seed);
    run_for(local, &**route, size.step, &[], &[]).await;
    // The zone is taken out.
    let steady = work_count(local, &out_vms, REMOVED_ZONE);
    run_for(local, &**route, size.step, &[], &[]).await;
    let steady =
        (work_count(local, &out_vms, REMOVED_ZONE) - steady) as f64 / size.step.as_secs_f64();
    if through_nodes {
        apply_note(local, "second", 1, "out").await?;
    }
    run_for(local, &**route, GRACE, &[], &[REMOVED_ZONE]).await;
    let before = work_count(local, &out_vms, REMOVED_ZONE);
    run_for(local, &**route, time::Duration::from_secs(2), &[REMOVED_ZONE], &[REMOVED_ZONE]).await;
    set_engines_down(local, &out_vms, true);
    run_for(local, &**route, size.step, &[REMOVED_ZONE], &[REMOVED_ZONE]).await;
    set_engines_down(local, &out_vms, false);
    run_for(local, &**route, size.step * 2, &[REMOVED_ZONE], &[REMOVED_ZONE]).await;
    let late = work_count(local, &out_vms, REMOVED_ZONE) - before;
    // The zone returns.
    let overloads = traffic::engine_count(local, out_vms.iter().map(String::as_str), "overload");
    if through_nodes {
        apply_note(local, "third", 2, "in").await?;
    }
    let mut jump = 0.0_f64;
    for second in 0..size.return_s {
        let before = work_count(local, &out_vms, REMOVED_ZONE);
        let visible: &[&str] = if second < LIST_LAG.as_secs() { &[REMOVED_ZONE] } else { &[] };
        run_for(local, &**route, time::Duration::from_secs(1), visible, visible).await;
        jump =
            jump.max((work_count(local, &out_vms, REMOVED_ZONE) - before) as f64 / steady.max(1.0));
    }
    let overloads =
        traffic::engine_count(local, out_vms.iter().map(String::as_str), "overload") - overloads;
    // The VMs of another zone are announced as leaving.
    set_states(local, &leaving_vms, vm::State::Leaving);
    run_for(local, &**route, LIST_LAG + LIST_READ_INTERVAL + GRACE, &[], &[LEAVING_ZONE]).await;
    let before = generations(local, &leaving_vms);
    run_for(local, &**route, size.step, &[LEAVING_ZONE], &[LEAVING_ZONE]).await;
    let late_leaving = generations(local, &leaving_vms) - before;
    let samples = traffic.finish().await;
    Ok(Measurement { samples, late, late_leaving, overloads, jump })
}

/// Applies a release note that sets the state of the zone that is taken out.
async fn apply_note(
    local: &corneltrestle_local::Local,
    id: &str,
    base: u64,
    state: &str,
) -> Result<()> {
    let text = format!(
        "[note]\nid = {id}\nbase = {base}\n\
         [zone {REMOVED_ZONE}]\nchange = change\nstate = {state}\n"
    );
    match local.apply(&text).await? {
        operate::Verdict::Accepted { .. } => Ok(()),
        verdict => {
            Err(scenario::Error::Failed { step: "apply note", cause: format!("{verdict:?}") })
        }
    }
}

fn set_states(local: &mut corneltrestle_local::Local, vms: &[String], state: vm::State) {
    vms.iter().for_each(|vm| local.set_state(vm, state));
}

/// Stops the engines on these VMs, or starts them again.
fn set_engines_down(local: &corneltrestle_local::Local, vms: &[String], is_down: bool) {
    for engine in vms.iter().filter_map(|vm| local.engines.get(vm)) {
        if let Err(e) = engine.switch("crash", is_down, None) {
            log::error!("measure: {e}");
        }
    }
}

/// Generations that the engines on these VMs have received.
fn generations(local: &corneltrestle_local::Local, vms: &[String]) -> u64 {
    traffic::engine_count(local, vms.iter().map(String::as_str), "generate")
}

/// Generations and orders that the upstreams of a zone have received.
fn work_count(local: &corneltrestle_local::Local, vms: &[String], zone: &str) -> u64 {
    let services = local.services.iter().filter(|(of, _)| of == zone);
    let orders: u64 = services.map(|(_, service)| service.api().runs().total).sum();
    generations(local, vms) + orders
}
