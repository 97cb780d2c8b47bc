//! `store-outage`: service while the store is down, slow or loses answers, and on its return.

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
    summary: "service while the store is down, slow or loses answers, beside no outage",
    run: |options| run(options, &Sizes::default()),
};

/// The callers' key.
const KEY: &str = "key-of-acme";
/// Longest time of a model request that counts as on time; without load it takes about 60 ms.
const ON_TIME: time::Duration = time::Duration::from_secs(2);
/// Most calls of one node in flight at the store.
const IN_FLIGHT: u64 = 8;

/// First number of the orders that are sent before the measurement.
const READY_KEYS: u64 = 1_000_000;

/// How long each part takes.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Time without an outage, which is the baseline.
    pub calm: time::Duration,
    /// Time of each outage.
    pub outage: time::Duration,
    /// Time after each outage.
    pub after: time::Duration,
}

impl Default for Sizes {
    fn default() -> Self {
        let seconds = time::Duration::from_secs;
        Self { calm: seconds(5), outage: seconds(7), after: seconds(5) }
    }
}

/// An outage: the fault with its value.
struct Outage {
    name: &'static str,
    fault: &'static str,
    value: u64,
}

const OUTAGES: [Outage; 4] = [
    Outage { name: "status 503", fault: "down", value: 503 },
    Outage { name: "port closed", fault: "down", value: 0 },
    // Longer than the time-out of a call.
    Outage { name: "slow by 3 s", fault: "slow", value: 3_000 },
    Outage { name: "answers lost", fault: "answer-lost", value: 1_000_000 },
];

/// A part of the run.
struct Phase {
    name: String,
    begun: time::Instant,
    ended: time::Instant,
}

/// Calls to the store after one outage.
struct Return {
    name: &'static str,
    /// Calls a second during the outage; a closed port receives none.
    during: f64,
    calls: u64,
    peak: u64,
}

struct Found {
    samples: Vec<load::Sample>,
    phases: Vec<Phase>,
    returns: Vec<Return>,
    /// Store calls a second without an outage.
    calm: f64,
    runs: collections::BTreeMap<String, u64>,
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
    fill(&mut report, &found);
    Ok(report)
}

