//! Simulation of a day in one zone: its events, its engines, and the time that VMs are idle.

use std::{collections, time};

use corneltrestle_policy::{activity, assignment, eligibility, id, plan, release, report, vm};
use corneltrestle_time::moment;
use rand::{Rng, SeedableRng};

use crate::scenario::stranded;

/// Age from which a report no longer counts.
pub(super) const REPORT_MAX_AGE: time::Duration = eligibility::REPORT_MAX_AGE;
/// Time for which a VM may be idle before it counts; until then an order or a report may still be
/// in effect.
pub(super) const IDLE_GRACE: time::Duration = time::Duration::from_secs(13);
/// Interval between two runs of the planner.
const PLAN_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time after an event during which no run of the planner is skipped.
const BUSY_TIME: time::Duration = time::Duration::from_secs(600);
/// Longest step of the simulation while nothing happens.
const MAX_STEP: time::Duration = time::Duration::from_secs(30);
/// Time until a failed VM is replaced.
const REPLACE_TIME: time::Duration = time::Duration::from_secs(3_600);
/// Time until a restarted VM is back.
const RESTART_TIME: time::Duration = time::Duration::from_secs(120);
/// Time until a lost fabric domain is back.
const FABRIC_DOWNTIME: time::Duration = time::Duration::from_secs(7_200);

/// The events of a day and the state of the VMs at the simulated time.
#[derive(Debug)]
pub(super) struct Events {
    start: moment::Moment,
    end: moment::Moment,
    /// Time at which a VM goes down, its number, and when it returns; sorted by time.
    losses: Vec<(moment::Moment, usize, moment::Moment)>,
    /// Index of the next loss.
    next: usize,
    vms: Vec<VmState>,
    /// When a VM was last lost or returned.
    latest: moment::Moment,
}

/// State of a VM.
#[derive(Clone, Debug)]
struct VmState {
    /// Number of its fabric domain.
    fabric: usize,
    /// When it last went down or came up.
    since: moment::Moment,
    /// When it returns; `None` while it is up.
    back: Option<moment::Moment>,
    /// Number of its starts so far.
    starts: u64,
}

impl Events {
    pub(super) fn of(day: &stranded::Day, seed: u64) -> Self {
        let start = moment::Moment::from_millis(1_000_000);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let state = |fabric| VmState { fabric, since: start, back: None, starts: 1 };
        let sizes = day.fabrics.iter().enumerate();
        let vms: Vec<_> =
            sizes.flat_map(|(fabric, count)| (0..*count).map(move |_| state(fabric))).collect();
        let length = day.duration.as_secs();
        // No events in the first 15 minutes, while the first replicas form.
        let mut moment = || start + time::Duration::from_secs(rng.random_range(900..length));
        let times: Vec<_> = (0..=day.failures + day.restarts).map(|_| moment()).collect();
        let mut losses = Vec::new();
        for (number, at) in times.iter().skip(1).enumerate() {
            let span = if number < day.failures { REPLACE_TIME } else { RESTART_TIME };
            losses.push((*at, rng.random_range(0..vms.len()), *at + span));
        }
        if day.is_fabric_lost {
            let fabric = rng.random_range(0..day.fabrics.len());
            let lost = (0..vms.len()).filter(|number| vms[*number].fabric == fabric);
            losses.extend(lost.map(|number| (times[0], number, times[0] + FABRIC_DOWNTIME)));
        }
        losses.sort();
        Self { start, end: start + day.duration, losses, next: 0, vms, latest: start }
    }

    pub(super) fn start(&self) -> moment::Moment {
        self.start
    }

    pub(super) fn end(&self) -> moment::Moment {
        self.end
    }

    pub(super) fn count(&self) -> usize {
        self.vms.len()
    }

    pub(super) fn fabric(&self, number: usize) -> usize {
        self.vms[number].fabric
    }

    pub(super) fn is_up(&self, number: usize) -> bool {
        self.vms[number].back.is_none()
    }

    /// For how long a VM has been down; zero if it is up.
    pub(super) fn down_for(&self, number: usize, now: moment::Moment) -> time::Duration {
        let vm = &self.vms[number];
        vm.back.map_or(time::Duration::ZERO, |_| now.since(vm.since))
    }

    /// Applies all losses and returns that are due.
    pub(super) fn advance(&mut self, now: moment::Moment) {
        for vm in &mut self.vms {
            if vm.back.is_some_and(|back| back <= now) {
                (vm.back, vm.since, vm.starts) = (None, now, vm.starts + 1);
                self.latest = now;
            }
        }
        while let Some((at, number, back)) = self.losses.get(self.next).copied() {
            if at > now {
                return;
            }
            let vm = &mut self.vms[number];
            if vm.back.is_none() {
                vm.since = now;
            }
            vm.back = vm.back.max(Some(back));
            (self.next, self.latest) = (self.next + 1, now);
        }
    }

