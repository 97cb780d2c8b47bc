//! A day of one zone: events, engines in simulated time, and the account of idle VMs.

use std::{collections, time};

use corneltrestle_policy::{assignment, eligibility, id, plan, release, report, vm};
use corneltrestle_time::moment;
use rand::{Rng, SeedableRng};

use crate::scenario::stranded;

/// Age at which a report no longer counts.
pub(super) const VIEW_BOUND: time::Duration = eligibility::REPORT_MAX_AGE;
/// Time for which a VM may be idle before it counts, as long as an order or view remains in effect.
pub(super) const GRACE: time::Duration = time::Duration::from_secs(13);
/// Time between two plans.
const ROUND: time::Duration = time::Duration::from_secs(1);
/// Time after an event in which each round is run.
const BUSY: time::Duration = time::Duration::from_secs(600);
/// Longest step while nothing happens.
const QUIET: time::Duration = time::Duration::from_secs(30);
/// Time until a failed VM is replaced.
const FAILED: time::Duration = time::Duration::from_secs(3_600);
/// Time until a restarted VM is back.
const RESTARTED: time::Duration = time::Duration::from_secs(120);
/// Time until a lost fabric domain is back.
const DARK: time::Duration = time::Duration::from_secs(7_200);

/// The events of a day and the VMs as they are at the present moment.
#[derive(Debug)]
pub(super) struct Events {
    start: moment::Moment,
    end: moment::Moment,
    /// When VMs go down, and until when; in order of time.
    losses: Vec<(moment::Moment, usize, moment::Moment)>,
    next: usize,
    vms: Vec<State>,
    /// The latest loss or return.
    latest: moment::Moment,
}

#[derive(Clone, Debug)]
struct State {
    fabric: usize,
    since: moment::Moment,
    /// When it returns, while it is down.
    back: Option<moment::Moment>,
    starts: u64,
}

impl Events {
    pub(super) fn of(day: &stranded::Day, seed: u64) -> Self {
        let start = moment::Moment::from_millis(1_000_000);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let state = |fabric| State { fabric, since: start, back: None, starts: 1 };
        let sizes = day.fabrics.iter().enumerate();
        let vms: Vec<_> =
            sizes.flat_map(|(fabric, count)| (0..*count).map(move |_| state(fabric))).collect();
        let length = day.length.as_secs();
        // Nothing happens while the first replicas form.
        let mut moment = || start + time::Duration::from_secs(rng.random_range(900..length));
        let times: Vec<_> = (0..=day.failures + day.restarts).map(|_| moment()).collect();
        let mut losses = Vec::new();
        for (number, at) in times.iter().skip(1).enumerate() {
            let span = if number < day.failures { FAILED } else { RESTARTED };
            losses.push((*at, rng.random_range(0..vms.len()), *at + span));
        }
        if day.is_fabric_lost {
            let fabric = rng.random_range(0..day.fabrics.len());
            let lost = (0..vms.len()).filter(|number| vms[*number].fabric == fabric);
            losses.extend(lost.map(|number| (times[0], number, times[0] + DARK)));
        }
        losses.sort();
        Self { start, end: start + day.length, losses, next: 0, vms, latest: start }
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

    /// For how long a VM has been down.
    pub(super) fn down_for(&self, number: usize, now: moment::Moment) -> time::Duration {
        let vm = &self.vms[number];
        vm.back.map_or(time::Duration::ZERO, |_| now.since(vm.since))
    }

    /// Lets everything happen that is due.
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

    /// Time until the next loss or return.
    fn until_next(&self, now: moment::Moment) -> time::Duration {
        let loss = self.losses.get(self.next).map(|(at, _, _)| at.since(now));
        let back = self.vms.iter().filter_map(|vm| vm.back).map(|back| back.since(now)).min();
        loss.into_iter().chain(back).min().unwrap_or(QUIET)
    }
}

/// The step to the next round: longer ones while nothing happens.
pub(super) fn step(events: &Events, now: moment::Moment, is_settled: bool) -> time::Duration {
    let is_quiet = is_settled && now.since(events.latest) > BUSY;
    if is_quiet { events.until_next(now).clamp(ROUND, QUIET) } else { ROUND }
}

/// The account of idle VMs.
#[derive(Debug)]
pub(super) struct Tally {
    day: stranded::Day,
    /// Since when each VM has been idle.
    idle: collections::BTreeMap<usize, moment::Moment>,
    pub(super) outcome: stranded::Outcome,
}

impl Tally {
    pub(super) fn new(day: &stranded::Day) -> Self {
        Self {
            day: *day,
            idle: collections::BTreeMap::new(),
            outcome: stranded::Outcome::default(),
        }
    }

