//! `config`: time until an accepted release note is in force on every node.

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
    summary: "time until an accepted note is in force on all nodes, beside polling by each node",
    run,
};

/// Longest time until an accepted note is in force on every reachable node.
const GOAL: time::Duration = time::Duration::from_secs(6);
/// Longest wait for one note; nodes that are late by then count with this time.
const WAIT: time::Duration = time::Duration::from_secs(12);
/// Time between two looks at the nodes, which bounds the error of the figures.
const LOOK: time::Duration = time::Duration::from_millis(1);
/// Times that an operator applies a note again that was not accepted.
const TRIES: usize = 5;
/// How long a paused node stands still.
const PAUSE: time::Duration = time::Duration::from_secs(8);

/// What goes wrong while notes are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// The open watches of the store fall silent right before each note.
    SilentWatch,
    /// A node that watches the store stands still.
    PausedWatcher,
    /// A node that watches the store is lost.
    LostWatcher,
}

/// One deployment with its notes.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Name in the report.
    pub name: &'static str,
    /// Entry nodes by zone.
    pub zones: &'static [usize],
    /// Notes that are applied.
    pub notes: usize,
    /// What goes wrong.
    pub trouble: Trouble,
}

/// What was found, times in seconds.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Time of each reachable node for each note.
    pub times: Vec<f64>,
    /// Time until the slowest of the polling clients has read the note, for each note.
    pub polled: Vec<f64>,
    /// Time of the paused node after it goes on.
    pub resumed: Vec<f64>,
    /// Times that a reachable node did not have a note before the end of the wait.
    pub missed: usize,
    /// Times that the operator applied a note again.
    pub repeated: usize,
    /// Revisions that a node lost again.
    pub reverted: usize,
    /// Store calls a second and node, and those of the polling clients.
    pub calls: (f64, f64),
}

const THREE: &[usize] = &[3, 2, 2];

const CASES: [Case; 6] = [
    Case { name: "7 nodes, 3 zones", zones: THREE, notes: 8, trouble: Trouble::None },
    Case { name: "24 nodes, 1 zone", zones: &[24], notes: 8, trouble: Trouble::None },
    Case { name: "43 nodes, 1 zone", zones: &[43], notes: 8, trouble: Trouble::None },
    Case { name: "7 nodes, watches silent", zones: THREE, notes: 3, trouble: Trouble::SilentWatch },
    Case {
        name: "7 nodes, watcher paused",
        zones: THREE,
        notes: 1,
        trouble: Trouble::PausedWatcher,
    },
    Case { name: "7 nodes, watcher lost", zones: THREE, notes: 2, trouble: Trouble::LostWatcher },
];

