//! Scenario `relay`: latency that a node adds to small requests, and streamed events per second and
//! core.
//!
//! The node and a plain hyper relay in turn forward the same load from a scripted source. Each runs
//! on its own threads, so that the CPU time of each can be told apart.

mod load;
mod plain;
mod source;

use std::time;

use corneltrestle_kernel::linkme::{self, distributed_slice};
use corneltrestle_local as local;
use corneltrestle_node::{digest, operate};
use corneltrestle_policy::vm;
use tokio::runtime;

use super::Result;
use crate::{process, report, scenario};

#[distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static RELAY: scenario::Scenario = scenario::Scenario {
    name: "relay",
    summary: "added latency and events per second and core, compared with a plain hyper relay",
    run: |options| run(options, &Sizes::default()),
};

/// API key of the clients.
const API_KEY: &str = "key-of-acme";
/// Goal: smallest ratio of the events per core of the node to those of the plain relay.
const MIN_RATE_RATIO: f64 = 0.8;
/// Goal: largest latency that the node adds at the 99th percentile, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 1.0;
/// Names of the threads that run the node and the plain relay.
const NODE_THREADS: &str = "m-node";
const PLAIN_THREADS: &str = "m-plain";

/// Amount of load.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Rounds; each measures both relays, one after the other.
    pub rounds: usize,
    /// Duration of each streamed load in a round.
    pub duration: time::Duration,
    /// Small requests per relay in a round.
    pub requests: usize,
    /// Events of each stream of the fast load.
    pub events: u64,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            rounds: 5,
            duration: time::Duration::from_millis(1_500),
            requests: 800,
            events: 2_000,
        }
    }
}