    /// Time until the next loss or return; the longest step if there is none.
    fn until_next(&self, now: moment::Moment) -> time::Duration {
        let loss = self.losses.get(self.next).map(|(at, _, _)| at.since(now));
        let back = self.vms.iter().filter_map(|vm| vm.back).map(|back| back.since(now)).min();
        loss.into_iter().chain(back).min().unwrap_or(MAX_STEP)
    }
}

/// Time to the next run of the planner, which is longer while nothing happens.
pub(super) fn step(events: &Events, now: moment::Moment, is_settled: bool) -> time::Duration {
    let is_quiet = is_settled && now.since(events.latest) > BUSY_TIME;
    if is_quiet { events.until_next(now).clamp(PLAN_INTERVAL, MAX_STEP) } else { PLAN_INTERVAL }
}

/// Sums the time that VMs are idle.
#[derive(Debug)]
pub(super) struct Tally {
    day: stranded::Day,
    /// Since when each VM has been idle.
    idle: collections::BTreeMap<usize, moment::Moment>,
    pub(super) measurement: stranded::Measurement,
}

impl Tally {
    pub(super) fn new(day: &stranded::Day) -> Self {
        Self {
            day: *day,
            idle: collections::BTreeMap::new(),
            measurement: stranded::Measurement::default(),
        }
    }

    /// Adds a span of time; `in_use` says which VMs belong to an intact replica.
    pub(super) fn add(
        &mut self,
        events: &Events,
        now: moment::Moment,
        span: time::Duration,
        in_use: impl Fn(usize) -> bool,
        serving: usize,
        loading: usize,
    ) {
        let seconds = span.as_secs_f64();
        let mut by_fabric = vec![0; self.day.fabrics.len()];
        for number in 0..events.count() {
            if !events.is_up(number) || in_use(number) {
                self.idle.remove(&number);
                continue;
            }
            let since = *self.idle.entry(number).or_insert(now);
            if now.since(since) > IDLE_GRACE {
                by_fabric[events.fabric(number)] += 1;
            }
        }
        self.measurement.downtime += self.day.replicas.saturating_sub(serving) as f64 * seconds;
        let wanted = self.day.replicas.saturating_sub(serving + loading);
        if wanted == 0 {
            return;
        }
        let idle: usize = by_fabric.iter().sum();
        let formable =
            by_fabric.iter().map(|count| count / self.day.size).sum::<usize>().min(wanted);
        let allowed = formable.min(stranded::MAX_LOADS.saturating_sub(loading));
        let size = self.day.size;
        self.measurement.formable += (allowed * size) as f64 * seconds;
        self.measurement.load_limited += ((formable - allowed) * size) as f64 * seconds;
        self.measurement.fragmented += (idle - formable * size) as f64 * seconds;
    }
}

/// A zone with everything that the planner reads.
struct Zone {
    release: release::Release,
    assignment: assignment::Assignment,
    observations: plan::Observations,
    vms: Vec<vm::Vm>,
    engines: Vec<Engine>,
    reports: collections::BTreeMap<id::Vm, report::Seen>,
}

/// A simulated engine.
struct Engine {
    /// Starts of its VM that it has taken into account.
    starts: u64,
    /// When it finishes loading.
    loaded: moment::Moment,
    report: report::Report,
}

/// Simulates a day with the planner that the lease holder runs.
pub fn simulate_planner(day: &stranded::Day, seed: u64) -> stranded::Measurement {
    let mut events = Events::of(day, seed);
    let mut tally = Tally::new(day);
    let mut zone = Zone::new(day, &events);
    let mut now = events.start();
    while now < events.end() {
        events.advance(now);
        zone.report(&events, now);
        let is_settled = zone.round(now);
        let is_intact = |replica: &&assignment::Replica| {
            replica.vms.iter().all(|member| {
                let number = zone.number(&member.id);
                let report = &zone.engines[number].report;
                events.is_up(number)
                    && report.replica.as_ref() == Some(&replica.id)
                    && report.epoch == replica.epoch
            })
        };
        let intact: Vec<_> = zone.assignment.replicas.iter().filter(is_intact).collect();
        let serving =
            intact.iter().filter(|replica| replica.phase == assignment::Phase::Serving).count();
        let in_use = |number: usize| {
            let is_member =
                |r: &&&assignment::Replica| r.vms.iter().any(|vm| zone.number(&vm.id) == number);
            intact.iter().any(|replica| is_member(&replica))
        };
        let span = step(&events, now, is_settled && serving == intact.len());
        tally.add(&events, now, span, in_use, serving, intact.len() - serving);
        now = now + span;
    }
    tally.measurement
}

