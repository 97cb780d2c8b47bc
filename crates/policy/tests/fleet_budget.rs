//! Guards against limits that each node keeps but all nodes together exceed.

#[path = "support/seeded.rs"]
mod seeded;
#[path = "support/simulation.rs"]
mod simulation;
#[path = "support/usage_reports.rs"]
mod usage_reports;

use std::time::Duration;

use corneltrestle_policy::{Moment, deployment, pacing, retry::fleet};
use proptest::prelude::*;
use simulation::{Decision, Reports, Run};
use test_case::test_case;
use usage_reports::ByReports;

/// The decision as nodes make it, with the tables of one service.
struct ByShare {
    limits: fleet::Limits,
    nodes: fleet::Nodes,
    allowance: fleet::Allowance,
}

impl Decision for ByShare {
    fn start(limits: fleet::Limits, is_bootstrap: bool, number: usize, now: Moment) -> Self {
        let mut nodes = fleet::Nodes::new(is_bootstrap, now);
        nodes.observe(number, now, now);
        Self { limits, nodes, allowance: fleet::Allowance::new(limits) }
    }

    fn observe(&mut self, number: usize, now: Moment) {
        self.nodes.observe(number, now, now);
    }

    fn count(&mut self, now: Moment) {
        self.allowance.count(now);
    }

    fn take(&mut self, _: &Reports, purpose: fleet::Purpose, now: Moment) -> bool {
        self.allowance.take(purpose, self.nodes.part(&self.limits, now), now)
    }

    fn usage(&mut self, now: Moment) -> fleet::Usage {
        self.allowance.usage(now)
    }
}

/// Requests that go through five full upstreams from one second on, beside upstreams that are lost at
/// all nodes at the same time. What nodes know of each other passes through hubs: it is up to 900 ms
/// old when it arrives, and a new message arrives every 250 ms on average.
fn overload(nodes: usize) -> Run {
    let delay = (Duration::from_millis(240), Duration::from_millis(900));
    let lost = vec![(15, 0.5), (20, 0.2)];
    let loss = 0.8;
    Run { nodes, delay, loss, rejections: 5.0, full_from: 20, lost, length: 32, ..Run::default() }
}

/// Guards against retries of all nodes together beyond the limit, whatever the nodes know of each
/// other: with messages that are late and lost, uneven loads that move between the nodes, processes
/// that are killed, frozen and started again, upstreams that are lost at all nodes at the same time,
/// and attempts that arrive up to a second after their decision.
#[test]
fn retries_of_all_nodes_stay_within_the_limit() {
    let load = (
        prop::sample::select(vec![8, 75, 295]),
        prop::sample::select(vec![60.0, 543.0]),
        1.0..50.0f64,
        prop::option::of(11u64..30),
        prop::option::of((11u64..20, 20u64..30)),
    );
    let faults = (
        0u64..3_000,
        0.0..1.0f64,
        0.0..0.05f64,
        0.0..0.05f64,
        prop::collection::vec((1u64..39, 0.1..1.0f64), 0..5),
        prop::sample::select(vec![0.0, 0.1, 1.0]),
    );
    seeded::run(16, (any::<u64>(), load, faults), |(seed, load, faults)| {
        let (nodes, rate, unevenness, shift, rush) = load;
        let (delay, loss, restarts, freezes, lost, rejections) = faults;
        let delay = (Duration::from_millis(80), Duration::from_millis(400 + delay));
        let run = Run {
            seed,
            nodes,
            rate,
            unevenness,
            shift,
            rush,
            delay,
            loss,
            rejections,
            lost,
            restarts,
            freezes,
            rejected_as: fleet::Purpose::Lost,
            ..Run::default()
        };
        let (ratio, retries, allowed) = run.play::<ByShare>().worst(&run.limits);
        prop_assert!(ratio <= 1.0, "{retries} retries, {allowed} allowed");
        Ok(())
    });
}

/// Guards against shares that add up to more than the limit in the cases of which the nodes know
/// least, such as a load that moves from some nodes to the others after the former have used their
/// shares. All retries may use the whole share here.
#[test_case(Run { unevenness: 1_000.0, shift: Some(20), ..overload(75) }; "load moves")]
#[test_case(Run { unevenness: 1_000.0, shift: Some(15), ..overload(295) }; "load moves, 295 nodes")]
#[test_case(Run { restarts: 0.5, ..overload(75) }; "restarts")]
#[test_case(Run { restarts: 0.5, ..overload(295) }; "restarts, 295 nodes")]
#[test_case(Run { freezes: 0.5, rush: Some((15, 19)), ..overload(75) }; "freezes in a rush")]
#[test_case(Run { loss: 1.0, ..overload(75) }; "no messages")]
#[test_case(overload(8); "8 nodes")]
#[test_case(overload(75); "75 nodes")]
#[test_case(overload(295); "295 nodes")]
fn retries_under_overload_stay_within_the_limit(run: Run) {
    let run = Run { rejected_as: fleet::Purpose::Lost, ..run };
    let (ratio, retries, allowed) = run.play::<ByShare>().worst(&run.limits);
    println!("{} nodes: {retries} retries, {allowed} allowed", run.nodes);
    assert!(ratio <= 1.0, "{retries} retries, {allowed} allowed");
}

