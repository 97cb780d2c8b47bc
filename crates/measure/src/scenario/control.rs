//! `control`: what control work costs each node as a deployment grows.

mod line;

use std::time;

use corneltrestle_kernel::linkme::{self, distributed_slice};
use corneltrestle_local::{self as local, client, plan};
use corneltrestle_node::{digest, tables};

use super::Result;
use crate::{process, report, scenario};

pub use line::Line;

#[distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static CONTROL: scenario::Scenario = scenario::Scenario {
    name: "control",
    summary: "processor time, memory, bytes and store calls of control work as zones grow",
    run,
};

/// The target's nodes and VMs in one zone, and its zones.
const TARGET: Size = Size { nodes: 43, vms: 75, zones: 8 };
/// Limits of one node for control work.
const CORE_PERCENT: f64 = 3.3;
const MEMORY_MB: f64 = 32.0;
const LINK_BYTES: f64 = 2_000.0;
/// Calls a second that the store allows.
const STORE_CALLS: f64 = 2_000.0;

/// Pulls of one node a second from its own zone; as many go to all other zones together.
const PULLS: f64 = 2.0;
/// VMs of one replica.
const REPLICA_VMS: usize = 4;
/// Time without a change after which an assignment counts as settled, and the longest wait for that.
/// Documents that nodes fetch while replicas are formed would count as the work of an idle zone.
const SETTLE: time::Duration = time::Duration::from_millis(1_500);
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(6);
/// Time of a measurement.
const IDLE: time::Duration = time::Duration::from_secs(3);
/// Time of a measurement under load, and the pause between its requests.
const LOADED: time::Duration = time::Duration::from_millis(1_500);
const LOAD_PAUSE: time::Duration = time::Duration::from_millis(50);
/// The callers' key.
const KEY: &str = "key-of-acme";
/// Name of the threads of the nodes.
const NODES: &str = "m-nodes";

/// How large a deployment is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entry nodes of a zone.
    pub nodes: usize,
    /// VMs of a zone.
    pub vms: usize,
    /// Zones.
    pub zones: usize,
}

/// What control work costs one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time in per cent of a core.
    pub core: f64,
    /// Bytes a second that it sends on links.
    pub bytes: f64,
    /// Store calls a second.
    pub calls: f64,
}

/// What was found at one size.
#[derive(Clone, Copy, Debug)]
pub struct Found {
    /// The size.
    pub size: Size,
    /// Without requests.
    pub idle: Cost,
    /// With a few requests a second.
    pub loaded: Cost,
    /// Resident memory of the process, with nodes and stand-ins, in MB.
    pub memory: f64,
    /// Resident memory before the nodes were started, in MB.
    pub before: f64,
}

/// The sizes along one axis with the number that grows.
struct Axis {
    name: &'static str,
    of: fn(&Size) -> usize,
    sizes: &'static [Size],
}

const fn size(nodes: usize, vms: usize, zones: usize) -> Size {
    Size { nodes, vms, zones }
}

const AXES: [Axis; 3] = [
    Axis {
        name: "zones",
        of: |size| size.zones,
        sizes: &[size(4, 8, 1), size(4, 8, 2), size(4, 8, 4)],
    },
    Axis {
        name: "VMs per zone",
        of: |size| size.vms,
        sizes: &[size(8, 8, 1), size(8, 40, 1), size(8, 76, 1)],
    },
    Axis {
        name: "nodes per zone",
        of: |size| size.nodes,
        sizes: &[size(4, 8, 1), size(8, 8, 1), size(16, 8, 1), size(32, 8, 1)],
    },
];

fn failed<E: ToString>(step: &'static str) -> impl Fn(E) -> scenario::Error {
    move |e| scenario::Error::Failed { step, cause: e.to_string() }
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    let mut found: Vec<Found> = Vec::new();
    for axis in &AXES {
        for size in axis.sizes {
            if found.iter().any(|found| found.size == *size) {
                continue;
            }
            let Size { nodes, vms, zones } = size;
            options.say(format_args!("control: {nodes} nodes, {vms} VMs a zone, {zones} zones"));
            found.push(measure(*size, IDLE, LOADED)?);
        }
    }
    let mut report = report::Report::new("control", options.seed);
    fill(&mut report, &found);
    Ok(report)
}

