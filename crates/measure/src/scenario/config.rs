//! Scenario `config`: time until an accepted release note is in force on every node.
//!
//! The nodes and the baseline, one polling client per node, read the same store at the same time.
//! Some cases disturb the watches through which nodes learn of new revisions.

mod poll;

use std::time;

use corneltrestle_kernel::linkme::{self, distributed_slice};
use corneltrestle_local::{self as local, plan};
use corneltrestle_node::{operate, tables};
use corneltrestle_policy::adoption;
use rand::{Rng, SeedableRng};
use tokio::runtime;

use super::Result;
use crate::{process, report, scenario};

#[distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static CONFIG: scenario::Scenario = scenario::Scenario {
    name: "config",
    summary: "time until an accepted note is in force on all nodes, compared with polling by each node",
    run,
};

/// Goal for the time until an accepted note is in force on every reachable node.
const ROLLOUT_GOAL: time::Duration = time::Duration::from_secs(6);
/// Longest wait for one note; nodes that do not have it by then count with this time.
const NOTE_TIMEOUT: time::Duration = time::Duration::from_secs(12);
/// Interval at which the revisions of the nodes are read, which bounds the error of the figures.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(1);
/// How often the operator applies a note again after it was not accepted.
const APPLY_RETRIES: usize = 5;
/// How long the paused node is stalled.
const PAUSE_TIME: time::Duration = time::Duration::from_secs(8);

/// The fault that is present while notes are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The open watches of the store stop delivering events right before each note.
    SilentWatch,
    /// A node that watches the store is stalled for 8 s and then goes on.
    PausedWatcher,
    /// A node that watches the store disappears without a shutdown.
    LostWatcher,
}

/// One deployment and what is done to it.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Name of the case in the report.
    pub name: &'static str,
    /// Number of entry nodes of each zone.
    pub zones: &'static [usize],
    /// Number of notes that are measured, one after the other.
    pub notes: usize,
    /// The fault during the measurement.
    pub fault: Fault,
}

/// Measured values of a case; times are in seconds and, unless stated otherwise, count from the
/// acceptance of the note.
#[derive(Clone, Debug, Default)]
pub struct Measurement {
    /// Time until the note was in force, for each note and reachable node.
    pub node_times: Vec<f64>,
    /// Time until the slowest polling client had read the note, for each note.
    pub poll_times: Vec<f64>,
    /// Time until the note was in force on the paused node, counted from the end of the pause.
    pub resume_times: Vec<f64>,
    /// How often a reachable node did not have a note at the end of the wait.
    pub missed: usize,
    /// How often the operator applied a note again.
    pub reapplied: usize,
    /// How often a node went back to an older revision.
    pub reverted: usize,
    /// Store calls per second and node, first of the nodes, then of the polling clients.
    pub calls_per_s: (f64, f64),
}

const THREE_ZONES: &[usize] = &[3, 2, 2];

const CASES: [Case; 6] = [
    Case { name: "7 nodes, 3 zones", zones: THREE_ZONES, notes: 8, fault: Fault::None },
    Case { name: "24 nodes, 1 zone", zones: &[24], notes: 8, fault: Fault::None },
    Case { name: "43 nodes, 1 zone", zones: &[43], notes: 8, fault: Fault::None },
    Case {
        name: "7 nodes, watches silent",
        zones: THREE_ZONES,
        notes: 3,
        fault: Fault::SilentWatch,
    },
    Case {
        name: "7 nodes, watcher paused",
        zones: THREE_ZONES,
        notes: 1,
        fault: Fault::PausedWatcher,
    },
    Case { name: "7 nodes, watcher lost", zones: THREE_ZONES, notes: 2, fault: Fault::LostWatcher },
];

fn failed<E: ToString>(step: &'static str) -> impl Fn(E) -> scenario::Error {
    move |e| scenario::Error::Failed { step, cause: e.to_string() }
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("config", options.seed);
    for case in &CASES {
        options.print_progress(format_args!("config: {}", case.name));
        let mut found = measure(options.seed, case)?;
        let (times, polled) = (&mut found.node_times, &mut found.poll_times);
        let (p50, worst) = (process::quantile(times, 0.5), process::quantile(times, 1.0));
        let name = case.name;
        report.figure(&format!("{name}: p50 of nodes"), "s", p50, None);
        let baseline = Some(process::quantile(polled, 1.0));
        report.figure(&format!("{name}: worst"), "s", worst, baseline);
        if case.fault == Fault::None {
            let (own, polling) = found.calls_per_s;
            let name = format!("{name}: store calls per node");
            report.figure(&name, "calls/s", own, Some(polling));
        }
        if found.reapplied > 0 {
            let name = format!("{name}: notes that the operator applied again");
            report.figure(&name, "times", found.reapplied as f64, None);
        }
        if let Some(resumed) = found.resume_times.first() {
            let name = format!("{name}: the paused node after it goes on");
            report.figure(&name, "s", *resumed, None);
        }
        let goal =
            format!("{name}: in force on every reachable node within {} s", ROLLOUT_GOAL.as_secs());
        report.goal(&goal, worst < ROLLOUT_GOAL.as_secs_f64(), format!("{worst:.3} s"));
        let goal = format!("{name}: no node goes back");
        report.goal(&goal, found.reverted == 0, format!("{} times", found.reverted));
    }
    report.remark(
        "Times count from the answer to the operator. The baseline is one client per node that \
         reads the head of the same store once a second, at the same time.",
    );
    Ok(report)
}