    /// Adds a span in which `engaged` says which VMs are in a sound replica.
    pub(super) fn add(
        &mut self,
        events: &Events,
        now: moment::Moment,
        span: time::Duration,
        engaged: impl Fn(usize) -> bool,
        serving: usize,
        loading: usize,
    ) {
        let seconds = span.as_secs_f64();
        let mut by_fabric = vec![0; self.day.fabrics.len()];
        for number in 0..events.count() {
            if !events.is_up(number) || engaged(number) {
                self.idle.remove(&number);
                continue;
            }
            let since = *self.idle.entry(number).or_insert(now);
            if now.since(since) > GRACE {
                by_fabric[events.fabric(number)] += 1;
            }
        }
        self.outcome.down += self.day.replicas.saturating_sub(serving) as f64 * seconds;
        let wanted = self.day.replicas.saturating_sub(serving + loading);
        if wanted == 0 {
            return;
        }
        let idle: usize = by_fabric.iter().sum();
        let formable =
            by_fabric.iter().map(|count| count / self.day.size).sum::<usize>().min(wanted);
        let allowed = formable.min(stranded::LOADS.saturating_sub(loading));
        let size = self.day.size;
        self.outcome.formable += (allowed * size) as f64 * seconds;
        self.outcome.waiting += ((formable - allowed) * size) as f64 * seconds;
        self.outcome.scattered += (idle - formable * size) as f64 * seconds;
    }
}

/// The zone as the planner sees it.
struct Zone {
    release: release::Release,
    assignment: assignment::Assignment,
    memory: plan::Observations,
    vms: Vec<vm::Vm>,
    engines: Vec<Engine>,
    reports: collections::BTreeMap<id::Vm, report::Seen>,
}

struct Engine {
    starts: u64,
    loaded: moment::Moment,
    report: report::Report,
}

/// Runs a day with the planner of the lease holder.
pub fn planned(day: &stranded::Day, seed: u64) -> stranded::Outcome {
    let mut events = Events::of(day, seed);
    let mut tally = Tally::new(day);
    let mut zone = Zone::new(day, &events);
    let mut now = events.start();
    while now < events.end() {
        events.advance(now);
        zone.report(&events, now);
        let is_still = zone.round(now);
        let is_sound = |replica: &&assignment::Replica| {
            replica.vms.iter().all(|member| {
                let number = zone.number(&member.id);
                let report = &zone.engines[number].report;
                events.is_up(number)
                    && report.replica.as_ref() == Some(&replica.id)
                    && report.epoch == replica.epoch
            })
        };
        let sound: Vec<_> = zone.assignment.replicas.iter().filter(is_sound).collect();
        let serving =
            sound.iter().filter(|replica| replica.phase == assignment::Phase::Serving).count();
        let engaged = |number: usize| {
            let is_member =
                |r: &&&assignment::Replica| r.vms.iter().any(|vm| zone.number(&vm.id) == number);
            sound.iter().any(|replica| is_member(&replica))
        };
        let span = step(&events, now, is_still && serving == sound.len());
        tally.add(&events, now, span, engaged, serving, sound.len() - serving);
        now = now + span;
    }
    tally.outcome
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
            memory: plan::Observations::default(),
            vms: vms.collect(),
            engines: (0..events.count()).map(engine).collect(),
            reports: collections::BTreeMap::new(),
        }
    }

    fn number(&self, vm: &id::Vm) -> usize {
        vm.as_str().trim_start_matches("vm-").parse().unwrap_or(0)
    }

    /// Takes the reports of the VMs that are up; one that was down comes back empty.
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

    /// Plans, stores the plan and delivers its orders; whether there was nothing to do.
    fn round(&mut self, now: moment::Moment) -> bool {
        self.memory.observe(&self.assignment, &self.reports, now);
        let view = plan::View {
            zone: &"z".into(),
            release: &self.release,
            assignment: &self.assignment,
            vms: &self.vms,
            reports: &self.reports,
            observations: &self.memory,
            routers: &["n1", "n2"],
            token: 1,
            max_loads: stranded::LOADS,
            max_age: VIEW_BOUND,
        };
        let plan = plan::plan(&view, now);
        let is_still = plan.next.is_none() && plan.orders.is_empty();
        if let Some(next) = plan.next {
            self.assignment = next;
            self.memory.observe(&self.assignment, &self.reports, now);
        }
        plan.orders.iter().for_each(|order| self.obey(order, now));
        is_still
    }

    fn obey(&mut self, order: &plan::Order, now: moment::Moment) {
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
                    engine.loaded = now + stranded::LOAD;
                }
            }
            plan::Kind::Load { .. } => {}
            plan::Kind::Release { epoch } => {
                let (vm, starts) = (engine.report.vm.clone(), engine.starts);
                if engine.report.epoch <= *epoch {
                    engine.report = report::Report::idle(vm.clone(), starts);
                }
                self.memory.confirm(&vm, *epoch);
            }
        }
    }
}

const _: () = assert!(GRACE.as_secs() == plan::ORDER_TIMEOUT.as_secs() + VIEW_BOUND.as_secs());
