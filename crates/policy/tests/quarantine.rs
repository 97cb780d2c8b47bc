//! Prompt parts that crash upstreams, and sound ones that are lost with them.

use std::time::Duration;

use corneltrestle_policy::{
    Moment,
    quarantine::{Crash, Limits, Part, Quarantine},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SHARED: Part = Part(1);
const SUBJECT: Part = Part(2);
const FAULTY: Part = Part(3);

fn at(millis: u64) -> Moment {
    Moment::from_millis(60_000 + millis)
}

fn crash(number: u64, parts: &[Part], at: Moment) -> Crash {
    Crash { upstream: number, request: number / 2, parts: parts.to_vec(), sent: at, at }
}

/// Guards against requests that take down one upstream after the other.
#[test]
fn part_of_all_crashed_requests_is_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine.record_sound(&[SHARED], at(0));
    for number in 0..4 {
        assert_eq!(quarantine.check(&[SHARED, FAULTY], at(1_000)), None);
        quarantine.record_crash(crash(number, &[SHARED, FAULTY], at(number)));
    }
    assert!(quarantine.check(&[SHARED, FAULTY], at(1_000)).is_some());
    assert_eq!(quarantine.check(&[SHARED, SUBJECT], at(1_000)), None);
}

/// Guards against refusals of sound requests: many of them are lost at once with their upstreams, or
/// by connections that are reset, and begin elsewhere.
#[test]
fn part_that_begins_between_crashes_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    for number in 0..40 {
        let now = at(number * 500);
        if number % 3 == 2 {
            quarantine.record_sound(&[SUBJECT], now);
        }
        quarantine.record_crash(crash(number, &[SUBJECT], now));
        assert_eq!(quarantine.check(&[SUBJECT], now), None);
    }
}

/// Guards against a crash that counts once for each of the requests that it took along.
#[test]
fn requests_lost_with_one_upstream_are_one_crash() {
    let mut quarantine = Quarantine::default();
    for request in 0..20 {
        let at = at(request);
        quarantine.record_crash(Crash { upstream: 7, request, parts: vec![SUBJECT], sent: at, at });
    }
    assert_eq!(quarantine.check(&[SUBJECT], at(100)), None);
}

/// Guards against sound requests that are evidence as they were sent to an upstream that another one
/// had crashed before; the evidence of nodes arrives in any order.
#[test]
fn request_to_an_upstream_that_was_down_is_no_evidence() {
    let first = |number| crash(number, &[FAULTY], at(number));
    let later = |number| {
        let sent = at(number + 40);
        let parts = vec![SUBJECT];
        Crash { upstream: number, request: 100 + number, parts, sent, at: sent }
    };
    for crashes in [
        (0..4).map(first).chain((0..4).map(later)).collect::<Vec<_>>(),
        (0..4).map(later).chain((0..4).map(first)).collect(),
    ] {
        let mut quarantine = Quarantine::default();
        for crash in crashes {
            quarantine.record_crash(crash);
        }
        assert_eq!(quarantine.check(&[SUBJECT], at(1_000)), None);
        assert!(quarantine.check(&[FAULTY], at(1_000)).is_some());
    }
}

/// Guards against the same where a single request has crashed all upstreams.
#[test]
fn part_of_all_requests_is_not_blamed_for_the_crashes_of_one() {
    let mut quarantine = Quarantine::default();
    for upstream in 0..4 {
        let now = at(upstream);
        let lost = |request, parts: &[Part]| {
            let parts = parts.to_vec();
            Crash { upstream, request, parts, sent: now, at: now }
        };
        quarantine.record_crash(lost(0, &[SHARED, FAULTY]));
        quarantine.record_crash(lost(1 + upstream, &[SHARED, SUBJECT]));
    }
    assert_eq!(quarantine.check(&[SHARED, SUBJECT], at(1_000)), None);
    assert_eq!(quarantine.check(&[SHARED], at(1_000)), None);
}

/// Guards against a first part that is quarantined as it is in all requests, where a few of them crash
/// all upstreams before any has begun.
#[test]
fn part_of_all_requests_is_not_blamed_where_a_rarer_one_explains_the_crashes() {
    let mut quarantine = Quarantine::default();
    let own = |number: u64| Part(100 + number);
    for request in 0..2 {
        for upstream in 0..4 {
            let now = at(request * 2_500 + upstream);
            let process = request * 4 + upstream;
            let lost = |request, parts: &[Part]| {
                let parts = parts.to_vec();
                Crash { upstream: process, request, parts, sent: now, at: now }
            };
            quarantine.record_crash(lost(request, &[SHARED, own(request), FAULTY]));
            for other in 0..3 {
                let other = 10 + request * 20 + upstream * 4 + other;
                quarantine.record_crash(lost(other, &[SHARED, own(other % 3)]));
            }
        }
    }
    let now = at(3_000);
    for number in 0..3 {
        assert_eq!(quarantine.check(&[SHARED, own(number)], now), None);
    }
    assert!(quarantine.check(&[SHARED, own(7), FAULTY], now).is_some());
    quarantine.record_sound(&[SHARED, own(0)], at(3_100));
    assert!(quarantine.check(&[SHARED, own(7), FAULTY], at(3_200)).is_some());
}

/// Guards against a sound part that is quarantined as it was in all requests with the faulty one.
#[test]
fn part_beside_the_faulty_one_is_tried_without_it() {
    let mut quarantine = Quarantine::default();
    for number in 0..4 {
        quarantine.record_crash(crash(number, &[SUBJECT, FAULTY], at(number)));
    }
    assert!(quarantine.check(&[SUBJECT, FAULTY], at(300)).is_some());
    assert_eq!(quarantine.check(&[SUBJECT], at(300)), None);
    assert_eq!(quarantine.record_sound(&[SUBJECT], at(400)), [SUBJECT]);
    assert!(quarantine.check(&[SUBJECT, FAULTY], at(500)).is_some());
    assert!(quarantine.check(&[FAULTY], at(500)).is_some());
}