async fn measure(options: &scenario::Options, sizes: &Sizes) -> Result<Found> {
    let local =
        corneltrestle_local::Local::open(corneltrestle_local::Plan::zones(&["zone-a", "zone-b"]))
            .await?;
    let nodes: Vec<_> = local.nodes.values().map(|node| node.callers).collect();
    ready(&local, &nodes).await?;
    let mut found = Found {
        samples: Vec::new(),
        phases: Vec::new(),
        returns: Vec::new(),
        calm: 0.0,
        runs: collections::BTreeMap::new(),
        nodes: nodes.len() as u64,
    };
    let mut load = load::Load::default();
    options.say("store-outage: no outage");
    let calls = store_calls(&local);
    found.phase("none", &mut load, &nodes, sizes.calm).await;
    found.calm = (store_calls(&local) - calls) as f64 / sizes.calm.as_secs_f64();
    for outage in &OUTAGES {
        options.say(format_args!("store-outage: {}", outage.name));
        let switch = |on| local.store.switch(outage.fault, on, Some(outage.value));
        switch(true).map_err(failed("fault"))?;
        let calls = store_calls(&local);
        found.phase(outage.name, &mut load, &nodes, sizes.outage).await;
        let during = (store_calls(&local) - calls) as f64 / sizes.outage.as_secs_f64();
        switch(false).map_err(failed("fault"))?;
        local.store.take_peak();
        let calls = store_calls(&local);
        let name = format!("after {}", outage.name);
        let first = time::Duration::from_secs(1).min(sizes.after);
        found.phase(&name, &mut load, &nodes, first).await;
        let calls = store_calls(&local) - calls;
        found.returns.push(Return {
            name: outage.name,
            during,
            calls,
            peak: local.store.take_peak(),
        });
        load.run(&nodes, sizes.after.saturating_sub(first)).await;
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

/// Applies the note and waits until every node answers a model request.
async fn ready(local: &corneltrestle_local::Local, nodes: &[net::SocketAddr]) -> Result<()> {
    for _ in 0..50 {
        let verdict = local.apply(&note(local)).await?;
        if matches!(verdict, operate::Verdict::Accepted { .. }) {
            // These orders are not judged, so that their keys must not appear again.
            let mut load = load::Load::starting(READY_KEYS);
            load.run(nodes, time::Duration::from_millis(500)).await;
            if load.finish().await.iter().all(|sample| sample.end == load::End::Whole) {
                return Ok(());
            }
        }
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
    Err(failed("ready")("the deployment does not answer all calls"))
}

fn note(local: &corneltrestle_local::Local) -> String {
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
        digest::key(KEY),
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

fn store_calls(local: &corneltrestle_local::Local) -> u64 {
    let counts = local.store.counts();
    counts.iter().filter(|(name, _)| *name != "watching").map(|(_, count)| count).sum()
}

impl Found {
    async fn phase(
        &mut self,
        name: &str,
        load: &mut load::Load,
        nodes: &[net::SocketAddr],
        time: time::Duration,
    ) {
        let begun = time::Instant::now();
        load.run(nodes, time).await;
        self.phases.push(Phase { name: name.to_owned(), begun, ended: time::Instant::now() });
    }

    fn of<'a>(
        &'a self,
        phase: &'a Phase,
        kind: load::Kind,
    ) -> impl Iterator<Item = &'a load::Sample> + 'a {
        let within = phase.begun..phase.ended;
        self.samples
            .iter()
            .filter(move |sample| sample.kind == kind && within.contains(&sample.sent))
    }

    /// Part of the calls that were answered whole and on time.
    fn whole(&self, phase: &Phase, kind: load::Kind) -> f64 {
        let calls = self.of(phase, kind).count();
        let whole =
            |sample: &&load::Sample| sample.end == load::End::Whole && sample.taken <= ON_TIME;
        self.of(phase, kind).filter(whole).count() as f64 / calls.max(1) as f64
    }

    fn ended(&self, phase: &Phase, end: load::End) -> f64 {
        self.of(phase, load::Kind::Order).filter(|sample| sample.end == end).count() as f64
    }

    fn tail(&self, phase: &Phase) -> f64 {
        let times =
            self.of(phase, load::Kind::Model).map(|sample| sample.taken.as_secs_f64() * 1e3);
        process::quantile(&mut times.collect::<Vec<_>>(), 0.99)
    }

    /// Orders that ran although every call with their key was answered `not-run`.
    fn untrue(&self) -> usize {
        let mut keys: collections::BTreeMap<&str, bool> = collections::BTreeMap::new();
        for sample in self.samples.iter().filter(|sample| sample.kind == load::Kind::Order) {
            let refused = sample.end == load::End::NotRun;
            keys.entry(&sample.key).and_modify(|all| *all &= refused).or_insert(refused);
        }
        keys.iter().filter(|(key, refused)| **refused && self.runs.contains_key(**key)).count()
    }
}

fn fill(report: &mut report::Report, found: &Found) {
    let Some((calm, phases)) = found.phases.split_first() else { return };
    for phase in phases {
        let name = &phase.name;
        for (kind, calls) in [
            (load::Kind::Model, "model requests"),
            (load::Kind::Status, "status checks"),
            (load::Kind::Order, "orders"),
        ] {
            let (own, baseline) = (found.whole(phase, kind), found.whole(calm, kind));
            let name = format!("{name}: {calls} whole and on time");
            report.figure(&name, "%", own * 100.0, Some(baseline * 100.0));
        }
        let tail = Some(found.tail(calm));
        report.figure(&format!("{name}: model requests p99"), "ms", found.tail(phase), tail);
        for (end, word) in [(load::End::NotRun, "not-run"), (load::End::Unknown, "unknown")] {
            let name = format!("{name}: orders answered {word}");
            let baseline = Some(found.ended(calm, end));
            report.figure(&name, "orders", found.ended(phase, end), baseline);
        }
    }
    for back in &found.returns {
        let name = format!("store calls a second during {}", back.name);
        report.figure(&name, "calls/s", back.during, Some(found.calm));
        let name = format!("store calls in the second after {}", back.name);
        report.figure(&name, "calls", back.calls as f64, Some(found.calm));
        let name = format!("store calls in flight in the second after {}", back.name);
        report.figure(&name, "calls", back.peak as f64, None);
    }
    goals(report, found, phases);
    report.remark(
        "The baseline is the same load without an outage, at the begin of the run. Each order is \
         sent to two nodes at once, so that an order that is refused counts twice.",
    );
}

fn goals(report: &mut report::Report, found: &Found, phases: &[Phase]) {
    let worst =
        phases.iter().map(|phase| found.whole(phase, load::Kind::Model)).fold(1.0, f64::min);
    let name = "model requests untouched: all whole and on time in every phase";
    report.goal(name, worst >= 1.0, format!("{:.2} % in the worst phase", worst * 100.0));
    let runs = found.runs.values().copied().max().unwrap_or(0);
    report.goal(
        "no key runs twice",
        runs <= 1,
        format!("at most {runs} runs of {} keys", found.runs.len()),
    );
    let untrue = found.untrue();
    report.goal("every not-run is true", untrue == 0, format!("{untrue} orders ran nevertheless"));
    let (peak, most) =
        (found.returns.iter().map(|back| back.peak).max().unwrap_or(0), IN_FLIGHT * found.nodes);
    let name = format!("no burst on return above {IN_FLIGHT} calls in flight per node");
    report.goal(&name, peak <= most, format!("at most {peak} of {} nodes", found.nodes));
}
