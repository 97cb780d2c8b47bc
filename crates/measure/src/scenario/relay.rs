//! `relay`: added latency of small requests, and events a second per core of a streamed relay.

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
    summary: "added latency and events a second per core, beside a plain hyper relay",
    run: |options| run(options, &Sizes::default()),
};

/// The callers' key.
const KEY: &str = "key-of-acme";
/// Least part of the plain relay's rate.
const RATE_PART: f64 = 0.8;
/// Most time added at the 99th percentile, in milliseconds.
const ADDED_MS: f64 = 1.0;
/// Names of the threads of the relays.
const NODE: &str = "m-node";
const PLAIN: &str = "m-plain";

/// How much is run.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Rounds, in each of which both relays take their turn.
    pub rounds: usize,
    /// Time of a load in one round.
    pub time: time::Duration,
    /// Small requests in one round.
    pub requests: usize,
    /// Events of a stream.
    pub events: u64,
}

impl Default for Sizes {
    fn default() -> Self {
        Self { rounds: 5, time: time::Duration::from_millis(1_500), requests: 800, events: 2_000 }
    }
}

struct Bench {
    callers: runtime::Runtime,
    _source: runtime::Runtime,
    node: runtime::Runtime,
    _plain: runtime::Runtime,
    local: local::Local,
    direct: load::Peer,
    relays: [(&'static str, load::Peer); 2],
}

/// Rates of one relay over the rounds.
#[derive(Debug, Default)]
struct Rates {
    core: Vec<f64>,
    wall: Vec<f64>,
    paced: Vec<f64>,
    added: Vec<f64>,
    tail: Vec<f64>,
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
        let mut direct = bench.callers.block_on(load::small(bench.direct, sizes.requests))?;
        for ((name, peer), rates) in bench.relays.iter().zip(&mut rates) {
            broken += bench.round(sizes, name, *peer, &mut direct, rates)?;
        }
        options.say(format_args!("relay: round {} of {}", round + 1, sizes.rounds));
    }
    let mut report = report::Report::new("relay", options.seed);
    fill(&mut report, &mut rates, broken);
    bench.shutdown();
    Ok(report)
}

impl Bench {
    fn open() -> Result<Self> {
        let runtime = |name| process::runtime(name, 2).map_err(failed("runtime"));
        let (callers, source) = (runtime("m-callers")?, runtime("m-source")?);
        let (node, plain) = (runtime(NODE)?, runtime(PLAIN)?);
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
            direct: load::Peer { address: upstream, lines: 3 },
            relays: [
                (NODE, load::Peer { address, lines: 2 }),
                (PLAIN, load::Peer { address: baseline, lines: 3 }),
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

    /// Applies the note and waits until the node serves the source's model.
    async fn ready(&self) -> Result<()> {
        let note = format!(
            "[note]\nid = first\nbase = 0\n[zone zone-a]\nchange = add\nstate = in\n\
             [organisation acme]\nchange = add\nkey-hash = {}\nweight = 1\nrate = 1000000\n\
             concurrency = 100000\n\
             [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 30s\n\
             [group chat-a]\nchange = add\nservice = chat\nzone = zone-a\nvms = 1\nreplicas = 1\n\
             model = small\nversion = 1\nfencing = checked\ncold-limit = 100000\n",
            digest::key(KEY)
        );
        for _ in 0..50 {
            let verdict = self.local.apply(&note).await?;
            if matches!(verdict, operate::Verdict::Accepted { .. })
                && load::small(self.relays[0].1, 1).await.is_ok()
            {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
        Err(failed("ready")("the node does not serve the source's model"))
    }

    /// Runs all loads on one relay; returns the number of answers that were not whole.
    fn round(
        &self,
        sizes: &Sizes,
        name: &str,
        peer: load::Peer,
        direct: &mut [f64],
        rates: &mut Rates,
    ) -> Result<u64> {
        let (events, time) = (sizes.events, sizes.time);
        let fast = load::Streams { connections: 8, events, pace: None, time };
        let (arrived, core, wall) = self.streams(name, peer, fast)?;
        rates.core.push(core);
        rates.wall.push(wall);
        let mut broken = arrived;
        let events = (time.as_micros() / 5_000) as u64;
        let slow = load::Streams {
            connections: 100,
            events,
            pace: Some(5_000),
            time: time::Duration::ZERO,
        };
        let (arrived, core, _) = self.streams(name, peer, slow)?;
        rates.paced.push(core);
        broken += arrived;
        let mut small = self.callers.block_on(load::small(peer, sizes.requests))?;
        let mut added =
            |part| process::quantile(&mut small, part) - process::quantile(direct, part);
        rates.added.push(added(0.5));
        rates.tail.push(added(0.99));
        Ok(broken)
    }

    /// Runs streams; returns broken answers, events by the relay's processor time and by time.
    fn streams(
        &self,
        name: &str,
        peer: load::Peer,
        load: load::Streams,
    ) -> Result<(u64, f64, f64)> {
        let (begun, before) = (std::time::Instant::now(), process::processor_time(name));
        let arrived = self.callers.block_on(load::stream(peer, load))?;
        let used = process::processor_time(name).saturating_sub(before);
        let (events, wall) = (arrived.events as f64, begun.elapsed());
        Ok((arrived.broken, events / used.as_secs_f64().max(1e-9), events / wall.as_secs_f64()))
    }

    fn shutdown(self) {
        self.callers.block_on(self.local.shutdown());
        self.node.shutdown_background();
    }
}

fn fill(report: &mut report::Report, rates: &mut [Rates; 2], broken: u64) {
    let [node, plain] = rates;
    let median = |values: &mut Vec<f64>| process::quantile(values, 0.5);
    let (core, core_plain) = (median(&mut node.core), median(&mut plain.core));
    let (paced, paced_plain) = (median(&mut node.paced), median(&mut plain.paced));
    let (wall, wall_plain) = (median(&mut node.wall), median(&mut plain.wall));
    let (tail, tail_plain) = (median(&mut node.tail), median(&mut plain.tail));
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
    let added = median(&mut node.added);
    report.figure("added latency p50", "ms", added, Some(median(&mut plain.added)));
    report.figure("added latency p99", "ms", tail, Some(tail_plain));
    report.figure("answers not whole", "answers", broken as f64, None);
    let part = |own: f64, other: f64| own / other.max(1e-9);
    for (load, found) in [
        ("as fast as possible", part(core, core_plain)),
        ("100 streams of 5 ms", part(paced, paced_plain)),
    ] {
        let name = format!("at least {RATE_PART} of the plain relay's rate per core, {load}");
        report.goal(&name, found >= RATE_PART, format!("{found:.2}"));
    }
    let name = format!("less than {ADDED_MS} ms added at p99");
    report.goal(&name, tail < ADDED_MS, format!("{tail:.3} ms"));
    report.goal("every answer whole", broken == 0, format!("{broken} were not"));
    report.remark(
        "Medians over the rounds. Rates per core divide events by the processor time of the \
         relay's own worker threads; source and callers have other threads.",
    );
}