/// Measures one deployment.
///
/// # Errors
///
/// When the deployment cannot run.
pub fn measure(size: Size, idle: time::Duration, loaded: time::Duration) -> Result<Found> {
    let platform = process::runtime("m-platform", 2).map_err(failed("runtime"))?;
    let nodes = process::runtime(NODES, 4).map_err(failed("runtime"))?;
    let mut local = platform.block_on(local::Local::bind(deployment(size)))?;
    let before = megabytes();
    {
        let _entered = nodes.enter();
        local.start_nodes()?;
    }
    let found = platform.block_on(async {
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        local.apply(&note(size)).await?;
        settle(&local).await?;
        let meter = Meter::start(&local, size).await?;
        tokio::time::sleep(idle).await;
        let idle = meter.stop(&local).await?;
        let memory = megabytes();
        let meter = Meter::start(&local, size).await?;
        load(&local, loaded).await;
        let loaded = meter.stop(&local).await?;
        Ok::<_, scenario::Error>(Found { size, idle, loaded, memory, before })
    })?;
    // Draining dozens of nodes in turn would take longer than the measurement.
    nodes.shutdown_timeout(time::Duration::from_secs(1));
    platform.block_on(local.shutdown());
    Ok(found)
}

/// Waits until all nodes hold the same assignments for a while.
async fn settle(local: &local::Local) -> Result<()> {
    let open = |node: &local::Node| tables::Tables::of(node.running.host());
    let nodes: Vec<_> = local
        .nodes
        .values()
        .map(open)
        .collect::<std::result::Result<_, _>>()
        .map_err(failed("tables"))?;
    let versions = |tables: &tables::Tables| {
        let replicas = tables.replicas.lock();
        replicas.zones().map(|(zone, stored)| (zone.clone(), stored.version)).collect::<Vec<_>>()
    };
    let (begun, mut changed, mut last) = (time::Instant::now(), time::Instant::now(), Vec::new());
    while changed.elapsed() < SETTLE && begun.elapsed() < SETTLE_LIMIT {
        let now: Vec<_> = nodes.iter().map(versions).collect();
        let equal = now.iter().all(|versions| Some(versions) == now.first());
        if !equal || now != last {
            changed = time::Instant::now();
            last = now;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    Ok(())
}

fn megabytes() -> f64 {
    process::resident_bytes() as f64 / 1e6
}

fn deployment(size: Size) -> local::Plan {
    let zone = |number| plan::Zone {
        name: format!("zone-{number}"),
        nodes: size.nodes,
        fabrics: 1,
        vms: size.vms,
        services: 0,
    };
    let mut plan =
        local::Plan { zones: (0..size.zones).map(zone).collect(), ..local::Plan::default() };
    plan.engine.load = time::Duration::from_millis(10);
    plan
}

fn note(size: Size) -> String {
    let mut note = format!(
        "[note]\nid = first\nbase = 0\n[organisation acme]\nchange = add\nkey-hash = {}\n\
         weight = 1\nrate = 10000\nconcurrency = 1000\n\
         [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 10s\n",
        digest::key(KEY)
    );
    for zone in 0..size.zones {
        note.push_str(&format!(
            "[zone zone-{zone}]\nchange = add\nstate = in\n\
             [group chat-{zone}]\nchange = add\nservice = chat\nzone = zone-{zone}\n\
             vms = {REPLICA_VMS}\nreplicas = {}\nmodel = small\nversion = 1\nfencing = checked\n",
            size.vms / REPLICA_VMS
        ));
    }
    note
}

/// Sends a small request through each node in turn.
async fn load(local: &local::Local, time: time::Duration) {
    let end = time::Instant::now() + time;
    let body = br#"{"model":"small","max_tokens":2,"prompt":"hello"}"#;
    for node in local.nodes.values().cycle() {
        if time::Instant::now() >= end {
            return;
        }
        let caller = client::Client::new(node.callers, KEY);
        tokio::spawn(async move {
            let call = caller.call(hyper::Method::POST, "/v1/completions", &[], body.to_vec());
            if let Err(e) = call.await {
                log::debug!("measure: {e}");
            }
        });
        tokio::time::sleep(LOAD_PAUSE).await;
    }
}

/// Counters at the begin of a measurement.
struct Meter {
    nodes: f64,
    begun: time::Instant,
    processor: time::Duration,
    bytes: f64,
    calls: u64,
}

impl Meter {
    async fn start(local: &local::Local, size: Size) -> Result<Self> {
        Ok(Self {
            nodes: (size.nodes * size.zones) as f64,
            bytes: link_bytes(local).await?,
            calls: store_calls(local),
            processor: process::processor_time(NODES),
            begun: time::Instant::now(),
        })
    }

    async fn stop(self, local: &local::Local) -> Result<Cost> {
        let span = self.begun.elapsed().as_secs_f64() * self.nodes;
        let processor = process::processor_time(NODES).saturating_sub(self.processor);
        let calls = store_calls(local).saturating_sub(self.calls);
        let bytes = link_bytes(local).await? - self.bytes;
        Ok(Cost {
            core: processor.as_secs_f64() / span * 100.0,
            bytes: bytes / span,
            calls: calls as f64 / span,
        })
    }
}

/// Bytes on all links so far. All nodes of the process share the counters, which count each byte
/// once, at the end that accepted the connection.
async fn link_bytes(local: &local::Local) -> Result<f64> {
    let node = local.nodes.values().next().ok_or(local::Error::NoNode)?;
    let answer = node.operate(hyper::Method::GET, "/metrics", "").await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with("link_bytes_total"));
    Ok(lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum())
}

fn store_calls(local: &local::Local) -> u64 {
    let counts = local.store.counts();
    counts.iter().filter(|(name, _)| *name != "watching").map(|(_, count)| count).sum()
}

/// A measured quantity with its limit at the target.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    value: fn(&Found) -> f64,
    limit: f64,
}

