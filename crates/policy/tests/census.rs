//! Guards against shares of a bound over all nodes that add up to more than the bound, as the
//! registrations of live nodes lapse or are not known.

#[path = "support/seeded.rs"]
mod seeded;

use std::{collections, time::Duration};

use corneltrestle_policy::{
    Moment,
    census::{Census, RENEWAL_GRACE, Registration, View},
    deployment, id, pacing,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

const STEP: Duration = Duration::from_millis(20);

/// Time to live of a registration, time between two renewals, and until a failed one is repeated.
const LEASE: Duration = Duration::from_secs(10);
const RENEWAL: Duration = Duration::from_secs(3);
const RETRY: Duration = Duration::from_millis(1_500);

/// Rate of a cold upstream, and what it sustains.
const RATE: f64 = 38.0;
const SUSTAINED: usize = 62;

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn names(number: usize) -> Vec<id::Node> {
    (0..number).map(|index| format!("node-{index:02}").as_str().into()).collect()
}

/// A node that knows all `number` nodes, itself the first one, for long.
fn settled(number: usize) -> Census {
    let all = names(number);
    let mut census = Census::new(all[0].clone(), false, at(0));
    for millis in (0..=10_000).step_by(1_000) {
        let view = View { own: Registration::Own, informed: at(millis) };
        census.observe(&all, view, at(millis));
    }
    census
}

/// Guards against a node that takes what is meant for all, as the registrations of the others have
/// lapsed, or its own with them.
#[test_case(&[0]; "those of all others")]
#[test_case(&[]; "those of all nodes")]
#[test_case(&[1, 2, 4]; "those of some nodes and its own")]
fn lapsed_registrations_do_not_raise_the_share(registered: &[usize]) {
    let (mut census, all) = (settled(6), names(6));
    let own = if registered.contains(&0) { Registration::Own } else { Registration::Absent };
    let left: Vec<_> = registered.iter().map(|index| all[*index].clone()).collect();
    for millis in (10_100..14_000).step_by(100) {
        census.observe(&left, View { own, informed: at(millis) }, at(millis));
        assert_eq!(census.share(at(millis)), 1.0 / 6.0);
        let position = pacing::Position { index: 0, nodes: 6 };
        assert_eq!(census.position(at(millis)), Some(position));
    }
    let view = View { own: Registration::Own, informed: at(14_000) };
    census.observe(&all, view, at(14_000));
    assert_eq!(census.share(at(14_000)), 1.0 / 6.0, "nodes that are back wait for nothing");
}

/// Guards against shares of lost nodes that lie idle for good, and against a node that goes on with its
/// share after the others have taken it for lost.
#[test]
fn share_of_a_lost_node_goes_to_the_others() {
    let (mut census, all) = (settled(6), names(6));
    let mut lost = settled(6);
    for millis in (10_100..20_000).step_by(100) {
        let view = |own| View { own, informed: at(millis) };
        census.observe(&all[..3], view(Registration::Own), at(millis));
        lost.observe(&all[3..], view(Registration::Absent), at(millis));
        let is_over = at(millis) >= at(10_100) + RENEWAL_GRACE;
        let expected = if is_over { (1.0 / 3.0, 0.0) } else { (1.0 / 6.0, 1.0 / 6.0) };
        assert_eq!((census.share(at(millis)), lost.share(at(millis))), expected);
    }
}

/// Guards against a share of a node that knows too little: it is not informed, or has just started while
/// registrations have lapsed, in place of an earlier process or as a new node.
#[test]
fn node_without_knowledge_has_no_share() {
    let census = settled(6);
    assert_eq!([17_900, 18_000].map(|now| census.share(at(now))), [1.0 / 6.0, 0.0]);
    let all = names(6);
    for (first, returned) in [(Registration::Earlier, 3_000), (Registration::Own, 3_000)] {
        let mut census = Census::new(all[0].clone(), false, at(0));
        for millis in (0..12_000).step_by(100) {
            let known = if millis < returned { &all[..1] } else { &all[..] };
            let own = if millis == 0 { first } else { Registration::Own };
            census.observe(known, View { own, informed: at(millis) }, at(millis));
            let share = census.share(at(millis));
            assert!(share == 0.0 || share == 1.0 / 6.0, "{share} after {millis} ms");
        }
        assert_eq!(census.share(at(12_000)), 1.0 / 6.0);
    }
}

/// A node of the fleet.
struct Node {
    name: id::Node,
    census: Census,
    pacing: pacing::Pacing,
    process: u32,
    /// Until when it is dead, and cut off from the store.
    dead_until: Moment,
    cut_until: Moment,
    renewal_due: Moment,
    /// What it last learned of the store.
    registered: Vec<id::Node>,
    view: View,
}

/// Nodes before a store, and an upstream that is cold all the time.
struct Fleet {
    nodes: Vec<Node>,
    /// Processes by registered node, with the end of their leases.
    store: collections::BTreeMap<id::Node, (u32, Moment)>,
    down_until: Moment,
    /// Whether leases do not run out during the outage.
    pauses_leases: bool,
    sent: Vec<Moment>,
}

impl Fleet {
    fn open(number: usize, now: Moment) -> Self {
        let node = |name: id::Node| Node {
            census: Census::new(name.clone(), false, now),
            name,
            pacing: pacing::Pacing::default(),
            process: 0,
            dead_until: now,
            cut_until: now,
            renewal_due: now,
            registered: Vec::new(),
            view: View { own: Registration::Absent, informed: Moment::ZERO },
        };
        Self {
            nodes: names(number).into_iter().map(node).collect(),
            store: collections::BTreeMap::new(),
            down_until: now,
            pauses_leases: false,
            sent: Vec::new(),
        }
    }

    fn step(&mut self, now: Moment) {
        let is_down = now < self.down_until;
        if is_down && self.pauses_leases {
            self.store.values_mut().for_each(|(_, until)| *until = *until + STEP);
        }
        self.store.retain(|_, (_, until)| now < *until);
        let cold = deployment::Cold { span: Duration::from_secs(600), rate: RATE };
        for node in &mut self.nodes {
            if now < node.dead_until {
                continue;
            }
            let is_reached = !is_down && now >= node.cut_until;
            if is_reached {
                if now >= node.renewal_due {
                    node.renewal_due = now + RENEWAL;
                    self.store.insert(node.name.clone(), (node.process, now + LEASE));
                }
                let own = match self.store.get(&node.name) {
                    None => Registration::Absent,
                    Some((process, _)) if *process == node.process => Registration::Own,
                    Some(_) => Registration::Earlier,
                };
                node.registered = self.store.keys().cloned().collect();
                node.view = View { own, informed: now };
            } else if now >= node.renewal_due {
                node.renewal_due = now + RETRY;
            }
            node.census.observe(&node.registered, node.view, now);
            let (upstream, until) = ("vm-1".into(), at(3_600_000));
            let position = node.census.position(now);
            while node.pacing.allows(&upstream, &cold, position, until, now) {
                node.pacing.count(&upstream, now);
                self.sent.push(now);
            }
        }
    }

    /// The most requests that the cold upstream got in a second.
    fn most(&self) -> usize {
        let within = |(index, first): (usize, &Moment)| {
            self.sent[index..]
                .iter()
                .take_while(|at| at.since(*first) < Duration::from_secs(1))
                .count()
        };
        self.sent.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

/// Guards against a cold upstream that gets more than it sustains while the store fails, so that leases
/// run out or don't, and nodes are cut off from it, lost and started again, in any order.
#[test]
fn cold_upstream_is_not_overrun_while_registrations_lapse() {
    let faults = prop::collection::vec((0u8..4, 0usize..8, 200u64..14_000, 100u64..6_000), 1..20);
    seeded::run(48, (2usize..9, any::<u64>(), faults), |(number, seed, faults)| {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = at(0);
        let mut fleet = Fleet::open(number, now);
        let run = |fleet: &mut Fleet, now: &mut Moment, millis: u64| {
            for _ in 0..millis / 20 {
                *now = *now + STEP;
                fleet.step(*now);
            }
        };
        run(&mut fleet, &mut now, 12_000);
        for (kind, index, span, pause) in faults {
            let until = now + Duration::from_millis(span);
            let node = &mut fleet.nodes[index % number];
            match kind {
                0 | 1 => (fleet.down_until, fleet.pauses_leases) = (until, kind == 1),
                2 => node.cut_until = until,
                _ => {
                    node.process += 1;
                    node.dead_until = now + Duration::from_millis(rng.random_range(100..9_000));
                    node.renewal_due = node.dead_until;
                    node.census = Census::new(node.name.clone(), false, node.dead_until);
                    node.pacing = pacing::Pacing::default();
                    node.registered.clear();
                    node.view = View { own: Registration::Absent, informed: Moment::ZERO };
                }
            }
            run(&mut fleet, &mut now, pause);
        }
        run(&mut fleet, &mut now, 20_000);
        prop_assert!(fleet.most() <= SUSTAINED, "{} requests in a second", fleet.most());
        // Calm again, the upstream is not left idle.
        fleet.sent.clear();
        run(&mut fleet, &mut now, 3_000);
        prop_assert!(fleet.most() >= SUSTAINED / 3, "only {} requests in a second", fleet.most());
        Ok(())
    });
}