/// The running relays, source and clients.
struct Bench {
    callers: runtime::Runtime,
    // Held because dropping a runtime stops its tasks.
    _source: runtime::Runtime,
    node: runtime::Runtime,
    _plain: runtime::Runtime,
    local: local::Local,
    /// The source, called without a relay.
    direct: load::Peer,
    /// The node and the plain relay, with the names of their threads.
    relays: [(&'static str, load::Peer); 2],
}

/// Measured values of one relay, one per round.
#[derive(Debug, Default)]
struct Rates {
    /// Events per second of CPU time, sent as fast as possible.
    per_core: Vec<f64>,
    /// Events per second of wall time, sent as fast as possible.
    per_s: Vec<f64>,
    /// Events per second of CPU time, from many streams with an event every 5 ms.
    paced_per_core: Vec<f64>,
    /// Latency in addition to that of the source, at the median and at the 99th percentile.
    added_p50_ms: Vec<f64>,
    added_p99_ms: Vec<f64>,
}

fn failed<E: ToString>(step: &'static str) -> impl Fn(E) -> scenario::Error {
    move |e| scenario::Error::Failed { step, cause: e.to_string() }
}

/// Runs the scenario with the given sizes.
///
/// # Errors
///
/// When the relays cannot run or do not answer.
pub fn run(options: &scenario::Options, sizes: &Sizes) -> Result<report::Report> {
    let bench = Bench::open()?;
    let mut broken = 0;
    let mut rates = [Rates::default(), Rates::default()];
    for round in 0..sizes.rounds {
        let mut direct =
            bench.callers.block_on(load::small_requests(bench.direct, sizes.requests))?;
        for ((name, peer), rates) in bench.relays.iter().zip(&mut rates) {
            broken += bench.round(sizes, name, *peer, &mut direct, rates)?;
        }
        options.print_progress(format_args!("relay: round {} of {}", round + 1, sizes.rounds));
    }
    let mut report = report::Report::new("relay", options.seed);
    fill_report(&mut report, &mut rates, broken);
    bench.shutdown();
    Ok(report)
}

impl Bench {
    fn open() -> Result<Self> {
        let runtime = |name| process::runtime(name, 2).map_err(failed("runtime"));
        let (callers, source) = (runtime("m-callers")?, runtime("m-source")?);
        let (node, plain) = (runtime(NODE_THREADS)?, runtime(PLAIN_THREADS)?);
        let upstream = source.block_on(source::bind("source")).map_err(failed("source"))?;
        let baseline = plain.block_on(plain::bind(upstream)).map_err(failed("plain relay"))?;
        let mut plan = local::Plan::zones(&["zone-a"]);
        for zone in &mut plan.zones {
            (zone.nodes, zone.fabrics, zone.vms, zone.services) = (1, 0, 0, 0);
        }
        let mut local = callers.block_on(local::Local::bind(plan))?;
        local.vms.api().set(&[vm::Vm {
            id: "source".into(),
            address: upstream,
            zone: "zone-a".into(),
            fabric: "fabric".into(),
            role: vm::Role::Engine,
            state: vm::State::Live,
            accelerators: 4,
        }]);
        {
            let _entered = node.enter();
            local.start_nodes()?;
        }
        let address = local.nodes.values().next().ok_or(local::Error::NoNode)?.callers;
        let bench = Self {
            direct: load::Peer { address: upstream, lines_per_event: 3 },
            relays: [
                (NODE_THREADS, load::Peer { address, lines_per_event: 2 }),
                (PLAIN_THREADS, load::Peer { address: baseline, lines_per_event: 3 }),
            ],
            callers,
            _source: source,
            node,
            _plain: plain,
            local,
        };
        bench.callers.block_on(bench.ready())?;
        Ok(bench)
    }

    /// Applies the release note and waits until the node serves the model of the source.
    async fn ready(&self) -> Result<()> {
        let note = format!(
            "[note]\nid = first\nbase = 0\n[zone zone-a]\nchange = add\nstate = in\n\
             [organisation acme]\nchange = add\nkey-hash = {}\nweight = 1\nrate = 1000000\n\
             concurrency = 100000\n\
             [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 30s\n\
             [group chat-a]\nchange = add\nservice = chat\nzone = zone-a\nvms = 1\nreplicas = 1\n\
             model = small\nversion = 1\nfencing = checked\ncold-limit = 100000\n",
            digest::key(API_KEY)
        );
        for _ in 0..50 {
            let verdict = self.local.apply(&note).await?;
            if matches!(verdict, operate::Verdict::Accepted { .. })
                && load::small_requests(self.relays[0].1, 1).await.is_ok()
            {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
        Err(failed("ready")("the node does not serve the source's model"))
    }

    /// Runs all loads on one relay; returns the number of incomplete answers.
    fn round(
        &self,
        sizes: &Sizes,
        name: &str,
        peer: load::Peer,
        direct: &mut [f64],
        rates: &mut Rates,
    ) -> Result<u64> {
        let (events, duration) = (sizes.events, sizes.duration);
        let fast = load::Streams { connections: 8, events, pace_us: None, duration };
        let (arrived, core, wall) = self.streams(name, peer, fast)?;
        rates.per_core.push(core);
        rates.per_s.push(wall);
        let mut broken = arrived;
        let events = (duration.as_micros() / 5_000) as u64;
        let slow = load::Streams {
            connections: 100,
            events,
            pace_us: Some(5_000),
            duration: time::Duration::ZERO,
        };
        let (arrived, core, _) = self.streams(name, peer, slow)?;
        rates.paced_per_core.push(core);
        broken += arrived;
        let mut small = self.callers.block_on(load::small_requests(peer, sizes.requests))?;
        let mut added =
            |part| process::quantile(&mut small, part) - process::quantile(direct, part);
        rates.added_p50_ms.push(added(0.5));
        rates.added_p99_ms.push(added(0.99));
        Ok(broken)
    }

    /// Runs streams; returns the number of incomplete answers, and the events per second of CPU
    /// time of the relay and of wall time.
    fn streams(
        &self,
        name: &str,
        peer: load::Peer,
        load: load::Streams,
    ) -> Result<(u64, f64, f64)> {
        let (started, before) = (std::time::Instant::now(), process::cpu_time(name));
        let arrived = self.callers.block_on(load::run_streams(peer, load))?;
        let used = process::cpu_time(name).saturating_sub(before);
        let (events, wall) = (arrived.events as f64, started.elapsed());
        Ok((arrived.broken, events / used.as_secs_f64().max(1e-9), events / wall.as_secs_f64()))
    }

    fn shutdown(self) {
        self.callers.block_on(self.local.shutdown());
        self.node.shutdown_background();
    }
}

/// Adds all figures, goals and remarks.
fn fill_report(report: &mut report::Report, rates: &mut [Rates; 2], broken: u64) {
    let [node, plain] = rates;
    let median = |values: &mut Vec<f64>| process::quantile(values, 0.5);
    let (core, core_plain) = (median(&mut node.per_core), median(&mut plain.per_core));
    let (paced, paced_plain) =
        (median(&mut node.paced_per_core), median(&mut plain.paced_per_core));
    let (wall, wall_plain) = (median(&mut node.per_s), median(&mut plain.per_s));
    let (tail, tail_plain) = (median(&mut node.added_p99_ms), median(&mut plain.added_p99_ms));
    let per_core = "events/s";
    report.figure(
        "streamed relay, per core, as fast as possible",
        per_core,
        core,
        Some(core_plain),
    );
    report.figure(
        "streamed relay, per core, 100 streams of 5 ms",
        per_core,
        paced,
        Some(paced_plain),
    );
    report.figure("streamed relay, two workers", "events/s", wall, Some(wall_plain));
    let added = median(&mut node.added_p50_ms);
    report.figure("added latency p50", "ms", added, Some(median(&mut plain.added_p50_ms)));
    report.figure("added latency p99", "ms", tail, Some(tail_plain));
    report.figure("answers not whole", "answers", broken as f64, None);
    let part = |own: f64, other: f64| own / other.max(1e-9);
    for (load, found) in [
        ("as fast as possible", part(core, core_plain)),
        ("100 streams of 5 ms", part(paced, paced_plain)),
    ] {
        let name = format!("at least {MIN_RATE_RATIO} of the plain relay's rate per core, {load}");
        report.goal(&name, found >= MIN_RATE_RATIO, format!("{found:.2}"));
    }
    let name = format!("less than {MAX_ADDED_P99_MS} ms added at p99");
    report.goal(&name, tail < MAX_ADDED_P99_MS, format!("{tail:.3} ms"));
    report.goal("every answer whole", broken == 0, format!("{broken} were not"));
    report.remark(
        "Medians over the rounds. Rates per core divide events by the CPU time of the \
         worker threads of the relay; source and clients have other threads.",
    );
}