const QUANTITIES: [Quantity; 3] = [
    Quantity {
        name: "processor time of a node",
        unit: "% of a core",
        value: |found| found.idle.core,
        limit: CORE_PERCENT,
    },
    Quantity {
        name: "sent on links by a node",
        unit: "bytes/s",
        value: |found| found.idle.bytes,
        limit: LINK_BYTES,
    },
    Quantity {
        // The calls of a node fall as its zone grows, since some are made once for the zone; those
        // of the zone grow with a line.
        name: "store calls of a zone",
        unit: "calls/s",
        value: |found| found.idle.calls * found.size.nodes as f64,
        limit: STORE_CALLS / TARGET.zones as f64,
    },
];

fn fill(report: &mut report::Report, found: &[Found]) {
    for found in found {
        sizes(report, found);
    }
    for quantity in &QUANTITIES {
        let mut reached = 0.0;
        for axis in &AXES {
            let points = points(found, axis, quantity.value);
            let line = fitted(report, axis, quantity.name, quantity.unit, &points);
            let (reference, target) = ((axis.of)(&REFERENCE), (axis.of)(&TARGET));
            reached += line.slope * (target as f64 - reference as f64);
        }
        let reference = found.iter().find(|found| found.size == REFERENCE);
        reached += reference.map_or(0.0, quantity.value);
        let Quantity { name, unit, limit, .. } = quantity;
        report.figure(&format!("{name} at the target, extrapolated"), unit, reached, None);
        let goal = format!("{name} at the target at most {limit:.1} {unit}");
        report.goal(&goal, reached <= *limit, format!("{reached:.2} {unit}, extrapolated"));
    }
    memory(report, found);
    report.remark(
        "The target has 43 nodes and 75 VMs in each of 8 zones. The extrapolation starts at 8 \
         nodes, 8 VMs and 1 zone and adds the slope of each axis, so products of axes are left out.",
    );
    report.remark(
        "Processor time is that of the nodes' own threads. Bytes count once, at the sender; a node \
         receives as many. The baseline is a full mesh of heartbeats in the zone with the mean \
         size of the measured pulls.",
    );
}