impl Zone {
    fn new(day: &stranded::Day, events: &Events) -> Self {
        let set = release::ReplicaSet {
            service: "chat".into(),
            zone: "z".into(),
            vms: u16::try_from(day.size).unwrap_or(u16::MAX),
            replicas: u16::try_from(day.replicas).unwrap_or(u16::MAX),
            model: "m".to_owned(),
            adapter: String::new(),
            version: "1".to_owned(),
            fencing: release::Fencing::Checked,
            cold_limit: 2,
        };
        let name = |number: usize| id::Vm::from(format!("vm-{number:03}").as_str());
        let vms = (0..events.count()).map(|number| vm::Vm {
            id: name(number),
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: "z".into(),
            fabric: format!("f{}", events.fabric(number)).as_str().into(),
            role: vm::Role::Engine,
            state: vm::State::Live,
            accelerators: 4,
        });
        let engine = |number| {
            let report = report::Report::idle(name(number), 1);
            Engine { starts: 1, loaded: events.start(), report }
        };
        Self {
            release: release::Release {
                sets: [("a".into(), set)].into(),
                ..release::Release::default()
            },
            assignment: assignment::Assignment::default(),
            observations: plan::Observations::default(),
            vms: vms.collect(),
            engines: (0..events.count()).map(engine).collect(),
            reports: collections::BTreeMap::new(),
        }
    }

    /// Number of a VM, from its name.
    fn number(&self, vm: &id::Vm) -> usize {
        vm.as_str().trim_start_matches("vm-").parse().unwrap_or(0)
    }

    /// Updates the reports of the VMs that are up; a VM that was down returns without a loaded
    /// model.
    fn report(&mut self, events: &Events, now: moment::Moment) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            if !events.is_up(number) {
                continue;
            }
            let starts = events.vms[number].starts;
            if engine.starts != starts {
                engine.starts = starts;
                engine.report = report::Report::idle(engine.report.vm.clone(), starts);
            }
            if engine.report.phase == report::Phase::Loading && now >= engine.loaded {
                engine.report.phase = report::Phase::Ready;
            }
            let seen = report::Seen { at: now, report: engine.report.clone() };
            self.reports.insert(engine.report.vm.clone(), seen);
        }
    }

    /// Runs the planner, stores its assignment and delivers its orders; returns whether there was
    /// nothing to do.
    fn round(&mut self, now: moment::Moment) -> bool {
        self.observations.observe(&self.assignment, &self.reports, now);
        let view = plan::View {
            zone: &"z".into(),
            release: &self.release,
            assignment: &self.assignment,
            vms: &self.vms,
            reports: &self.reports,
            observations: &self.observations,
            routers: &["n1", "n2"],
            token: 1,
            max_loads: stranded::MAX_LOADS,
            max_age: REPORT_MAX_AGE,
            activity: &activity::Activity::default(),
        };
        let plan = plan::plan(&view, now);
        let is_settled = plan.next.is_none() && plan.orders.is_empty();
        if let Some(next) = plan.next {
            self.assignment = next;
            self.observations.observe(&self.assignment, &self.reports, now);
        }
        plan.orders.iter().for_each(|order| self.execute(order, now));
        is_settled
    }

    /// Executes an order on its VM, unless the VM is down.
    fn execute(&mut self, order: &plan::Order, now: moment::Moment) {
        let number = self.number(&order.vm.id);
        let is_up = self.reports.get(&order.vm.id).is_some_and(|seen| seen.at == now);
        if !is_up {
            return;
        }
        let engine = &mut self.engines[number];
        match &order.kind {
            plan::Kind::Join { replica, epoch, .. } => {
                let is_loaded = engine.report.replica.as_ref() == Some(replica)
                    && engine.report.phase == report::Phase::Ready;
                (engine.report.replica, engine.report.epoch) = (Some(replica.clone()), *epoch);
                (engine.report.model, engine.report.version) = ("m".to_owned(), "1".to_owned());
                if !is_loaded {
                    engine.report.phase = report::Phase::Loading;
                    engine.loaded = now + stranded::LOAD_TIME;
                }
            }
            plan::Kind::Load { .. } => {}
            plan::Kind::Release { epoch } => {
                let (vm, starts) = (engine.report.vm.clone(), engine.starts);
                if engine.report.epoch <= *epoch {
                    engine.report = report::Report::idle(vm.clone(), starts);
                }
                self.observations.confirm(&vm, *epoch);
            }
        }
    }
}

const _: () =
    assert!(IDLE_GRACE.as_secs() == plan::ORDER_TIMEOUT.as_secs() + REPORT_MAX_AGE.as_secs());