/// Guards against a simulation that shows no excess: the previous decision exceeds the limit in it.
#[test_case(8)]
#[test_case(75)]
#[test_case(295)]
fn previous_decision_exceeds_the_limit(nodes: usize) {
    let run = overload(nodes);
    let (ratio, retries, allowed) = run.play::<ByReports>().worst(&run.limits);
    println!("{nodes} nodes: {retries} retries, {allowed} allowed");
    assert!(ratio > 1.0, "{retries} retries, {allowed} allowed");
}

/// Guards against requests that fail for want of a retry when upstreams are lost, as the budget of all
/// nodes is divided into small shares.
#[test_case(8)]
#[test_case(75)]
#[test_case(295)]
fn requests_of_lost_upstreams_are_retried(nodes: usize) {
    for rejections in [0.0, 0.3] {
        let run = Run { nodes, rejections, lost: vec![(30, 0.1)], ..Run::default() };
        let (present, previous) = (run.play::<ByShare>(), run.play::<ByReports>());
        let granted = |outcome: &simulation::Outcome| (outcome.granted, outcome.wanted);
        println!(
            "{nodes} nodes, {rejections} rejections: {:?}, previously {:?}",
            granted(&present),
            granted(&previous)
        );
        assert!(present.granted * 100 >= present.wanted * 95, "{:?}", granted(&present));
    }
}

