//! Scenario `zone-move`: service while a zone is taken out and brought back, and while the VMs of
//! another zone leave.

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

/// The zone that is taken out by a note.
const OUT: &str = "zone-c";
/// The zone whose VMs are announced as leaving.
const LEAVING: &str = "zone-b";
/// Time after which a zone out of service gets no new work.
const GRACE: time::Duration = time::Duration::from_secs(3);
/// Lag of the VM list.
const LAG: time::Duration = time::Duration::from_secs(2);
/// Longest time between two reads of the VM list by a node or by the baseline.
const READ: time::Duration = time::Duration::from_secs(1);
/// Largest part of answers that need not be whole and on time, in percent.
const WHOLE_PERCENT: f64 = 99.9;

/// Finished requests after which an engine bears full work: the sum of the levels 2 to 32.
const WARM_AFTER: u64 = 62;
/// Generations a second for each replica of a zone while the engines warm up, half of what the three
/// zones can do.
const WARM_RATE: f64 = 30.0;
/// Longest time to warm up.
const WARM_LIMIT: time::Duration = time::Duration::from_secs(20);

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Replicas of three VMs in each zone.
    pub replicas: usize,
    /// Calls a second.
    pub rates: traffic::Rates,
    /// Time between two steps of the schedule.
    pub step: time::Duration,
    /// Seconds for which the returning zone is watched.
    pub back: u64,
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The calls.
    pub samples: Vec<traffic::Sample>,
    /// Work that reached the zone later than 3 s after it was taken out.
    pub late: u64,
    /// Work that reached leaving VMs later than 3 s after the list showed it.
    pub late_leaving: u64,
    /// Requests above what the returning zone's engines bore.
    pub overloads: u64,
    /// Largest number of requests in a second at the returning zone, relative to its steady part.
    pub jump: f64,
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    process::wait(measure(options))
}

