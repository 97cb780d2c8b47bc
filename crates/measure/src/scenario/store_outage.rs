//! Scenario `store-outage`: service while the store is down, slow or loses answers, and when it
//! recovers.
//!
//! The same load runs without an outage, during each outage and after it.

mod load;

use std::{collections, net, time};

use corneltrestle_kernel::linkme::{self, distributed_slice};
use corneltrestle_node::{digest, operate};

use super::Result;
use crate::{process, report, scenario};

#[distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static STORE_OUTAGE: scenario::Scenario = scenario::Scenario {
    name: "store-outage",
    summary: "service while the store is down, slow or loses answers, compared with no outage",
    run: |options| run(options, &Sizes::default()),
};

/// API key of the clients.
const API_KEY: &str = "key-of-acme";
/// Longest time of a call that counts as on time; a model request without load takes about 60 ms.
const ON_TIME_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Goal for the calls per node that are in flight at the store after an outage.
const MAX_IN_FLIGHT: u64 = 8;

/// Number of the first order that is sent before the measurement.
const FIRST_WARM_UP_ORDER: u64 = 1_000_000;

/// Durations of the phases.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Time without an outage, which is the baseline.
    pub baseline: time::Duration,
    /// Time of each outage.
    pub outage: time::Duration,
    /// Time after each outage.
    pub recovery: time::Duration,
}

impl Default for Sizes {
    fn default() -> Self {
        let seconds = time::Duration::from_secs;
        Self { baseline: seconds(5), outage: seconds(7), recovery: seconds(5) }
    }
}

/// An outage: a fault of the stand-in store and its value.
struct Outage {
    name: &'static str,
    fault: &'static str,
    value: u64,
}

const OUTAGES: [Outage; 4] = [
    Outage { name: "status 503", fault: "down", value: 503 },
    Outage { name: "port closed", fault: "down", value: 0 },
    // Longer than the timeout of a store call.
    Outage { name: "slow by 3 s", fault: "slow", value: 3_000 },
    Outage { name: "answers lost", fault: "answer-lost", value: 1_000_000 },
];

/// A phase of the run with its bounds.
struct Phase {
    name: String,
    started: time::Instant,
    ended: time::Instant,
}

/// Calls to the store during one outage and after it.
struct Recovery {
    name: &'static str,
    /// Calls per second during the outage; a closed port receives none.
    during_per_s: f64,
    /// Calls in the first second after the outage.
    calls: u64,
    /// Largest number of calls in flight in that second.
    peak: u64,
}

/// Measured values of a run.
struct Measurement {
    samples: Vec<load::Sample>,
    phases: Vec<Phase>,
    recoveries: Vec<Recovery>,
    /// Store calls per second without an outage.
    baseline_per_s: f64,
    /// How often the order of each idempotency key ran.
    runs: collections::BTreeMap<String, u64>,
    /// Number of nodes.
    nodes: u64,
}

fn failed<E: ToString>(step: &'static str) -> impl Fn(E) -> scenario::Error {
    move |e| scenario::Error::Failed { step, cause: e.to_string() }
}

/// Runs the scenario with the given sizes.
///
/// # Errors
///
/// When the deployment cannot run.
pub fn run(options: &scenario::Options, sizes: &Sizes) -> Result<report::Report> {
    let runtime = process::runtime("m-outage", 4).map_err(failed("runtime"))?;
    let found = runtime.block_on(measure(options, sizes))?;
    let mut report = report::Report::new("store-outage", options.seed);
    fill_report(&mut report, &found);
    Ok(report)
}