/// Guards against a burst of rejections by full upstreams that leaves nothing for requests whose
/// upstream is lost.
#[test]
fn rejections_use_half_of_the_share() {
    let limits = fleet::Limits { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
    let mut allowance = fleet::Allowance::new(limits);
    let now = Moment::from_millis(60_000);
    (0..200).for_each(|_| allowance.count(now));
    let mut granted = |purpose| (0..200).filter(|_| allowance.take(purpose, 0.0, now)).count();
    assert_eq!(granted(fleet::Purpose::Full), 10);
    assert_eq!(granted(fleet::Purpose::Lost), 10);
    assert_eq!(granted(fleet::Purpose::Full), 0);
}

/// Guards against a share that is used again before attempts which may arrive a second late have left
/// the window.
#[test]
fn attempts_count_until_the_last_window_they_may_arrive_in() {
    let limits = fleet::Limits { ratio: 0.2, slack: 2.0, window: Duration::from_secs(10) };
    let mut allowance = fleet::Allowance::new(limits);
    let mut take = |millis: u64| {
        allowance.take(fleet::Purpose::Lost, 2.0, Moment::from_millis(60_000 + millis))
    };
    assert_eq!([0, 100, 200].map(&mut take), [true, true, false]);
    assert_eq!([10_900, 11_000, 11_050, 11_100].map(&mut take), [false, true, false, true]);
}

/// Guards against a part of the slack that is used twice: by two processes of a node, by a node that
/// the others do not know yet, or by nodes that take each other for gone while they are cut off.
#[test]
fn part_of_the_slack_is_used_once() {
    let limits = fleet::Limits { ratio: 0.2, slack: 30.0, window: Duration::from_secs(10) };
    let at = |millis: u64| Moment::from_millis(60_000 + millis);
    let mut restarted = fleet::Nodes::new(false, at(0));
    assert_eq!(restarted.part(&limits, at(40_000)), 0.0, "no number of nodes is known");
    restarted.observe(5, at(100), at(100));
    restarted.observe(5, at(19_000), at(19_000));
    assert_eq!(restarted.part(&limits, at(19_900)), 0.0);
    assert_eq!(restarted.part(&limits, at(20_000)), 6.0);
    restarted.observe(10, at(21_000), at(21_000));
    restarted.observe(4, at(22_000), at(22_000));
    assert_eq!(restarted.part(&limits, at(22_000)), 3.0);
    restarted.observe(4, at(600_000), at(600_000));
    assert_eq!(restarted.part(&limits, at(600_000)), 3.0);
    let mut first = fleet::Nodes::new(true, at(0));
    first.observe(1, at(100), at(100));
    first.observe(3, at(900), at(900));
    assert_eq!([1_800, 1_900].map(|now| first.part(&limits, at(now))), [0.0, 10.0]);
}

/// Guards against a node that is cut off from the store and its peers, and keeps its larger part of the
/// slack while the deployment grows. It uses all that it may until it has none; the new nodes do so
/// from the time at which they have a part. Retries arrive as late as they may.
#[test_case(8, 1, 16)]
#[test_case(8, 8, 16)]
#[test_case(20, 10, 60)]
fn slack_of_nodes_that_are_cut_off_stays_within_the_limit(old: usize, cut: usize, new: usize) {
    let limits = fleet::Limits { ratio: 0.0, slack: 134.0, window: Duration::from_secs(10) };
    let at = |millis: u64| Moment::from_millis(60_000 + millis);
    let start = |number| {
        let mut nodes = fleet::Nodes::new(false, at(0));
        nodes.observe(number, at(0), at(0));
        (nodes, fleet::Allowance::new(limits))
    };
    let mut all: Vec<_> = (0..old).map(|_| start(old)).collect();
    let mut arrivals = Vec::new();
    // All others register at 40 s, just after which the first nodes are cut off.
    for millis in (0..90_000).step_by(100) {
        if millis == 40_000 {
            all.extend((old..new).map(|_| {
                let nodes = fleet::Nodes::new(false, at(millis));
                (nodes, fleet::Allowance::new(limits))
            }));
        }
        let number = if millis < 40_000 { old } else { new };
        for (index, (nodes, allowance)) in all.iter_mut().enumerate() {
            let is_cut_off = index < cut && millis >= 40_000;
            if !is_cut_off {
                nodes.observe(number, at(millis), at(millis));
            } else {
                nodes.observe(old, at(39_900), at(millis));
            }
            let part = nodes.part(&limits, at(millis));
            while allowance.take(fleet::Purpose::Lost, part, at(millis)) {
                arrivals
                    .push(at(millis) + if is_cut_off { fleet::MAX_LAG } else { Duration::ZERO });
            }
        }
    }
    arrivals.sort_unstable();
    for (index, first) in arrivals.iter().enumerate() {
        let later = arrivals[index..].iter();
        let number = later.take_while(|at| at.since(*first) < limits.window).count();
        assert!(number as f64 <= limits.slack, "{number} retries from {first:?} on");
    }
    assert!(!arrivals.is_empty(), "the nodes use the slack");
}

/// Sends a request to a cold upstream if the node's pacing allows it; returns whether it did.
fn send(
    pacing: &mut pacing::Pacing,
    cold: &deployment::Cold,
    position: pacing::Position,
    until: Moment,
    now: Moment,
) -> bool {
    let vm = "vm-1".into();
    let allowed = pacing.allows(&vm, cold, Some(position), until, now);
    if allowed {
        pacing.count(&vm, now);
    }
    allowed
}

/// Moments of the requests to a cold upstream when each node sends as often as it may. A node
/// learns of the upstream's start up to `skew` milliseconds late.
fn sent_to_cold(nodes: usize, cold: &deployment::Cold, skew: u64) -> Vec<Moment> {
    let mut all = vec![pacing::Pacing::default(); nodes];
    let mut sent = Vec::new();
    for step in 0..300 {
        let now = Moment::from_millis(1_000 + step * 10);
        for (index, pacing) in all.iter_mut().enumerate() {
            let late = Duration::from_millis(index as u64 * 37 % (skew + 1));
            let until = Moment::from_millis(4_000) + late;
            let position = pacing::Position { index, nodes };
            if send(pacing, cold, position, until, now) {
                sent.push(now);
            }
        }
    }
    sent
}

/// Guards against a cold upstream that gets more requests from all nodes together than it sustains.
#[test]
fn cold_upstream_gets_no_more_than_it_sustains() {
    // Upstreams sustain 1.5 times the published rate, plus five requests.
    let sustained = |rate: f64| rate * 1.5 + 5.0;
    for rate in [4.0, 10.0, 20.0, 40.0] {
        let cold = deployment::Cold { span: Duration::from_secs(3), rate };
        for nodes in [1, 3, 8, 25, 75, 340] {
            let sent = sent_to_cold(nodes, &cold, 150);
            for (position, first) in sent.iter().enumerate() {
                let later = sent[position..].iter();
                let number =
                    later.take_while(|at| at.since(*first) < Duration::from_secs(1)).count();
                assert!(
                    number as f64 <= sustained(rate),
                    "{number} requests in a second from {nodes} nodes at a rate of {rate}"
                );
            }
        }
    }
}

/// Guards against pacing that leaves a cold upstream idle, so that it never warms up.
#[test]
fn cold_upstream_is_used() {
    let cold = deployment::Cold { span: Duration::from_secs(3), rate: 20.0 };
    for nodes in [1, 3, 8, 25, 75] {
        let sent = sent_to_cold(nodes, &cold, 150).len();
        assert!(sent >= 20, "{sent} requests in three seconds from {nodes} nodes");
    }
}

/// Guards against a node that gets no turn at a cold upstream when there are many nodes.
#[test]
fn every_node_gets_its_turn() {
    let cold = deployment::Cold { span: Duration::from_secs(8), rate: 20.0 };
    for index in 0..75 {
        let position = pacing::Position { index, nodes: 75 };
        let mut pacing = pacing::Pacing::default();
        let until = Moment::from_millis(9_000);
        let mut moments = (0..80).map(|step| Moment::from_millis(1_000 + step * 100));
        assert!(moments.any(|now| send(&mut pacing, &cold, position, until, now)));
    }
}
