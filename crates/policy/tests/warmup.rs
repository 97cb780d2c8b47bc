//! Guards against too many requests in progress at cold upstreams.

use std::time::Duration;

use corneltrestle_policy::assignment::{Baseline, Phase, Replica};
use corneltrestle_policy::id;
use corneltrestle_policy::warmup::{self, Limits, Warmup};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const LIMITS: Limits = Limits { cold: 2, full: 40 };

#[derive(Clone, Copy, Debug)]
enum Op {
    Dispatch(usize),
    Finish(usize),
    Observe(usize, usize),
    Reopen(usize, usize),
    Restart,
    LoseCache,
}

/// The level after this many finished requests, computed independently of the code under test.
fn level(finished: u64) -> u32 {
    let doublings = (0..5).take_while(|k| 2 * ((2 << k) - 1) <= finished).count();
    (2 << doublings).min(LIMITS.full)
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        80 => any::<usize>().prop_map(Op::Dispatch),
        40 => any::<usize>().prop_map(Op::Finish),
        40 => (any::<usize>(), 0..5usize).prop_map(|(router, age)| Op::Observe(router, age)),
        4 => (any::<usize>(), 0..5usize).prop_map(|(router, age)| Op::Reopen(router, age)),
        1 => Just(Op::Restart),
        1 => Just(Op::LoseCache),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..Default::default()
    })]

    /// Guards against routers with outdated reports that together exceed the level of a cold
    /// upstream.
    #[test]
    fn total_in_progress_stays_within_the_level(
        number in 1..9usize, ops in prop::collection::vec(op(), 1..300),
    ) {
        let names: Vec<String> = (0..=number).map(|i| format!("node-{i}")).collect();
        let (mut start, mut finished, mut reports) = (1u64, 0u64, vec![0u64]);
        let mut base = 0;
        // The last router is not listed in the assignment.
        let mut views = vec![Warmup::new(LIMITS, start, 0); number + 1];
        let mut busy = vec![0u32; number + 1];
        // Requests that each router had in progress at the latest fall-back and still has.
        let mut carried = vec![0u32; number + 1];
        for op in ops {
            let ordered = warmup::order_routers(start, names[..number].iter().map(String::as_str));
            match op {
                Op::Dispatch(router) => {
                    let r = router % (number + 1);
                    if views[r].permits(&ordered, &names[r], busy[r]) {
                        busy[r] += 1;
                        let total: u32 = busy.iter().sum();
                        let level = level(finished - base);
                        let excess = |r: usize| {
                            let slots = warmup::slots(level, &ordered, &names[r]);
                            carried[r].saturating_sub(slots)
                        };
                        let most = level + (0..=number).map(excess).sum::<u32>();
                        prop_assert!(level == LIMITS.full || total <= most, "{total} above {most}");
                    }
                }
                Op::Finish(router) => {
                    let r = router % (number + 1);
                    if busy[r] > 0 {
                        busy[r] -= 1;
                        carried[r] = carried[r].min(busy[r]);
                        finished += 1;
                        reports.push(finished);
                    }
                }
                Op::Observe(router, age) => {
                    let seen = reports[reports.len().saturating_sub(1 + age)];
                    views[router % (number + 1)].observe(start, seen);
                }
                // A restarted router has nothing in progress and no earlier view of the upstream,
                // so it cannot know of a cache loss before its start.
                Op::Reopen(router, age) if base == 0 => {
                    let seen = reports[reports.len().saturating_sub(1 + age)];
                    let r = router % (number + 1);
                    views[r] = Warmup::new(LIMITS, start, seen);
                    (busy[r], carried[r]) = (0, 0);
                }
                Op::Reopen(..) => {}
                Op::Restart => {
                    (start, finished, base, reports) = (start + 1, 0, 0, vec![0]);
                    views.iter_mut().for_each(|view| view.observe(start, 0));
                    busy.fill(0);
                    carried.fill(0);
                }
                Op::LoseCache => {
                    base = finished;
                    views.iter_mut().for_each(|view| view.observe(start, finished));
                    views.iter_mut().for_each(Warmup::cache_lost);
                    carried.clone_from(&busy);
                }
            }
        }
    }

    /// Guards against slots that go to two routers, to none, or to nodes that are not listed.
    #[test]
    fn slots_are_partitioned(level in 0..5_000u32, number in 1..60usize, start in any::<u64>()) {
        let names: Vec<String> = (0..number).map(|i| format!("node-{i}")).collect();
        let ordered = warmup::order_routers(start, names.iter().map(String::as_str));
        let total: u32 = names.iter().map(|name| warmup::slots(level, &ordered, name)).sum();
        prop_assert_eq!(total, level);
        prop_assert_eq!(warmup::slots(level, &ordered, "other"), 0);
    }
}

#[test_case(0, 2)]
#[test_case(1, 2)]
#[test_case(2, 4)]
#[test_case(5, 4)]
#[test_case(6, 8)]
#[test_case(14, 16)]
#[test_case(62, 40; "full")]
fn level_doubles_after_as_many_finished_requests(finished: u64, level: u32) {
    let mut warmup = Warmup::new(LIMITS, 1, 0);
    warmup.observe(1, finished);
    assert_eq!((warmup.level(), warmup.is_warm()), (level, level == LIMITS.full));
}

/// Guards against a restarted router that cannot use warm upstreams, and against one that counts
/// work of an earlier epoch as warm-up.
#[test_case(62, 0, 40; "warm since its start")]
#[test_case(6, 0, 8; "warming up")]
#[test_case(62, 62, 2; "new epoch")]
#[test_case(62, 60, 4; "new epoch and two more")]
#[test_case(62, 100, 2; "report from before the epoch")]
fn first_level_follows_the_engines_counter(finished: u64, base: u64, level: u32) {
    assert_eq!(Warmup::new(LIMITS, 1, finished).with_base(base).level(), level);
}

/// Guards against a base count that belongs to another start or epoch of the head's engine.
#[test_case(0, 0, 50; "start not known")]
#[test_case(7, 20, 20; "same start")]
#[test_case(6, 20, 0; "restarted since")]
fn replica_is_cold_from_the_count_at_which_it_began(start: u64, finished: u64, base: u64) {
    let replica = Replica {
        id: id::Replica { set: "a".into(), index: 0 },
        epoch: 2,
        fabric: "f".into(),
        vms: Vec::new(),
        phase: Phase::Serving,
        routers: Vec::new(),
        baseline: Baseline { start, finished },
    };
    assert_eq!(replica.cold_baseline(7, 50), base);
}

/// Guards against an upstream that keeps its level although its cache is cold again.
#[test_case(|w| w.observe(2, 100); "new start id")]
#[test_case(|w| w.cache_lost(); "lost cache")]
#[test_case(|w| (0..3).for_each(|_| {
    w.first_token(Duration::from_secs(2), Duration::from_secs(1));
}); "slow first tokens")]
fn level_falls_back(event: fn(&mut Warmup)) {
    let mut warmup = Warmup::new(LIMITS, 1, 0);
    warmup.observe(1, 100);
    event(&mut warmup);
    assert_eq!(warmup.level(), LIMITS.cold);
}
