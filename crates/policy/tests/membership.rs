//! Guards against dead nodes that count as alive, live nodes that count as dead, and updates that
//! are forwarded forever.

#[path = "support/seeded.rs"]
mod seeded;

use std::collections::BTreeSet;
use std::time::Duration;

use corneltrestle_policy::membership::{
    DEAD_AFTER, Entry, FORGET_AFTER, Forwarded, Liveness, Members, Merged, PULL_PERIOD,
    SUSPECT_AFTER, Update,
};
use corneltrestle_policy::{Moment, id};
use proptest::collection::vec;
use proptest::prelude::{TestCaseError, prop_assert};
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

const START: Moment = Moment::from_millis(100_000);

fn members(name: &str, boot: u64, now: Moment) -> Members {
    Members::new(name.into(), "z".into(), ([127, 0, 0, 1], 1).into(), boot, now)
}

fn merge(members: &mut Members, boot: u64, heartbeat: u64, age: Duration, now: Moment) -> Merged {
    let (node, zone, address) = (&"b".into(), &"z".into(), ([127, 0, 0, 1], 2).into());
    let entry = Entry { node, zone, address, boot, heartbeat, age, draining: false };
    members.merge_entry(&entry, Duration::ZERO, now)
}

/// Pulls the digest of `from` into `to`.
fn pull(all: &mut [Members], to: usize, from: usize, round_trip: Duration, now: Moment) {
    let source = all[from].clone();
    let view = source.view(now);
    all[to].merge(view.entries(), round_trip, now + round_trip);
}

#[test_case(Duration::ZERO, Liveness::Alive)]
#[test_case(SUSPECT_AFTER, Liveness::Suspect)]
#[test_case(DEAD_AFTER, Liveness::Dead)]
fn liveness_follows_the_heartbeat_age(age: Duration, expected: Liveness) {
    let mut a = members("a", 1, START);
    merge(&mut a, 1, 1, Duration::ZERO, START);
    assert_eq!(a.view(START + age).liveness("b"), expected);
}

#[test_case(1, 9, 0, Merged::Renewed; "newer heartbeat")]
#[test_case(1, 4, 0, Merged::Unchanged; "older heartbeat")]
#[test_case(1, 5, 2_000, Merged::Unchanged; "same heartbeat over a longer path")]
#[test_case(2, 1, 0, Merged::Restarted; "restarted")]
#[test_case(2, 9, 2_000, Merged::Unchanged; "digest about an earlier process")]
#[test_case(1, 9, 60_000, Merged::Unchanged; "too old to be remembered")]
fn entries_are_merged(boot: u64, heartbeat: u64, age: u64, expected: Merged) {
    let mut a = members("a", 1, START);
    let now = START + Duration::from_secs(1);
    merge(&mut a, 1, 5, Duration::ZERO, START);
    assert_eq!(merge(&mut a, boot, heartbeat, Duration::from_millis(age), now), expected);
}

#[test_case(&[], 0, true; "the list does not name this node yet")]
#[test_case(&["a", "b"], 0, false; "all are known")]
#[test_case(&["a", "b", "c"], 0, true; "one has no known heartbeat")]
#[test_case(&["a", "b", "c"], 3_000, false; "one may be lost for good")]
fn a_starting_node_waits_for_the_nodes_of_its_zone(listed: &[&str], millis: u64, expected: bool) {
    let mut a = members("a", 1, START);
    merge(&mut a, 1, 1, Duration::ZERO, START);
    a.discover(&"c".into(), &"z".into(), ([127, 0, 0, 1], 3).into(), START);
    let view = a.view(START + Duration::from_millis(millis));
    assert_eq!(view.is_bootstrapping(listed.iter().copied()), expected);
}

#[test]
fn a_drain_is_kept_until_another_process_starts() {
    let mut a = members("a", 1, START);
    merge(&mut a, 1, 1, Duration::ZERO, START);
    assert!(!a.drain(&"b".into(), 9), "an old announcement must not drain a new process");
    assert!(a.drain(&"b".into(), 1));
    merge(&mut a, 1, 2, Duration::ZERO, START + PULL_PERIOD);
    assert_eq!(a.view(START + PULL_PERIOD).live("z").count(), 1);
    merge(&mut a, 2, 1, Duration::ZERO, START + PULL_PERIOD * 2);
    assert_eq!(a.view(START + PULL_PERIOD * 2).live("z").count(), 2);
}

#[test]
fn a_paused_node_needs_a_digest_requested_after_the_pause() {
    let mut all = [members("a", 1, START), members("b", 1, START)];
    pull(&mut all, 0, 1, Duration::ZERO, START);
    let end = START + Duration::from_secs(2);
    assert!(all[0].tick(end));
    assert!(!all[0].view(end).is_current() && !all[0].view(end).is_usable(START));
    // This digest was requested before the pause.
    pull(&mut all, 0, 1, Duration::from_secs(1), end.before(PULL_PERIOD));
    assert!(!all[0].view(end).is_current());
    pull(&mut all, 0, 1, Duration::from_millis(1), end);
    assert!(all[0].view(end).is_current() && all[0].view(end).is_usable(end));
}