async fn measure(options: &scenario::Options, sizes: &Sizes) -> Result<Measurement> {
    let local =
        corneltrestle_local::Local::open(corneltrestle_local::Plan::zones(&["zone-a", "zone-b"]))
            .await?;
    let nodes: Vec<_> = local.nodes.values().map(|node| node.callers).collect();
    wait_until_ready(&local, &nodes).await?;
    let mut found = Measurement {
        samples: Vec::new(),
        phases: Vec::new(),
        recoveries: Vec::new(),
        baseline_per_s: 0.0,
        runs: collections::BTreeMap::new(),
        nodes: nodes.len() as u64,
    };
    let mut load = load::Load::default();
    options.print_progress("store-outage: no outage");
    let calls = store_calls(&local);
    found.phase("none", &mut load, &nodes, sizes.baseline).await;
    found.baseline_per_s = (store_calls(&local) - calls) as f64 / sizes.baseline.as_secs_f64();
    for outage in &OUTAGES {
        options.print_progress(format_args!("store-outage: {}", outage.name));
        let switch = |on| local.store.switch(outage.fault, on, Some(outage.value));
        switch(true).map_err(failed("fault"))?;
        let calls = store_calls(&local);
        found.phase(outage.name, &mut load, &nodes, sizes.outage).await;
        let during_per_s = (store_calls(&local) - calls) as f64 / sizes.outage.as_secs_f64();
        switch(false).map_err(failed("fault"))?;
        local.store.take_peak();
        let calls = store_calls(&local);
        let name = format!("after {}", outage.name);
        let first = time::Duration::from_secs(1).min(sizes.recovery);
        found.phase(&name, &mut load, &nodes, first).await;
        let calls = store_calls(&local) - calls;
        found.recoveries.push(Recovery {
            name: outage.name,
            during_per_s,
            calls,
            peak: local.store.take_peak(),
        });
        load.run(&nodes, sizes.recovery.saturating_sub(first)).await;
        if let Some(last) = found.phases.last_mut() {
            last.ended = time::Instant::now();
        }
    }
    found.samples = load.finish().await;
    for (_, service) in &local.services {
        for (key, runs) in service.api().runs().keys {
            *found.runs.entry(key).or_default() += runs;
        }
    }
    local.shutdown().await;
    Ok(found)
}

/// Applies the release note and waits until all calls through the nodes succeed.
async fn wait_until_ready(
    local: &corneltrestle_local::Local,
    nodes: &[net::SocketAddr],
) -> Result<()> {
    for _ in 0..50 {
        let verdict = local.apply(&release_note(local)).await?;
        if matches!(verdict, operate::Verdict::Accepted { .. }) {
            // The outcomes of these orders are not checked, so their keys must not be used again.
            let mut load = load::Load::new(FIRST_WARM_UP_ORDER);
            load.run(nodes, time::Duration::from_millis(500)).await;
            if load.finish().await.iter().all(|sample| sample.outcome == load::Outcome::Whole) {
                return Ok(());
            }
        }
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
    Err(failed("ready")("the deployment does not answer all calls"))
}

fn release_note(local: &corneltrestle_local::Local) -> String {
    let upstream = |(zone, service): &(String, corneltrestle_standin::service::Handle)| {
        format!("{zone} {}", service.address())
    };
    let upstreams: Vec<_> = local.services.iter().map(upstream).collect();
    let mut note = format!(
        "[note]\nid = first\nbase = 0\n[organisation acme]\nchange = add\nkey-hash = {}\n\
         weight = 1\nrate = 10000\nconcurrency = 1000\n\
         [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 10s\n\
         [service desk]\nchange = add\nkind = plain\nprefix = /desk\nupstreams = {}\n\
         repeatable = GET /stock/*\nrequire-key = yes\ntimeout = 10s\n",
        digest::key(API_KEY),
        upstreams.join(", ")
    );
    for zone in ["zone-a", "zone-b"] {
        note.push_str(&format!(
            "[zone {zone}]\nchange = add\nstate = in\n\
             [group chat-{zone}]\nchange = add\nservice = chat\nzone = {zone}\nvms = 3\n\
             replicas = 2\nmodel = small\nversion = 1\nfencing = checked\n"
        ));
    }
    note
}

/// Calls that the store has received so far; open watches are not calls.
fn store_calls(local: &corneltrestle_local::Local) -> u64 {
    let counts = local.store.counts();
    counts.iter().filter(|(name, _)| *name != "watching").map(|(_, count)| count).sum()
}

impl Measurement {
    /// Runs the load for `time` and records it as a phase.
    async fn phase(
        &mut self,
        name: &str,
        load: &mut load::Load,
        nodes: &[net::SocketAddr],
        time: time::Duration,
    ) {
        let started = time::Instant::now();
        load.run(nodes, time).await;
        self.phases.push(Phase { name: name.to_owned(), started, ended: time::Instant::now() });
    }

    /// Samples of one kind that were sent during a phase.
    fn calls<'a>(
        &'a self,
        phase: &'a Phase,
        kind: load::Kind,
    ) -> impl Iterator<Item = &'a load::Sample> + 'a {
        let within = phase.started..phase.ended;
        self.samples
            .iter()
            .filter(move |sample| sample.kind == kind && within.contains(&sample.sent_at))
    }

    /// Fraction of the calls that were answered completely and on time.
    fn whole_ratio(&self, phase: &Phase, kind: load::Kind) -> f64 {
        let calls = self.calls(phase, kind).count();
        let is_whole = |sample: &&load::Sample| {
            sample.outcome == load::Outcome::Whole && sample.elapsed <= ON_TIME_LIMIT
        };
        self.calls(phase, kind).filter(is_whole).count() as f64 / calls.max(1) as f64
    }

    /// Number of orders that ended in this way.
    fn count_orders(&self, phase: &Phase, outcome: load::Outcome) -> f64 {
        self.calls(phase, load::Kind::Order).filter(|sample| sample.outcome == outcome).count()
            as f64
    }

    /// 99th percentile of the times of model requests.
    fn p99_ms(&self, phase: &Phase) -> f64 {
        let times =
            self.calls(phase, load::Kind::Model).map(|sample| sample.elapsed.as_secs_f64() * 1e3);
        process::quantile(&mut times.collect::<Vec<_>>(), 0.99)
    }

    /// Number of orders that ran although every call with their key was answered `not-run`.
    fn false_not_run(&self) -> usize {
        let mut keys: collections::BTreeMap<&str, bool> = collections::BTreeMap::new();
        for sample in self.samples.iter().filter(|sample| sample.kind == load::Kind::Order) {
            let refused = sample.outcome == load::Outcome::NotRun;
            keys.entry(&sample.key).and_modify(|all| *all &= refused).or_insert(refused);
        }
        keys.iter().filter(|(key, refused)| **refused && self.runs.contains_key(**key)).count()
    }
}