/// Guards against a quarantine that goes round between nodes although a request with the part began.
#[test]
fn quarantine_of_a_sound_part_is_not_adopted() {
    let mut quarantine = Quarantine::default();
    quarantine.record_sound(&[SUBJECT], at(100));
    assert_eq!(quarantine.adopt(SUBJECT, at(50)), Some(at(100)));
    assert_eq!(quarantine.check(&[SUBJECT], at(110)), None);
    assert_eq!(quarantine.adopt(FAULTY, at(50)), None);
    assert!(quarantine.check(&[FAULTY], at(110)).is_some());
    quarantine.clear(FAULTY, at(120));
    assert_eq!(quarantine.check(&[FAULTY], at(130)), None);
}

/// Guards against a part that stays refused although it is sound or the engines were mended, and
/// against one trial after the other while they are not.
#[test]
fn one_request_is_tried_ever_more_rarely() {
    let mut quarantine = Quarantine::default();
    (0..4).for_each(|number| {
        quarantine.record_crash(crash(number, &[FAULTY], at(number)));
    });
    let mut now = at(300);
    let mut waits = Vec::new();
    for number in 4..12 {
        let wait = quarantine.check(&[FAULTY], now).expect("it is quarantined");
        now = now + wait;
        waits.push(wait);
        assert_eq!(quarantine.check(&[FAULTY], now), None, "one request is tried");
        assert!(quarantine.check(&[FAULTY], now).is_some(), "the next one waits for it");
        quarantine.record_crash(crash(number, &[FAULTY], now));
    }
    let limits = Limits::default();
    assert!(waits[0] >= limits.trial && waits[0] <= limits.trial * 3 / 2, "{waits:?}");
    assert!(waits[2] > waits[0] * 2, "{waits:?}");
    assert!(waits[7] >= limits.retention && waits[7] <= limits.retention * 3 / 2, "{waits:?}");
    quarantine.record_sound(&[FAULTY], now);
    assert_eq!(quarantine.check(&[FAULTY], now), None);
}

/// Guards against a trial at each node at the same moment.
#[test]
fn nodes_try_a_part_at_different_times() {
    let until_trial = |salt| {
        let mut quarantine = Quarantine::new(Limits::default(), salt);
        (0..4).for_each(|number| {
            quarantine.record_crash(crash(number, &[FAULTY], at(number)));
        });
        quarantine.check(&[FAULTY], at(300)).expect("it is quarantined")
    };
    let mut waits: Vec<_> = (0..64).map(until_trial).collect();
    waits.sort_unstable();
    assert!(waits[63] - waits[0] > Limits::default().trial / 4, "{waits:?}");
}

/// Nodes of the simulated deployment.
const NODES: usize = 8;

/// Requests that may reach upstreams after the fifth crash and [`NOTICE`].
const MAX_ARRIVALS: usize = 3;

/// Time in which all nodes must know of the part.
const NOTICE: Duration = Duration::from_secs(3);

/// A load of which one part in twenty crashes upstreams, at nodes that lose some of each other's
/// datagrams. Guards against requests that reach upstreams long after the part could be known, and
/// against sound ones that are refused.
#[test]
fn few_requests_reach_upstreams_once_the_part_is_known() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut nodes = vec![Quarantine::default(); NODES];
        let (mut crashes, mut arrivals, mut refused, mut faulty) = (Vec::new(), 0, 0, 0);
        for number in 0..1_500 {
            let now = at(number * 27);
            let is_faulty = number > 100 && rng.random_bool(0.05);
            faulty += usize::from(is_faulty);
            let node = rng.random_range(0..NODES);
            let subject = Part(100 + rng.random_range(0..200));
            let middle = if is_faulty { FAULTY } else { SUBJECT };
            let parts = [SHARED, middle, subject];
            // A crash takes along another request, and the request is tried twice.
            for attempt in 0..2 {
                if nodes[node].check(&parts, now).is_some() {
                    refused += usize::from(!is_faulty);
                    break;
                }
                if !is_faulty {
                    nodes[node].record_sound(&parts, now).into_iter().for_each(|part| {
                        nodes.iter_mut().for_each(|other| other.clear(part, now));
                    });
                    break;
                }
                if crashes.len() >= 5 && now.since(crashes[4]) > NOTICE {
                    arrivals += 1;
                }
                crashes.push(now);
                let upstream = number * 2 + attempt;
                for (request, parts) in
                    [(number, parts), (number + 10_000, [SHARED, SUBJECT, subject])]
                {
                    let parts = parts.to_vec();
                    let crash = Crash { upstream, request, parts, sent: now, at: now };
                    let Some(crash) = nodes[node].record_crash(crash) else { continue };
                    for other in (0..NODES).filter(|other| *other != node) {
                        if rng.random_bool(0.95) {
                            nodes[other].record_crash(crash.clone());
                        }
                    }
                }
            }
            if number % 10 == 0 {
                let sender = rng.random_range(0..NODES);
                let known: Vec<_> = nodes[sender].quarantined().collect();
                for (part, crashed) in known {
                    nodes.iter_mut().for_each(|node| {
                        node.adopt(part, crashed);
                    });
                }
            }
        }
        assert!(faulty >= 40, "seed {seed}: {faulty} faulty requests");
        assert!(crashes.len() <= 5 + MAX_ARRIVALS, "seed {seed}: {} crashes", crashes.len());
        assert!(arrivals <= MAX_ARRIVALS, "seed {seed}: {arrivals} arrivals");
        assert_eq!(refused, 0, "seed {seed}");
    }
}
