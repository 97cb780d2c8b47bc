//! Scenario `control`: resources that control work costs each node as a deployment grows.
//!
//! Small deployments are measured along three axes: zones, VMs per zone and nodes per zone.
//! Straight lines through the points extrapolate the cost to the size of the target.

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

/// Size of the target deployment.
const TARGET: Size = Size { nodes: 43, vms: 75, zones: 8 };
/// Goals for the control work of one node at the target: CPU time in percent of a core, memory, and
/// bytes sent on links.
const MAX_CPU_PERCENT: f64 = 3.3;
const MAX_MEMORY_MB: f64 = 32.0;
const MAX_LINK_BYTES_PER_S: f64 = 2_000.0;
/// Calls per second that the store allows, from all zones together.
const MAX_STORE_CALLS_PER_S: f64 = 2_000.0;

/// Pulls per second of one node from its own zone; as many go to all other zones together.
const PULLS_PER_S: f64 = 2.0;
/// VMs of one replica.
const VMS_PER_REPLICA: usize = 4;
/// Time without a change after which an assignment counts as settled, and the longest wait for
/// that. Without the wait, documents that nodes fetch while replicas are formed would count as work
/// of an idle zone.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Duration of a measurement without requests.
const IDLE_TIME: time::Duration = time::Duration::from_secs(3);
/// Duration of a measurement under load, and the interval between its requests.
const LOADED_TIME: time::Duration = time::Duration::from_millis(1_500);
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// API key of the clients.
const API_KEY: &str = "key-of-acme";
/// Name of the threads that run the nodes.
const NODE_THREADS: &str = "m-nodes";

/// Size of a deployment whose zones are all alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entry nodes of each zone.
    pub nodes: usize,
    /// Engine VMs of each zone.
    pub vms: usize,
    /// Number of zones.
    pub zones: usize,
}

/// Mean cost of control work for one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// CPU time in percent of a core.
    pub cpu_percent: f64,
    /// Bytes sent on links per second.
    pub link_bytes_per_s: f64,
    /// Store calls per second.
    pub store_calls_per_s: f64,
}

/// Measured values of a deployment of one size.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Size of the deployment.
    pub size: Size,
    /// Cost without requests.
    pub idle: Cost,
    /// Cost with a few requests per second.
    pub loaded: Cost,
    /// Resident memory of the process, with nodes and stand-ins, in MB.
    pub memory_mb: f64,
    /// Resident memory before the nodes were started, in MB.
    pub initial_mb: f64,
}

/// Sizes of which one dimension grows.
struct Axis {
    name: &'static str,
    /// The dimension that grows.
    value: fn(&Size) -> usize,
    sizes: &'static [Size],
}

const fn size(nodes: usize, vms: usize, zones: usize) -> Size {
    Size { nodes, vms, zones }
}

const AXES: [Axis; 3] = [
    Axis {
        name: "zones",
        value: |size| size.zones,
        sizes: &[size(4, 8, 1), size(4, 8, 2), size(4, 8, 4)],
    },
    Axis {
        name: "VMs per zone",
        value: |size| size.vms,
        sizes: &[size(8, 8, 1), size(8, 40, 1), size(8, 76, 1)],
    },
    Axis {
        name: "nodes per zone",
        value: |size| size.nodes,
        sizes: &[size(4, 8, 1), size(8, 8, 1), size(16, 8, 1), size(32, 8, 1)],
    },
];

fn failed<E: ToString>(step: &'static str) -> impl Fn(E) -> scenario::Error {
    move |e| scenario::Error::Failed { step, cause: e.to_string() }
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    let mut found: Vec<Measurement> = Vec::new();
    for axis in &AXES {
        for size in axis.sizes {
            if found.iter().any(|found| found.size == *size) {
                continue;
            }
            let Size { nodes, vms, zones } = size;
            options.print_progress(format_args!(
                "control: {nodes} nodes, {vms} VMs a zone, {zones} zones"
            ));
            found.push(measure(*size, IDLE_TIME, LOADED_TIME)?);
        }
    }
    let mut report = report::Report::new("control", options.seed);
    fill_report(&mut report, &found);
    Ok(report)
}

/// Measures one deployment.
///
/// # Errors
///
/// When the deployment cannot run.
pub fn measure(size: Size, idle: time::Duration, loaded: time::Duration) -> Result<Measurement> {
    let platform = process::runtime("m-platform", 2).map_err(failed("runtime"))?;
    let nodes = process::runtime(NODE_THREADS, 4).map_err(failed("runtime"))?;
    let mut local = platform.block_on(local::Local::bind(deployment(size)))?;
    let initial_mb = resident_mb();
    {
        let _entered = nodes.enter();
        local.start_nodes()?;
    }
    let found = platform.block_on(async {
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        local.apply(&note(size)).await?;
        wait_until_settled(&local).await?;
        let meter = Meter::start(&local, size).await?;
        tokio::time::sleep(idle).await;
        let idle = meter.stop(&local).await?;
        let memory_mb = resident_mb();
        let meter = Meter::start(&local, size).await?;
        send_load(&local, loaded).await;
        let loaded = meter.stop(&local).await?;
        Ok::<_, scenario::Error>(Measurement { size, idle, loaded, memory_mb, initial_mb })
    })?;
    // Draining dozens of nodes in turn would take longer than the measurement.
    nodes.shutdown_timeout(time::Duration::from_secs(1));
    platform.block_on(local.shutdown());
    Ok(found)
}