/// Where the extrapolation starts.
const REFERENCE: Size = size(8, 8, 1);

fn sizes(report: &mut report::Report, found: &Found) {
    let Size { nodes, vms, zones } = found.size;
    let name = format!("{nodes} nodes, {vms} VMs a zone, {zones} zones");
    let (idle, loaded) = (&found.idle, &found.loaded);
    let pulls = if zones > 1 { 2.0 * PULLS } else { PULLS };
    let mesh = idle.bytes / pulls * PULLS * (nodes - 1) as f64;
    report.figure(&format!("{name}: processor time idle"), "% of a core", idle.core, None);
    report.figure(&format!("{name}: processor time loaded"), "% of a core", loaded.core, None);
    report.figure(&format!("{name}: sent idle"), "bytes/s", idle.bytes, Some(mesh));
    report.figure(&format!("{name}: sent loaded"), "bytes/s", loaded.bytes, None);
    report.figure(&format!("{name}: store calls idle"), "calls/s", idle.calls, None);
    report.figure(&format!("{name}: store calls loaded"), "calls/s", loaded.calls, None);
}

fn points(found: &[Found], axis: &Axis, value: fn(&Found) -> f64) -> Vec<(f64, f64)> {
    let found = found.iter().filter(|found| axis.sizes.contains(&found.size));
    found.map(|found| ((axis.of)(&found.size) as f64, value(found))).collect()
}

fn fitted(
    report: &mut report::Report,
    axis: &Axis,
    name: &str,
    unit: &'static str,
    points: &[(f64, f64)],
) -> Line {
    let line = Line::fit(points);
    let name = format!("{name} by {}", axis.name);
    report.figure(&format!("{name}: slope"), unit, line.slope, None);
    report.figure(&format!("{name}: intercept"), unit, line.intercept, None);
    report.figure(&format!("{name}: residual"), unit, line.residual, None);
    line
}

/// Memory of a node from the growth between sizes, with the part of the process that all share.
fn memory(report: &mut report::Report, found: &[Found]) {
    let mut reached = found.first().map_or(0.0, |found| found.before);
    for axis in &AXES {
        let per_node = |found: &Found| (found.memory - found.before) / nodes_of(&found.size);
        let points = points(found, axis, |found| found.memory);
        if axis.name == "nodes per zone" {
            reached += fitted(report, axis, "memory of the process", "MB", &points).slope;
            continue;
        }
        let found = found.iter().filter(|found| axis.sizes.contains(&found.size));
        let points: Vec<_> =
            found.map(|found| ((axis.of)(&found.size) as f64, per_node(found))).collect();
        let line = fitted(report, axis, "memory of a node", "MB", &points);
        let (reference, target) = ((axis.of)(&REFERENCE), (axis.of)(&TARGET));
        reached += line.slope.max(0.0) * (target as f64 - reference as f64);
    }
    report.figure("memory at the target, extrapolated", "MB", reached, None);
    let goal = format!("memory of a node at the target at most {MEMORY_MB} MB");
    report.goal(&goal, reached <= MEMORY_MB, format!("{reached:.1} MB, extrapolated"));
    report.remark(
        "All nodes share one process: memory at the target is that of the process before the \
         first node, plus one node by the growth along the nodes axis, plus what VMs and zones \
         add to a node. The growth includes the stand-ins of the platform for those nodes.",
    );
}

fn nodes_of(size: &Size) -> f64 {
    (size.nodes * size.zones) as f64
}
