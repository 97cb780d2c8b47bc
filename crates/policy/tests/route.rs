//! Guards against requests that go to loaded or cold upstreams, all to the same one of several
//! equal ones, or to one that no longer caches their prefix.

use std::time::Duration;

use corneltrestle_policy::Moment;
use corneltrestle_policy::id;
use corneltrestle_policy::prefix::{Event, Index};
use corneltrestle_policy::route::{self, Candidate, Params};
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

const NOW: Moment = Moment::from_millis(10_000);
const SENT: [Moment; 2] = [Moment::from_millis(8_000), Moment::from_millis(9_500)];
const BASE: Candidate<'_> = Candidate {
    running: 4,
    waiting: 1,
    reported: Moment::from_millis(9_000),
    dispatches: &[],
    cached_blocks: 0,
    latency: Duration::ZERO,
    permitted: true,
};

fn params() -> Params {
    Params { prompt_blocks: 200, nodes: 10, dispatch_rate: 5.0, ..Params::default() }
}

#[test_case(Candidate { waiting: 5, ..BASE }; "longer queue")]
#[test_case(Candidate { running: 8, ..BASE }; "more running")]
#[test_case(Candidate { dispatches: &SENT, ..BASE }; "own dispatch since the report")]
#[test_case(Candidate { reported: Moment::from_millis(5_000), ..BASE }; "older report")]
#[test_case(Candidate { latency: Duration::from_millis(15), ..BASE }; "farther zone")]
#[test_case(Candidate { waiting: 0, running: 0, permitted: false, ..BASE }; "cold without a slot")]
fn worse_candidates_are_not_chosen(worse: Candidate<'_>) {
    let mut rng = StdRng::seed_from_u64(18);
    for _ in 0..100 {
        assert_eq!(route::choose(&[worse, BASE], &params(), NOW, &mut rng), Some(1));
    }
}

#[test]
fn candidates_that_are_not_permitted_are_never_chosen() {
    let (mut rng, cold) = (StdRng::seed_from_u64(19), Candidate { permitted: false, ..BASE });
    assert_eq!(route::choose(&[cold], &params(), NOW, &mut rng), None);
    assert_eq!(route::two_choices(&[cold], &mut rng), None);
    assert_eq!(route::prefix_affinity(&[cold], 1.25, &mut rng), None);
}

/// Guards against herding on one of several equal candidates, and against a cached prefix that the
/// random sample misses.
#[test]
fn ties_spread_and_a_cached_prefix_is_found() {
    let mut rng = StdRng::seed_from_u64(20);
    let mut candidates = vec![BASE; 100];
    let mut chosen = [0; 100];
    for _ in 0..10_000 {
        chosen[route::choose(&candidates, &params(), NOW, &mut rng).unwrap()] += 1;
    }
    assert!(chosen.iter().all(|count| (50..150).contains(count)), "{chosen:?}");
    candidates[70].cached_blocks = 150;
    candidates[71] = Candidate { cached_blocks: 150, latency: Duration::from_millis(90), ..BASE };
    let found = (0..200)
        .filter(|_| route::choose(&candidates, &params(), NOW, &mut rng) == Some(70))
        .count();
    assert!((60..140).contains(&found), "one of two holders is sampled each time: {found}");
    candidates[71] = BASE;
    assert_eq!(route::choose(&candidates, &params(), NOW, &mut rng), Some(70));
    assert_eq!(route::prefix_affinity(&candidates, 1.25, &mut rng), Some(70));
    candidates[70].waiting = 20;
    assert_ne!(route::choose(&candidates, &params(), NOW, &mut rng), Some(70));
    assert_ne!(route::prefix_affinity(&candidates, 1.25, &mut rng), Some(70));
}

#[test_case(1, &[], 500, 3; "own dispatch")]
#[test_case(2, &[], 500, 0; "new start id")]
#[test_case(1, &[(1, 13, false)], 500, 3; "late eviction of a recent dispatch")]
#[test_case(1, &[(1, 12, false)], 9_000, 1; "eviction")]
#[test_case(1, &[(5, 11, true), (4, 11, false)], 9_000, 3; "old sequence number")]
#[test_case(1, &[(1, 90, true), (3, 91, true)], 9_000, 0; "gap")]
#[test_case(1, &[(1, 90, true), (3, 91, true)], 500, 3; "gap after a recent dispatch")]
#[test_case(1, &[(1, 14, true), (2, 15, true)], 500, 3; "stored beyond the capacity")]
fn cache_events_correct_the_index(
    start: u64,
    events: &[(u64, u64, bool)],
    later: u64,
    cached: u32,
) {
    let (upstream, blocks) = (id::Replica { set: "s".into(), index: 0 }, [11, 12, 13]);
    let mut index = Index::new(5);
    index.record_dispatch(&upstream, 1, &blocks, NOW);
    let events: Vec<_> = events
        .iter()
        .map(|&(sequence, prefix, stored)| Event { sequence, prefix, stored })
        .collect();
    index.merge(&upstream, 1, &events, NOW + Duration::from_millis(later));
    assert_eq!(index.cached(&upstream, start, &blocks), cached);
    index.record_dispatch(&upstream, 1, &(0..100).collect::<Vec<_>>(), NOW);
    assert_eq!(index.len(), 5);
    let other = id::Replica { set: "t".into(), index: 0 };
    index.record_dispatch(&other, 1, &blocks, NOW);
    assert_eq!((index.len(), index.cached(&other, 1, &blocks)), (4, 2));
}