/// Adds all figures, goals and remarks.
fn fill_report(report: &mut report::Report, found: &Measurement) {
    let Some((no_outage, phases)) = found.phases.split_first() else { return };
    for phase in phases {
        let name = &phase.name;
        for (kind, calls) in [
            (load::Kind::Model, "model requests"),
            (load::Kind::Status, "status checks"),
            (load::Kind::Order, "orders"),
        ] {
            let (own, baseline) =
                (found.whole_ratio(phase, kind), found.whole_ratio(no_outage, kind));
            let name = format!("{name}: {calls} whole and on time");
            report.figure(&name, "%", own * 100.0, Some(baseline * 100.0));
        }
        let p99_ms = Some(found.p99_ms(no_outage));
        report.figure(&format!("{name}: model requests p99"), "ms", found.p99_ms(phase), p99_ms);
        for (end, word) in [(load::Outcome::NotRun, "not-run"), (load::Outcome::Unknown, "unknown")]
        {
            let name = format!("{name}: orders answered {word}");
            let baseline = Some(found.count_orders(no_outage, end));
            report.figure(&name, "orders", found.count_orders(phase, end), baseline);
        }
    }
    for recovery in &found.recoveries {
        let name = format!("store calls a second during {}", recovery.name);
        report.figure(&name, "calls/s", recovery.during_per_s, Some(found.baseline_per_s));
        let name = format!("store calls in the second after {}", recovery.name);
        report.figure(&name, "calls", recovery.calls as f64, Some(found.baseline_per_s));
        let name = format!("store calls in flight in the second after {}", recovery.name);
        report.figure(&name, "calls", recovery.peak as f64, None);
    }
    goals(report, found, phases);
    report.remark(
        "The baseline is the same load without an outage, at the start of the run. Each order is \
         sent to two nodes at once, so that a refused order counts twice.",
    );
}

fn goals(report: &mut report::Report, found: &Measurement, phases: &[Phase]) {
    let worst =
        phases.iter().map(|phase| found.whole_ratio(phase, load::Kind::Model)).fold(1.0, f64::min);
    let name = "model requests untouched: all whole and on time in every phase";
    report.goal(name, worst >= 1.0, format!("{:.2} % in the worst phase", worst * 100.0));
    let runs = found.runs.values().copied().max().unwrap_or(0);
    report.goal(
        "no key runs twice",
        runs <= 1,
        format!("at most {runs} runs of {} keys", found.runs.len()),
    );
    let false_not_run = found.false_not_run();
    report.goal(
        "every not-run is true",
        false_not_run == 0,
        format!("{false_not_run} orders ran nevertheless"),
    );
    let (peak, most) = (
        found.recoveries.iter().map(|recovery| recovery.peak).max().unwrap_or(0),
        MAX_IN_FLIGHT * found.nodes,
    );
    let name = format!("no burst on return above {MAX_IN_FLIGHT} calls in flight per node");
    report.goal(&name, peak <= most, format!("at most {peak} of {} nodes", found.nodes));
}