async fn measure(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("zone-move", options.seed);
    for (deployment, replicas) in [("6 VMs a zone", 2), ("9 VMs a zone", 3)] {
        let rate = 12.0 * replicas as f64;
        let rates = traffic::Rates { models: rate, orders: 8.0 };
        let size = Size { replicas, rates, step: time::Duration::from_secs(2), back: 6 };
        options.say(format_args!("{deployment}: corneltrestle and, beside it, the baseline"));
        let (ours, baseline) = tokio::join!(
            move_zones(size, options.seed, true),
            move_zones(size, options.seed, false)
        );
        let (ours, baseline) = (ours?, baseline?);
        add(&mut report, deployment, &ours, &baseline);
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

fn add(report: &mut report::Report, name: &str, ours: &Outcome, baseline: &Outcome) {
    let mut figure = |what: &str, unit, of: &dyn Fn(&Outcome) -> f64| {
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
    figure("time to first token p50", "ms", &|run| traffic::first_ms(&run.samples, 0.5));
    figure("time to first token p99", "ms", &|run| traffic::first_ms(&run.samples, 0.99));
    figure("new work 3 s after the note", "calls", &|run| run.late as f64);
    figure("new work 3 s after VMs leave", "calls", &|run| run.late_leaving as f64);
    figure("streams cut", "streams", &|run| cut(run) as f64);
    figure("work above the bound on the return", "calls", &|run| run.overloads as f64);
    figure("load jump on the return", "x steady", &|run| run.jump);
    let whole = traffic::whole_percent(&ours.samples);
    report.goal(
        &format!("{name}: at least 99.9 % whole answers on time"),
        whole >= WHOLE_PERCENT,
        format!("{whole:.3} %; others: {}", traffic::failures(&ours.samples)),
    );
    let late = ours.late + ours.late_leaving;
    let goal = format!("{name}: no new work later than 3 s after a zone or its VMs leave");
    report.goal(&goal, late == 0, format!("{} and {}", ours.late, ours.late_leaving));
    report.goal(&format!("{name}: no stream cut"), cut(ours) == 0, cut(ours).to_string());
    let goal = format!("{name}: no work above the bound of cold engines on the return");
    report.goal(&goal, ours.overloads == 0, ours.overloads.to_string());
}

fn of_kind(samples: &[traffic::Sample], kind: traffic::Kind) -> Vec<traffic::Sample> {
    samples.iter().filter(|sample| sample.kind == kind).cloned().collect()
}

/// Streams that began and ended without any word of it.
pub fn cut(run: &Outcome) -> usize {
    let is_cut = |s: &&traffic::Sample| {
        s.kind == traffic::Kind::Stream && matches!(s.end, traffic::End::Cut | traffic::End::Ended)
    };
    run.samples.iter().filter(is_cut).count()
}

/// Runs the schedule once, with entry nodes or with the baseline's client.
///
/// # Errors
///
/// When the deployment does not run.
pub async fn move_zones(size: Size, seed: u64, is_ours: bool) -> Result<Outcome> {
    let groups = traffic::Groups { replicas: size.replicas, vms: 3 };
    let mut plan = corneltrestle_local::Plan::zones(&["zone-a", LEAVING, OUT]);
    plan.list_lag = LAG;
    plan.engine = engine::Config {
        first_token: time::Duration::from_millis(40),
        between_tokens: time::Duration::from_millis(10),
        ..plan.engine
    };
    for zone in &mut plan.zones {
        (zone.fabrics, zone.vms) = (size.replicas, 3);
    }
    let mut local = traffic::open(&plan, groups).await?;
    // The baseline alone would not get cold engines warm.
    let route = sync::Arc::new(traffic::Entries::of(&local));
    warm(&local, &route, size, seed).await?;
    let outcome = if is_ours {
        schedule(&mut local, &route, size, seed, true).await
    } else {
        let route = sync::Arc::new(traffic::RoundRobin::default());
        learn(&local, &route, &[]);
        schedule(&mut local, &route, size, seed, false).await
    };
    local.shutdown().await;
    outcome
}

/// Warms all engines up with traffic that is not counted, as those of a deployment in use are.
async fn warm(
    local: &corneltrestle_local::Local,
    route: &sync::Arc<traffic::Entries>,
    size: Size,
    seed: u64,
) -> Result<()> {
    let models = size.rates.models.max(WARM_RATE * size.replicas as f64);
    let rates = traffic::Rates { models, orders: 0.0 };
    let traffic = traffic::Traffic::start(route, rates, seed.wrapping_add(1_000));
    let heads: Vec<_> = traffic::serving(local)
        .iter()
        .filter_map(|replica| Some(replica.head()?.id.to_string()))
        .collect();
    let is_warm = |head: &String| traffic::count(local, [head.as_str()], "finished") >= WARM_AFTER;
    let all = traffic::until(|| heads.iter().all(is_warm));
    let warmed = traffic::within("warm up", WARM_LIMIT, all).await;
    traffic.finish().await;
    warmed
}

/// Lets the baseline's client know the replicas whose head is not listed as leaving.
fn learn(local: &corneltrestle_local::Local, route: &traffic::RoundRobin, leaving: &[&str]) {
    let is_left = |name: &str| leaving.iter().any(|zone| name.starts_with(zone));
    let mut replicas = traffic::serving(local);
    replicas.retain(|replica| replica.head().is_some_and(|head| !is_left(head.id.as_str())));
    let services = local.services.iter().filter(|(zone, _)| !is_left(zone));
    let desks = services.map(|(_, service)| service.address()).collect();
    let mut known = route.known.lock();
    (known.replicas, known.desks) = (replicas, desks);
}

/// What the schedule needs to know of the way in which the traffic learns of changes.
trait Learns: traffic::Route {
    /// Takes over the VM list as it is visible.
    fn update(&self, local: &corneltrestle_local::Local, leaving: &[&str]);
}

impl Learns for traffic::Entries {
    fn update(&self, _: &corneltrestle_local::Local, _: &[&str]) {}
}

impl Learns for traffic::RoundRobin {
    fn update(&self, local: &corneltrestle_local::Local, leaving: &[&str]) {
        learn(local, self, leaving);
    }
}

/// Sleeps while the baseline's client takes over the visible list each second.
async fn pass<R: Learns>(
    local: &corneltrestle_local::Local,
    route: &R,
    span: time::Duration,
    before: &[&str],
    after: &[&str],
) {
    let end = tokio::time::Instant::now() + span;
    let visible = tokio::time::Instant::now() + LAG;
    while tokio::time::Instant::now() < end {
        tokio::time::sleep(READ.min(end - tokio::time::Instant::now())).await;
        let is_visible = tokio::time::Instant::now() >= visible;
        route.update(local, if is_visible { after } else { before });
    }
}

async fn schedule<R: Learns>(
    local: &mut corneltrestle_local::Local,
    route: &sync::Arc<R>,
    size: Size,
    seed: u64,
    is_ours: bool,
) -> Result<Outcome> {
    let (out_vms, leaving_vms) = (traffic::vms_of(local, OUT), traffic::vms_of(local, LEAVING));
    let traffic = traffic::Traffic::start(route, size.rates, seed);
    pass(local, &**route, size.step, &[], &[]).await;
    // The zone is taken out.
    let steady = work(local, &out_vms, OUT);
    pass(local, &**route, size.step, &[], &[]).await;
    let steady = (work(local, &out_vms, OUT) - steady) as f64 / size.step.as_secs_f64();
    if is_ours {
        note(local, "second", 1, "out").await?;
    }
    pass(local, &**route, GRACE, &[], &[OUT]).await;
    let before = work(local, &out_vms, OUT);
    pass(local, &**route, time::Duration::from_secs(2), &[OUT], &[OUT]).await;
    switch(local, &out_vms, true);
    pass(local, &**route, size.step, &[OUT], &[OUT]).await;
    switch(local, &out_vms, false);
    pass(local, &**route, size.step * 2, &[OUT], &[OUT]).await;
    let late = work(local, &out_vms, OUT) - before;
    // The zone returns.
    let overloads = traffic::count(local, out_vms.iter().map(String::as_str), "overload");
    if is_ours {
        note(local, "third", 2, "in").await?;
    }
    let mut jump = 0.0_f64;
    for second in 0..size.back {
        let before = work(local, &out_vms, OUT);
        let visible: &[&str] = if second < LAG.as_secs() { &[OUT] } else { &[] };
        pass(local, &**route, time::Duration::from_secs(1), visible, visible).await;
        jump = jump.max((work(local, &out_vms, OUT) - before) as f64 / steady.max(1.0));
    }
    let overloads =
        traffic::count(local, out_vms.iter().map(String::as_str), "overload") - overloads;
    // The VMs of another zone are announced as leaving.
    set_states(local, &leaving_vms, vm::State::Leaving);
    pass(local, &**route, LAG + READ + GRACE, &[], &[LEAVING]).await;
    let before = generations(local, &leaving_vms);
    pass(local, &**route, size.step, &[LEAVING], &[LEAVING]).await;
    let late_leaving = generations(local, &leaving_vms) - before;
    let samples = traffic.finish().await;
    Ok(Outcome { samples, late, late_leaving, overloads, jump })
}

async fn note(local: &corneltrestle_local::Local, id: &str, base: u64, state: &str) -> Result<()> {
    let text = format!(
        "[note]\nid = {id}\nbase = {base}\n[zone {OUT}]\nchange = change\nstate = {state}\n"
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

/// Stops or starts the engines of some VMs.
fn switch(local: &corneltrestle_local::Local, vms: &[String], is_down: bool) {
    for engine in vms.iter().filter_map(|vm| local.engines.get(vm)) {
        if let Err(e) = engine.switch("crash", is_down, None) {
            log::error!("measure: {e}");
        }
    }
}

fn generations(local: &corneltrestle_local::Local, vms: &[String]) -> u64 {
    traffic::count(local, vms.iter().map(String::as_str), "generate")
}

/// Work that reached the upstreams of a zone.
fn work(local: &corneltrestle_local::Local, vms: &[String], zone: &str) -> u64 {
    let services = local.services.iter().filter(|(of, _)| of == zone);
    let orders: u64 = services.map(|(_, service)| service.api().runs().total).sum();
    generations(local, vms) + orders
}