/// Runs one case.
///
/// # Errors
///
/// When the deployment cannot run or a note is not accepted.
pub fn measure(seed: u64, case: &Case) -> Result<Measurement> {
    let platform = process::runtime("m-platform", 2).map_err(failed("runtime"))?;
    let nodes = process::runtime("m-nodes", 4).map_err(failed("runtime"))?;
    let mut run = Run {
        case: *case,
        rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        local: platform.block_on(local::Local::bind(deployment(case)))?,
        watched: Vec::new(),
        revision: 0,
        repeated: 0,
        victim: None,
    };
    {
        let _entered = nodes.enter();
        run.local.start_nodes()?;
    }
    let found = platform.block_on(run.measure(&nodes))?;
    // Draining dozens of nodes in turn would take longer than the measurement.
    nodes.shutdown_timeout(time::Duration::from_secs(1));
    platform.block_on(run.local.shutdown());
    Ok(found)
}

fn deployment(case: &Case) -> local::Plan {
    let zone = |(number, nodes): (usize, &usize)| plan::Zone {
        name: format!("zone-{number}"),
        nodes: *nodes,
        fabrics: 0,
        vms: 0,
        services: 0,
    };
    let zones = case.zones.iter().enumerate().map(zone).collect();
    local::Plan { zones, ..local::Plan::default() }
}

/// A node whose revision is read during the measurement.
struct Watched {
    name: String,
    current: tables::config::Current,
    /// Highest revision seen, to notice a node that goes back.
    highest: u64,
}

/// The node that the fault affects, on a runtime of its own so that it can be stalled or lost
/// alone.
struct Victim {
    name: String,
    /// `None` once the node is lost.
    runtime: Option<runtime::Runtime>,
}

struct Run {
    case: Case,
    rng: rand_chacha::ChaCha8Rng,
    local: local::Local,
    watched: Vec<Watched>,
    /// Revision of the latest accepted note; 0 before the first.
    revision: u64,
    /// How often a note was applied again.
    repeated: usize,
    victim: Option<Victim>,
}

impl Run {
    async fn measure(&mut self, nodes: &runtime::Runtime) -> Result<Measurement> {
        if matches!(self.case.fault, Fault::PausedWatcher | Fault::LostWatcher) {
            self.choose_victim().await?;
        }
        for (name, node) in &self.local.nodes {
            let tables = tables::Tables::new(node.running.host()).map_err(failed("tables"))?;
            let watched = Watched { name: name.clone(), current: tables.current, highest: 0 };
            self.watched.push(watched);
        }
        // By then the nodes know each other and their watches are open.
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        self.apply().await?;
        let pollers = poll::Pollers::spawn(self.local.store.address(), self.watched.len(), nodes);
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let (started, calls, polls) = (time::Instant::now(), self.calls(), pollers.calls());
        let mut found = Measurement::default();
        for _ in 0..self.case.notes {
            let pause = self.rng.random_range(100..600);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
            self.measure_note(&pollers, &mut found).await?;
        }
        let span = started.elapsed().as_secs_f64() * self.watched.len() as f64;
        let polls = pollers.calls() - polls;
        let all = self.calls() - calls;
        found.calls_per_s = (all.saturating_sub(polls) as f64 / span, polls as f64 / span);
        pollers.stop();
        found.reapplied = self.repeated;
        Ok(found)
    }

    /// Calls that the store has received so far; open watches are not calls.
    fn calls(&self) -> u64 {
        let counts = self.local.store.counts();
        counts.iter().filter(|(name, _)| *name != "watching").map(|(_, count)| count).sum()
    }

