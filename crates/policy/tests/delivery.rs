//! Guards against responses with text of another request, with missing or repeated tokens, and
//! against incomplete ones that count as complete.

use corneltrestle_policy::Moment;
use corneltrestle_policy::delivery::{Delivery, Event, Verdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const NOW: Moment = Moment::from_millis(1_000);
const DEADLINE: Moment = Moment::from_millis(2_000);

fn event(request: &str, index: u64) -> Event<'_> {
    Event { request, index }
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Next,
    Repeat(u64),
    Skip(u64),
    Foreign(u64),
    Cut,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        30 => Just(Op::Next),
        3 => (1..4u64).prop_map(Op::Repeat),
        1 => (1..4u64).prop_map(Op::Skip),
        1 => (0..3u64).prop_map(Op::Foreign),
        1 => Just(Op::Cut),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..Default::default()
    })]

    /// Guards against delivering anything but the upstream's text: what the caller has received is
    /// always a prefix of it, and all of it if the response counts as complete.
    #[test]
    fn delivered_text_is_the_upstreams_text(
        length in 0..40u64, ops in prop::collection::vec(op(), 1..90),
    ) {
        let token = |index: u64| format!("<{index}>");
        let upstream: String = (0..length).map(token).collect();
        let mut delivery = Delivery::new("own");
        // Index of the upstream's next token, text received by the caller, number of resumes.
        let (mut at, mut received, mut resumes) = (0u64, String::new(), 0);
        for op in ops {
            let (request, index) = match op {
                Op::Next => ("own", at),
                Op::Repeat(back) => ("own", at.saturating_sub(back)),
                Op::Skip(ahead) => ("own", at + ahead),
                Op::Foreign(ahead) => ("other", at + ahead),
                Op::Cut => ("own", u64::MAX),
            };
            let text = if request == "own" { token(index) } else { "foreign".to_owned() };
            let verdict = match op {
                Op::Cut => Verdict::Closed,
                Op::Next if index >= length => delivery.end(),
                // The upstream has no such token.
                Op::Repeat(_) if index >= length => continue,
                _ => delivery.check(&Event { request, index }),
            };
            match verdict {
                Verdict::Deliver if delivery.is_complete() => break,
                Verdict::Deliver => {
                    received.push_str(&text);
                    at = index + 1;
                }
                Verdict::Drop => prop_assert!(index < at),
                _ => match delivery.resume(DEADLINE, NOW) {
                    None => break,
                    Some(next) => {
                        resumes += 1;
                        prop_assert_eq!(next, at);
                    }
                },
            }
            prop_assert!(upstream.starts_with(&received), "{received}");
            prop_assert_eq!(delivery.next_index(), at);
        }
        prop_assert!(resumes <= u32::from(Delivery::MAX_RESUMES));
        prop_assert!(!delivery.is_complete() || received == upstream);
    }
}

#[test_case("own", 2, Verdict::Deliver; "next in order")]
#[test_case("own", 0, Verdict::Drop; "repeated")]
#[test_case("own", 3, Verdict::Gap; "gap")]
#[test_case("other", 2, Verdict::Mismatch; "foreign in order")]
#[test_case("other", 0, Verdict::Mismatch; "foreign and repeated")]
fn events_are_checked(request: &str, index: u64, expected: Verdict) {
    let mut delivery = Delivery::new("own");
    (0..2).for_each(|index| assert_eq!(delivery.check(&event("own", index)), Verdict::Deliver));
    assert_eq!(delivery.check(&event(request, index)), expected);
    let after = delivery.check(&event("own", 2 + u64::from(expected == Verdict::Deliver)));
    let faulty = matches!(expected, Verdict::Gap | Verdict::Mismatch);
    assert_eq!(after, if faulty { Verdict::Closed } else { Verdict::Deliver });
}

/// Guards against a cut-off response that counts as complete, and against resumes without limit.
#[test]
fn resumes_are_bounded() {
    let mut delivery = Delivery::new("own");
    delivery.check(&event("own", 0));
    assert!(delivery.resume(DEADLINE, DEADLINE).is_none(), "the deadline has passed");
    for _ in 0..Delivery::MAX_RESUMES {
        assert_eq!(delivery.resume(DEADLINE, NOW), Some(1));
    }
    assert!(delivery.resume(DEADLINE, NOW).is_none());
    assert_eq!(delivery.end(), Verdict::Closed);
    assert!(!delivery.is_complete());
}
