//! Guards against revisions that decrease, nodes that serve too early and wrong states of a
//! rollout.

#[path = "support/seeded.rs"]
mod seeded;

use std::collections::BTreeSet;
use std::time::Duration;

use corneltrestle_policy::adoption::{
    self, Answer, Answer::Pending, Answer::Revision, Answer::Unreachable, Decision, MAX_WATCH_AGE,
    READ_SPREAD, Readiness, Reply, Rollout, Source,
};
use corneltrestle_policy::{Moment, id};
use proptest::collection::vec;
use proptest::prelude::{prop_assert, prop_assert_eq};
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

#[test_case(5, 6, Source::Peer, Decision::Adopt)]
#[test_case(5, 9, Source::Store, Decision::Adopt)]
#[test_case(0, 9, Source::Restart, Decision::Adopt)]
#[test_case(5, 5, Source::Store, Decision::Keep)]
#[test_case(5, 4, Source::Peer, Decision::PeerBehind)]
#[test_case(5, 4, Source::Store, Decision::Regressed)]
fn offered_revisions_are_decided_on(own: u64, offered: u64, source: Source, expected: Decision) {
    assert_eq!(adoption::decide(own, offered, source), expected);
}

#[test_case(Some(7), Revision(7), &[Revision(6)], Readiness::Ready; "up to date")]
#[test_case(None, Revision(7), &[Revision(8)], Readiness::Adopt(8); "peer ahead of the store")]
#[test_case(Some(0), Revision(0), &[], Readiness::Ready; "nothing declared yet")]
#[test_case(None, Revision(0), &[], Readiness::Adopt(0); "nothing read yet")]
#[test_case(None, Unreachable, &[Unreachable, Revision(6)], Readiness::Adopt(6); "peer instead of store")]
#[test_case(Some(6), Unreachable, &[Unreachable, Revision(6)], Readiness::Ready; "ready without store")]
#[test_case(Some(6), Unreachable, &[Unreachable], Readiness::Isolated; "no answer")]
#[test_case(Some(6), Unreachable, &[], Readiness::Isolated; "no peers")]
#[test_case(Some(7), Pending, &[Revision(7)], Readiness::Wait; "store pending")]
#[test_case(Some(7), Revision(7), &[Pending], Readiness::Wait; "peer pending")]
fn a_starting_node_is_ready_only_with_the_highest_revision(
    own: Option<u64>,
    store: Answer,
    peers: &[Answer],
    expected: Readiness,
) {
    assert_eq!(adoption::readiness(own, store, peers), expected);
}

#[test_case(&[Some(7), Some(8)], "in force"; "all replied")]
#[test_case(&[Some(7), Some(6), None], "behind 1"; "one behind")]
#[test_case(&[Some(7), None], "unreachable 1"; "one without a reply")]
#[test_case(&[], "unreachable 0"; "no node")]
fn a_revision_is_in_force_only_if_every_node_confirms_it(
    revisions: &[Option<u64>],
    expected: &str,
) {
    let node = id::Node::from("n");
    let replies: Vec<_> =
        revisions.iter().map(|revision| Reply { node: &node, revision: *revision }).collect();
    let found = match adoption::rollout(7, &replies) {
        Rollout::InForce => "in force".to_owned(),
        Rollout::Behind(nodes) => format!("behind {}", nodes.len()),
        Rollout::Unreachable(nodes) => format!("unreachable {}", nodes.len()),
    };
    assert_eq!(found, expected);
}

#[test]
fn two_nodes_watch_and_direct_reads_are_spread() {
    let names: Vec<_> = (0..42).map(|n| format!("n{n}")).collect();
    let live = || names.iter().map(String::as_str);
    assert_eq!(live().filter(|node| adoption::is_watcher("z", node, live())).count(), 2);
    let watched = Moment::from_millis(50_000);
    let mut rng = StdRng::seed_from_u64(1);
    let mut times: Vec<_> =
        live().map(|node| adoption::read_at("z", node, live(), watched, &mut rng)).collect();
    times.sort();
    assert!(
        times[0] >= watched + MAX_WATCH_AGE && times[41] <= watched + MAX_WATCH_AGE + READ_SPREAD
    );
    let half = times.iter().filter(|at| **at < watched + MAX_WATCH_AGE + READ_SPREAD / 2).count();
    assert_eq!(half, 21);
    let slots: BTreeSet<_> = times.iter().map(|at| at.as_micros() * 42 / 2_000_000).collect();
    assert_eq!(slots.len(), 42, "two nodes share a slot");
    assert!(times[0].since(watched) + READ_SPREAD < Duration::from_secs(6));
}

#[test]
fn revisions_never_decrease_and_spread_to_all() {
    // Each event: a node, the source that offers it a revision, and whether it restarts before (0)
    // or the head advances (1).
    seeded::run(1_000, vec((0..4_usize, 0..6_usize, 0..8_u8), 1..100), |events| {
        let (mut head, mut nodes) = (1, [None::<u64>; 4]);
        for (node, from, extra) in events {
            if extra == 0 {
                nodes[node] = None;
            }
            head += u64::from(extra == 1);
            let (offered, source) = match from {
                4 | 5 => (Some(head), Source::Store),
                peer => (nodes[peer], Source::Peer),
            };
            let Some(offered) = offered else { continue };
            let source = if nodes[node].is_none() { Source::Restart } else { source };
            let own = nodes[node].unwrap_or(0);
            let decision = adoption::decide(own, offered, source);
            prop_assert!(decision != Decision::Regressed, "the head never decreases in this test");
            let next = if decision == Decision::Adopt { offered } else { own };
            prop_assert!(next >= own && next >= offered && next <= head);
            nodes[node] = Some(next);
        }
        for node in &mut nodes {
            let store = Revision(head);
            let Readiness::Adopt(revision) = adoption::readiness(*node, store, &[]) else {
                prop_assert_eq!(*node, Some(head));
                continue;
            };
            prop_assert_eq!(revision, head);
        }
        Ok(())
    });
}