fn failed<E: ToString>(step: &'static str) -> impl Fn(E) -> scenario::Error {
    move |e| scenario::Error::Failed { step, cause: e.to_string() }
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("config", options.seed);
    for case in &CASES {
        options.say(format_args!("config: {}", case.name));
        let mut found = measure(options.seed, case)?;
        let (times, polled) = (&mut found.times, &mut found.polled);
        let (p50, worst) = (process::quantile(times, 0.5), process::quantile(times, 1.0));
        let name = case.name;
        report.figure(&format!("{name}: p50 of nodes"), "s", p50, None);
        let baseline = Some(process::quantile(polled, 1.0));
        report.figure(&format!("{name}: worst"), "s", worst, baseline);
        if case.trouble == Trouble::None {
            let (own, polling) = found.calls;
            let name = format!("{name}: store calls per node");
            report.figure(&name, "calls/s", own, Some(polling));
        }
        if found.repeated > 0 {
            let name = format!("{name}: notes that the operator applied again");
            report.figure(&name, "times", found.repeated as f64, None);
        }
        if let Some(resumed) = found.resumed.first() {
            let name = format!("{name}: the paused node after it goes on");
            report.figure(&name, "s", *resumed, None);
        }
        let goal = format!("{name}: in force on every reachable node within {} s", GOAL.as_secs());
        report.goal(&goal, worst < GOAL.as_secs_f64(), format!("{worst:.3} s"));
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
pub fn measure(seed: u64, case: &Case) -> Result<Found> {
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
    let found = platform.block_on(run.all(&nodes))?;
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

/// A node that the scenario looks at.
struct Watched {
    name: String,
    current: tables::config::Current,
    highest: u64,
}

/// A node on a runtime of its own, so that it can stand still or be lost alone.
struct Victim {
    name: String,
    runtime: Option<runtime::Runtime>,
}

struct Run {
    case: Case,
    rng: rand_chacha::ChaCha8Rng,
    local: local::Local,
    watched: Vec<Watched>,
    revision: u64,
    repeated: usize,
    victim: Option<Victim>,
}

impl Run {
    async fn all(&mut self, nodes: &runtime::Runtime) -> Result<Found> {
        if matches!(self.case.trouble, Trouble::PausedWatcher | Trouble::LostWatcher) {
            self.choose_victim().await?;
        }
        for (name, node) in &self.local.nodes {
            let tables = tables::Tables::new(node.running.host()).map_err(failed("tables"))?;
            let watched = Watched { name: name.clone(), current: tables.current, highest: 0 };
            self.watched.push(watched);
        }
        // Members are known to each other and the watches are open after this time.
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        self.apply().await?;
        let pollers = poll::Pollers::spawn(self.local.store.address(), self.watched.len(), nodes);
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let (begun, calls, polls) = (time::Instant::now(), self.calls(), pollers.calls());
        let mut found = Found::default();
        for _ in 0..self.case.notes {
            let pause = self.rng.random_range(100..600);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
            self.note(&pollers, &mut found).await?;
        }
        let span = begun.elapsed().as_secs_f64() * self.watched.len() as f64;
        let polls = pollers.calls() - polls;
        let all = self.calls() - calls;
        found.calls = (all.saturating_sub(polls) as f64 / span, polls as f64 / span);
        pollers.stop();
        found.repeated = self.repeated;
        Ok(found)
    }

    /// Calls that the store has received.
    fn calls(&self) -> u64 {
        let counts = self.local.store.counts();
        counts.iter().filter(|(name, _)| *name != "watching").map(|(_, count)| count).sum()
    }

    /// Moves a node that watches the store to a runtime of its own.
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

    /// Applies the next note through a node that has no trouble.
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
        // The last node is in another zone than the victim.
        let (_, node) = usable.next_back().ok_or(local::Error::NoNode)?;
        let mut verdict = node.apply(&note).await?;
        // The same note may be applied again; the first call may meet a silent connection.
        for _ in 0..TRIES {
            if let operate::Verdict::Accepted { revision } = verdict {
                self.revision = revision;
                return Ok(time::Instant::now());
            }
            self.repeated += 1;
            verdict = node.apply(&note).await?;
        }
        Err(failed("apply note")(format!("{verdict:?}")))
    }

    fn disturb(&mut self) -> Result<Option<time::Instant>> {
        match (self.case.trouble, &mut self.victim) {
            (Trouble::SilentWatch, _) => {
                self.local.store.switch("silent", true, None).map_err(failed("fault"))?;
            }
            (Trouble::PausedWatcher, Some(Victim { runtime: Some(runtime), .. })) => {
                runtime.spawn(async { std::thread::sleep(PAUSE) });
                return Ok(Some(time::Instant::now() + PAUSE));
            }
            (Trouble::LostWatcher, Some(victim)) => {
                if let Some(runtime) = victim.runtime.take() {
                    runtime.shutdown_background();
                }
            }
            _ => {}
        }
        Ok(None)
    }

    async fn note(&mut self, pollers: &poll::Pollers, found: &mut Found) -> Result<()> {
        let resumes = self.disturb()?;
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
            if pollers.all_at(self.revision) {
                polled.get_or_insert(now);
            }
            let late = self.watched.iter().zip(&times).any(|(watched, time)| {
                time.is_none() && (resumes.is_some() || !is_victim(watched))
            });
            if now >= accepted + WAIT || (polled.is_some() && !late) {
                break;
            }
            tokio::time::sleep(LOOK).await;
        }
        let since = |time: Option<time::Instant>, start: time::Instant| {
            time.map_or(WAIT, |time| time.saturating_duration_since(start)).as_secs_f64()
        };
        for (watched, time) in self.watched.iter().zip(&times) {
            match (is_victim(watched), resumes) {
                (false, _) => {
                    found.missed += usize::from(time.is_none());
                    found.times.push(since(*time, accepted));
                }
                (true, Some(resumes)) => found.resumed.push(since(*time, resumes)),
                (true, None) => {}
            }
        }
        found.polled.push(since(polled, accepted));
        Ok(())
    }
}
