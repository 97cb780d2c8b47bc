//! Formation of groups for several services by one coordinator, which decides for one after the other.

#[path = "support/engines.rs"]
#[allow(dead_code, reason = "the tests of one service use the rest")]
mod engines;

use std::{collections, time::Duration};

use corneltrestle_policy::{
    Moment,
    formation::{self, Order, Step},
    id,
};
use engines::Engines;
use test_case::test_case;

/// Seconds in which an undisturbed fleet forms its groups: one load, two joins and slack.
const SETTLE_S: u32 = 20;

/// Decisions in a second.
const TICKS: u32 = 10;

/// Services whose VMs share a coordinator.
struct Services(Vec<Engines>);

impl Services {
    /// Opens services with an engine each, and domains of as many VMs.
    fn open(domains: usize, vms: usize) -> Self {
        let open = |name: &str| {
            let mut engines = Engines::of(engines::engine_of(4, 3));
            engines.service = name.into();
            (0..domains * vms).for_each(|vm| engines.add(vm % domains));
            engines
        };
        Self(vec![open("drafts"), open("notes"), open("summaries")])
    }

    /// Decides for each service, and advances the time.
    fn tick(&mut self) -> Vec<Step> {
        let all: Vec<_> = self.0.iter().flat_map(Engines::registrations).collect();
        let mut steps = Vec::new();
        for index in 0..self.0.len() {
            let (before, from) = self.0.split_at_mut(index);
            let engines = &mut from[0];
            if let Some(previous) = before.last_mut() {
                std::mem::swap(&mut engines.state, &mut previous.state);
            }
            let own = engines.service.clone();
            engines.others = all.iter().filter(|vm| vm.service != own).cloned().collect();
            steps.extend(engines.tick(|_| true));
        }
        let (first, rest) = self.0.split_at_mut(1);
        std::mem::swap(&mut first[0].state, &mut rest.last_mut().expect("a service").state);
        steps
    }

    fn run(&mut self, seconds: u32) -> Vec<Step> {
        (0..seconds * TICKS).flat_map(|_| self.tick()).collect()
    }

    /// Runs until all groups are formed, then lets requests arrive.
    fn settle(&mut self) {
        self.run(SETTLE_S);
        self.0.iter_mut().for_each(|engines| engines.has_traffic = true);
    }

    fn groups(&self, index: usize) -> usize {
        self.0[index].serving("large") + self.0[index].serving("small")
    }
}

/// Guards against groups that are never formed again after the loss of members, as the decision for one
/// service drops what was known of the others.
#[test_case(0; "of the first service")]
#[test_case(1; "of the one in between")]
#[test_case(2; "of the last service")]
fn groups_of_each_service_are_repaired(damaged: usize) {
    let mut services = Services::open(3, 9);
    services.settle();
    let before: Vec<usize> = (0..3).map(|index| services.groups(index)).collect();
    assert!(before.iter().all(|groups| *groups >= 6), "{before:?}");
    for loss in 0..before[damaged] {
        services.0[damaged].lose_member(loss * 5);
        services.run(2);
        services.0[damaged].lapse();
    }
    services.run(SETTLE_S);
    let after: Vec<usize> = (0..3).map(|index| services.groups(index)).collect();
    let left = services.0[damaged].len();
    assert!(after[damaged] * 4 >= left * 2 / 3, "{after:?} groups, {left} VMs are left");
    for index in (0..3).filter(|index| *index != damaged) {
        assert_eq!(after[index], before[index], "a service without losses");
    }
}

/// Guards against spare VMs that never load the model of a group that lacks one, as the time for which
/// they were free is dropped in the decision for another service.
#[test]
fn spare_vm_of_each_service_completes_a_group() {
    for index in 0..3 {
        let mut services = Services::open(1, 8);
        services.settle();
        let before = services.groups(index);
        assert_eq!(before, 2);
        services.0[index].lose_member_of("small", 0);
        services.run(2);
        services.0[index].lapse();
        services.run(SETTLE_S);
        assert_eq!(services.groups(index), before, "service {index}");
    }
}

/// Guards against groups of a service that are dissolved, or ordered about, in the decision for another
/// one.
#[test]
fn undisturbed_services_leave_each_other_alone() {
    let mut services = Services::open(3, 9);
    services.settle();
    let before: Vec<usize> = (0..3).map(|index| services.groups(index)).collect();
    assert_eq!(services.run(10), []);
    assert_eq!((0..3).map(|index| services.groups(index)).collect::<Vec<_>>(), before);
    let planned: Vec<usize> =
        services.0.iter().map(|one| services.0[0].state.planned(one.service.as_str())).collect();
    assert_eq!(planned, before, "planned groups");
}

/// Guards against more loads than the weight store bears, as each service keeps its limits alone.
#[test]
fn loads_of_all_services_keep_the_limits_together() {
    let mut services = Services::open(3, 9);
    services.settle();
    for engines in &mut services.0 {
        (0..18).for_each(|vm| engines.add(vm % 3));
    }
    let limits = services.0[0].engine.load_limits;
    let is_load =
        |step: &Step| matches!(&step.order, Order::Join { members, .. } if members.len() == 1);
    let mut begun = collections::BTreeMap::<id::Vm, Moment>::new();
    let mut most = (0, 0);
    for _ in 0..40 * TICKS {
        let now = services.0[0].now;
        let steps = services.tick();
        begun.extend(steps.into_iter().filter(is_load).map(|step| (step.vm, now)));
        let within = |span| begun.values().filter(|at| now.since(**at) < span).count();
        // The simulated VMs load in four seconds.
        most = (
            most.0.max(within(Duration::from_secs(1))),
            most.1.max(within(Duration::from_secs(4))),
        );
    }
    let (rate, parallel) = most;
    assert!(rate as f64 <= limits.rate, "{rate} loads in a second");
    assert!(parallel <= limits.parallel as usize, "{parallel} loads at the same time");
    assert!(begun.len() >= 27, "{} loads", begun.len());
}

/// Guards against what is known of a service that is no longer declared, and acts when it is back.
#[test]
fn service_that_is_no_longer_declared_is_forgotten() {
    let mut services = Services::open(3, 9);
    services.settle();
    let state: &mut formation::State = &mut services.0[0].state;
    state.retain_services(|service| service.as_str() != "notes");
    assert_eq!(state.planned("notes"), 0);
    assert!(state.planned("drafts") > 0);
    let before = services.groups(1);
    assert_eq!(services.run(5), [], "its groups are adopted as they are");
    assert_eq!(services.groups(1), before);
}