    /// Restarts a node that watches the store on a runtime of its own.
    async fn choose_victim(&mut self) -> Result<()> {
        let prefix = "zone-0-entry-";
        let names: Vec<_> =
            self.local.nodes.keys().filter(|name| name.starts_with(prefix)).cloned().collect();
        let live = || names.iter().map(String::as_str);
        let watches = |name: &&String| adoption::is_watcher("zone-0", name, live());
        let name = names.iter().find(watches).ok_or(local::Error::NoNode)?.clone();
        self.local.stop_node(&name).await;
        let runtime = process::runtime("m-victim", 1).map_err(failed("runtime"))?;
        {
            let _entered = runtime.enter();
            self.local.start_node(&name)?;
        }
        self.victim = Some(Victim { name, runtime: Some(runtime) });
        Ok(())
    }

    /// Applies the next note through a node without the fault; returns when it was accepted.
    async fn apply(&mut self) -> Result<time::Instant> {
        let base = self.revision;
        let item = if base == 0 {
            let zones = 0..self.case.zones.len();
            let zone = |zone| format!("[zone zone-{zone}]\nchange = add\nstate = in\n");
            let zones: String = zones.map(zone).collect();
            let key = "0".repeat(64);
            format!(
                "{zones}[organisation acme]\nchange = add\nkey-hash = {key}\nweight = 1\n\
                 rate = 100\nconcurrency = 100\n"
            )
        } else {
            format!("[organisation acme]\nchange = change\nweight = {}\n", base + 1)
        };
        let note = format!("[note]\nid = note-{base}\nbase = {base}\n{item}");
        let victim = self.victim.as_ref().map(|victim| victim.name.as_str());
        let mut usable = self.local.nodes.iter().filter(|(name, _)| Some(name.as_str()) != victim);
        // The last node is in another zone than the victim, where there is more than one zone.
        let (_, node) = usable.next_back().ok_or(local::Error::NoNode)?;
        let mut verdict = node.apply(&note).await?;
        // Applying the same note again is safe; the first call may use a silent connection.
        for _ in 0..APPLY_RETRIES {
            if let operate::Verdict::Accepted { revision } = verdict {
                self.revision = revision;
                return Ok(time::Instant::now());
            }
            self.repeated += 1;
            verdict = node.apply(&note).await?;
        }
        Err(failed("apply note")(format!("{verdict:?}")))
    }

    /// Starts the fault of the case; returns when a paused node goes on.
    fn inject_fault(&mut self) -> Result<Option<time::Instant>> {
        match (self.case.fault, &mut self.victim) {
            (Fault::SilentWatch, _) => {
                self.local.store.switch("silent", true, None).map_err(failed("fault"))?;
            }
            (Fault::PausedWatcher, Some(Victim { runtime: Some(runtime), .. })) => {
                runtime.spawn(async { std::thread::sleep(PAUSE_TIME) });
                return Ok(Some(time::Instant::now() + PAUSE_TIME));
            }
            (Fault::LostWatcher, Some(victim)) => {
                if let Some(runtime) = victim.runtime.take() {
                    runtime.shutdown_background();
                }
            }
            _ => {}
        }
        Ok(None)
    }

    /// Applies the next note under the fault and waits until every node and polling client has it.
    async fn measure_note(
        &mut self,
        pollers: &poll::Pollers,
        found: &mut Measurement,
    ) -> Result<()> {
        let resumes = self.inject_fault()?;
        let accepted = self.apply().await?;
        let victim = self.victim.as_ref().map(|victim| victim.name.clone());
        let is_victim = |watched: &Watched| Some(&watched.name) == victim.as_ref();
        let mut times: Vec<Option<time::Instant>> = vec![None; self.watched.len()];
        let mut polled = None;
        loop {
            let now = time::Instant::now();
            for (watched, time) in self.watched.iter_mut().zip(&mut times) {
                let revision = watched.current.load().revision;
                found.reverted += usize::from(revision < watched.highest);
                watched.highest = revision.max(watched.highest);
                if revision >= self.revision {
                    time.get_or_insert(now);
                }
            }
            if pollers.all_reached(self.revision) {
                polled.get_or_insert(now);
            }
            let late = self.watched.iter().zip(&times).any(|(watched, time)| {
                time.is_none() && (resumes.is_some() || !is_victim(watched))
            });
            if now >= accepted + NOTE_TIMEOUT || (polled.is_some() && !late) {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let since = |time: Option<time::Instant>, start: time::Instant| {
            time.map_or(NOTE_TIMEOUT, |time| time.saturating_duration_since(start)).as_secs_f64()
        };
        for (watched, time) in self.watched.iter().zip(&times) {
            match (is_victim(watched), resumes) {
                (false, _) => {
                    found.missed += usize::from(time.is_none());
                    found.node_times.push(since(*time, accepted));
                }
                (true, Some(resumes)) => found.resume_times.push(since(*time, resumes)),
                (true, None) => {}
            }
        }
        found.poll_times.push(since(polled, accepted));
        Ok(())
    }
}