#[test]
fn members_that_are_dead_for_long_are_removed_for_good() {
    let mut all = [members("a", 1, START), members("b", 1, START), members("c", 1, START)];
    pull(&mut all, 0, 1, Duration::ZERO, START);
    pull(&mut all, 2, 1, Duration::ZERO, START);
    let late = START + FORGET_AFTER;
    all[0].tick(late);
    assert!(all[0].view(late).get("b").is_none());
    pull(&mut all, 0, 2, Duration::ZERO, late);
    assert!(all[0].view(late).get("b").is_none());
    all[0].discover(&"b".into(), &"z".into(), ([127, 0, 0, 1], 2).into(), late);
    assert_eq!(all[0].view(late).liveness("b"), Liveness::Dead);
    let probes: BTreeSet<_> =
        (0..8).filter_map(|round| all[0].view(late).pull_target(round)).map(|(id, _)| id).collect();
    assert!(probes.contains(&id::Node::from("b")), "a node that is listed again is never probed");
}

#[test_case(2; "two")]
#[test_case(5; "five")]
#[test_case(16; "sixteen")]
#[test_case(43; "forty-three")]
fn information_reaches_all_nodes_in_log_n_rounds(count: usize) {
    let mut all: Vec<_> = (0..count).map(|n| members(&format!("n{n:02}"), 1, START)).collect();
    for n in 1..count {
        for other in 0..count {
            pull(&mut all, other, n, Duration::ZERO, START);
            pull(&mut all, n, other, Duration::ZERO, START);
        }
    }
    let mut informed = BTreeSet::from([0]);
    for round in 0..u64::from((count - 1).ilog2() + 1) {
        let known = informed.clone();
        for (n, own) in all.iter().enumerate() {
            let (target, _) = own.view(START).pull_target(round).unwrap();
            if known.contains(&target.as_str()[1..].parse().unwrap()) {
                informed.insert(n);
            }
        }
    }
    assert_eq!(informed.len(), count);
}

#[test]
fn updates_are_forwarded_once_to_a_few_peers() {
    let mut all: Vec<_> = (0..9).map(|n| members(&format!("n{n}"), 1, START)).collect();
    (1..9).for_each(|n| pull(&mut all, 0, n, Duration::ZERO, START));
    let sender = id::Node::from("n1");
    let targets = all[0].view(START).push_targets(Some(&sender), &mut StdRng::seed_from_u64(1));
    assert_eq!(targets.len(), 3);
    assert!(targets.iter().all(|(node, _)| **node != sender && node.as_str() != "n0"));
    let mut forwarded = Forwarded::default();
    let loss = Update::Loss { vm: "vm".into(), epoch: 1 };
    let drain = Update::Drain { node: "n1".into(), boot: 1 };
    for update in [Update::Revision(2), loss, drain] {
        assert!(forwarded.insert(&update) && !forwarded.insert(&update), "{update:?}");
    }
    assert!(!forwarded.insert(&Update::Revision(1)), "an older revision must not be forwarded");
}

/// The actual state of a node, with the moment of its latest heartbeat.
struct Truth {
    boot: u64,
    heartbeat_at: Moment,
    is_up: bool,
}

fn ages_are_never_underestimated(
    all: &[Members],
    truth: &[Truth],
    now: Moment,
) -> Result<(), TestCaseError> {
    for own in all {
        for (n, truth) in truth.iter().enumerate() {
            let Some(member) = own.view(now).get(&format!("n{n}")).cloned() else { continue };
            let is_possible =
                member.boot < truth.boot || member.heartbeat_at <= Some(truth.heartbeat_at);
            prop_assert!(is_possible, "the heartbeat age of n{n} is underestimated");
            let is_dead = now.since(truth.heartbeat_at) >= DEAD_AFTER;
            let name = format!("n{n}");
            prop_assert!(!is_dead || own.view(now).liveness(&name) == Liveness::Dead);
        }
    }
    Ok(())
}

#[test]
fn ages_are_never_underestimated_and_live_nodes_are_found_again() {
    const COUNT: usize = 4;
    let event = (0..8_u8, 0..COUNT, 0..COUNT, 0..800_u64);
    seeded::run(1_000, vec(event, 10..120), |events| {
        let mut now = START;
        let mut all: Vec<_> = (0..COUNT).map(|n| members(&format!("n{n}"), 1, now)).collect();
        let up = || Truth { boot: 1, heartbeat_at: START, is_up: true };
        let mut truth: Vec<_> = (0..COUNT).map(|_| up()).collect();
        for (kind, to, from, millis) in events {
            let span = Duration::from_millis(millis);
            match kind {
                0 => truth[to].is_up = false,
                1 if !truth[to].is_up => {
                    truth[to] = Truth { boot: truth[to].boot + 1, heartbeat_at: now, is_up: true };
                    all[to] = members(&format!("n{to}"), truth[to].boot, now);
                }
                2 | 3 if truth[to].is_up => {
                    let heartbeat = |own: &Members| {
                        own.view(now).get(own.view(now).own().as_str()).map(|m| m.heartbeat)
                    };
                    let before = heartbeat(&all[to]);
                    all[to].tick(now);
                    prop_assert!(heartbeat(&all[to]) > before, "the own heartbeat did not advance");
                    truth[to].heartbeat_at = now;
                }
                4.. if to != from && truth[to].is_up && truth[from].is_up => {
                    pull(&mut all, to, from, span, now);
                }
                _ => {}
            }
            now = now + span;
            ages_are_never_underestimated(&all, &truth, now)?;
        }
        let live: Vec<_> = (0..COUNT).filter(|n| truth[*n].is_up).collect();
        for n in &live {
            all[*n].tick(now);
        }
        for (to, from) in live.iter().flat_map(|to| live.iter().map(move |from| (*to, *from))) {
            pull(&mut all, to, from, Duration::ZERO, now);
            let liveness = all[to].view(now).liveness(&format!("n{from}"));
            prop_assert!(liveness == Liveness::Alive, "n{from} is {liveness:?} to n{to}");
        }
        Ok(())
    });
}