/// Waits until all nodes have held the same assignments for [`SETTLE_TIME`], or until
/// [`SETTLE_TIMEOUT`].
async fn wait_until_settled(local: &local::Local) -> Result<()> {
    let open = |node: &local::Node| tables::Tables::new(node.running.host());
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
    let (started, mut changed, mut last) = (time::Instant::now(), time::Instant::now(), Vec::new());
    while changed.elapsed() < SETTLE_TIME && started.elapsed() < SETTLE_TIMEOUT {
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

/// Resident memory of the process in MB.
fn resident_mb() -> f64 {
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
    plan.engine.load_time = time::Duration::from_millis(10);
    plan
}

fn note(size: Size) -> String {
    let mut note = format!(
        "[note]\nid = first\nbase = 0\n[organisation acme]\nchange = add\nkey-hash = {}\n\
         weight = 1\nrate = 10000\nconcurrency = 1000\n\
         [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 10s\n",
        digest::key(API_KEY)
    );
    for zone in 0..size.zones {
        note.push_str(&format!(
            "[zone zone-{zone}]\nchange = add\nstate = in\n\
             [group chat-{zone}]\nchange = add\nservice = chat\nzone = zone-{zone}\n\
             vms = {VMS_PER_REPLICA}\nreplicas = {}\nmodel = small\nversion = 1\n\
             fencing = checked\n",
            size.vms / VMS_PER_REPLICA
        ));
    }
    note
}

/// Sends small requests through the nodes in turn for the given time.
async fn send_load(local: &local::Local, time: time::Duration) {
    let end = time::Instant::now() + time;
    let body = br#"{"model":"small","max_tokens":2,"prompt":"hello"}"#;
    for node in local.nodes.values().cycle() {
        if time::Instant::now() >= end {
            return;
        }
        let caller = client::Client::new(node.callers, API_KEY);
        tokio::spawn(async move {
            let call = caller.call(hyper::Method::POST, "/v1/completions", &[], body.to_vec());
            if let Err(e) = call.await {
                log::debug!("measure: {e}");
            }
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Counters at the start of a measurement.
struct Meter {
    /// Nodes over which the cost is averaged.
    nodes: f64,
    started: time::Instant,
    cpu: time::Duration,
    bytes: f64,
    calls: u64,
}

impl Meter {
    async fn start(local: &local::Local, size: Size) -> Result<Self> {
        Ok(Self {
            nodes: (size.nodes * size.zones) as f64,
            bytes: link_bytes(local).await?,
            calls: store_calls(local),
            cpu: process::cpu_time(NODE_THREADS),
            started: time::Instant::now(),
        })
    }

    async fn stop(self, local: &local::Local) -> Result<Cost> {
        let span = self.started.elapsed().as_secs_f64() * self.nodes;
        let cpu = process::cpu_time(NODE_THREADS).saturating_sub(self.cpu);
        let calls = store_calls(local).saturating_sub(self.calls);
        let bytes = link_bytes(local).await? - self.bytes;
        Ok(Cost {
            cpu_percent: cpu.as_secs_f64() / span * 100.0,
            link_bytes_per_s: bytes / span,
            store_calls_per_s: calls as f64 / span,
        })
    }
}

/// Bytes on all links so far. All nodes share the counters of the process, which count each byte
/// once, at the end that accepted the connection.
async fn link_bytes(local: &local::Local) -> Result<f64> {
    let node = local.nodes.values().next().ok_or(local::Error::NoNode)?;
    let answer = node.operate(hyper::Method::GET, "/metrics", "").await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with("link_bytes_total"));
    Ok(lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum())
}

/// Calls that the store has received so far; open watches are not calls.
fn store_calls(local: &local::Local) -> u64 {
    let counts = local.store.counts();
    counts.iter().filter(|(name, _)| *name != "watching").map(|(_, count)| count).sum()
}

/// A quantity with its goal at the target.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    value: fn(&Measurement) -> f64,
    /// Largest value at the target that meets the goal.
    limit: f64,
}

const QUANTITIES: [Quantity; 3] = [
    Quantity {
        name: "processor time of a node",
        unit: "% of a core",
        value: |found| found.idle.cpu_percent,
        limit: MAX_CPU_PERCENT,
    },
    Quantity {
        name: "sent on links by a node",
        unit: "bytes/s",
        value: |found| found.idle.link_bytes_per_s,
        limit: MAX_LINK_BYTES_PER_S,
    },
    Quantity {
        // Calls per node fall as the zone grows, since some are made once for the zone. Calls per
        // zone grow linearly, so that the fit uses these.
        name: "store calls of a zone",
        unit: "calls/s",
        value: |found| found.idle.store_calls_per_s * found.size.nodes as f64,
        limit: MAX_STORE_CALLS_PER_S / TARGET.zones as f64,
    },
];

/// Adds all figures, goals and remarks.
fn fill_report(report: &mut report::Report, found: &[Measurement]) {
    for found in found {
        add_size(report, found);
    }
    for quantity in &QUANTITIES {
        let mut extrapolated = 0.0;
        for axis in &AXES {
            let points = points(found, axis, quantity.value);
            let line = add_fit(report, axis, quantity.name, quantity.unit, &points);
            let (reference, target) = ((axis.value)(&REFERENCE), (axis.value)(&TARGET));
            extrapolated += line.slope * (target as f64 - reference as f64);
        }
        let reference = found.iter().find(|found| found.size == REFERENCE);
        extrapolated += reference.map_or(0.0, quantity.value);
        let Quantity { name, unit, limit, .. } = quantity;
        report.figure(&format!("{name} at the target, extrapolated"), unit, extrapolated, None);
        let goal = format!("{name} at the target at most {limit:.1} {unit}");
        report.goal(
            &goal,
            extrapolated <= *limit,
            format!("{extrapolated:.2} {unit}, extrapolated"),
        );
    }
    add_memory(report, found);
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

/// Size at which the extrapolation starts.
const REFERENCE: Size = size(8, 8, 1);

/// Adds the figures of one size.
fn add_size(report: &mut report::Report, found: &Measurement) {
    let Size { nodes, vms, zones } = found.size;
    let name = format!("{nodes} nodes, {vms} VMs a zone, {zones} zones");
    let (idle, loaded) = (&found.idle, &found.loaded);
    let pulls = if zones > 1 { 2.0 * PULLS_PER_S } else { PULLS_PER_S };
    let mesh = idle.link_bytes_per_s / pulls * PULLS_PER_S * (nodes - 1) as f64;
    report.figure(&format!("{name}: processor time idle"), "% of a core", idle.cpu_percent, None);
    report.figure(
        &format!("{name}: processor time loaded"),
        "% of a core",
        loaded.cpu_percent,
        None,
    );
    report.figure(&format!("{name}: sent idle"), "bytes/s", idle.link_bytes_per_s, Some(mesh));
    report.figure(&format!("{name}: sent loaded"), "bytes/s", loaded.link_bytes_per_s, None);
    report.figure(&format!("{name}: store calls idle"), "calls/s", idle.store_calls_per_s, None);
    report.figure(
        &format!("{name}: store calls loaded"),
        "calls/s",
        loaded.store_calls_per_s,
        None,
    );
}

/// Points of size and value along an axis.
fn points(found: &[Measurement], axis: &Axis, value: fn(&Measurement) -> f64) -> Vec<(f64, f64)> {
    let found = found.iter().filter(|found| axis.sizes.contains(&found.size));
    found.map(|found| ((axis.value)(&found.size) as f64, value(found))).collect()
}

/// Fits a line through the points and adds its figures.
fn add_fit(
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

/// Adds the memory of a node at the target: the memory that the process needs before the first
/// node, plus the growth between sizes.
fn add_memory(report: &mut report::Report, found: &[Measurement]) {
    let mut extrapolated = found.first().map_or(0.0, |found| found.initial_mb);
    for axis in &AXES {
        let per_node =
            |found: &Measurement| (found.memory_mb - found.initial_mb) / node_count(&found.size);
        let points = points(found, axis, |found| found.memory_mb);
        if axis.name == "nodes per zone" {
            extrapolated += add_fit(report, axis, "memory of the process", "MB", &points).slope;
            continue;
        }
        let found = found.iter().filter(|found| axis.sizes.contains(&found.size));
        let points: Vec<_> =
            found.map(|found| ((axis.value)(&found.size) as f64, per_node(found))).collect();
        let line = add_fit(report, axis, "memory of a node", "MB", &points);
        let (reference, target) = ((axis.value)(&REFERENCE), (axis.value)(&TARGET));
        extrapolated += line.slope.max(0.0) * (target as f64 - reference as f64);
    }
    report.figure("memory at the target, extrapolated", "MB", extrapolated, None);
    let goal = format!("memory of a node at the target at most {MAX_MEMORY_MB} MB");
    report.goal(
        &goal,
        extrapolated <= MAX_MEMORY_MB,
        format!("{extrapolated:.1} MB, extrapolated"),
    );
    report.remark(
        "All nodes share one process: memory at the target is that of the process before the \
         first node, plus one node by the growth along the nodes axis, plus what VMs and zones \
         add to a node. The growth includes the stand-ins of the platform for those nodes.",
    );
}

fn node_count(size: &Size) -> f64 {
    (size.nodes * size.zones) as f64
}
