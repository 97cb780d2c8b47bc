//! Guards against wrong verdicts on error budgets, and against counts that are lost, doubled or
//! kept without bound.

use std::time::Duration;

use corneltrestle_policy::Moment;
use corneltrestle_policy::burn::{Counts, Recorder, Totals, Verdict, evaluate};
use corneltrestle_policy::release::Targets;
use test_case::test_case;

fn requests(requests: u64, failed: u64) -> Counts {
    Counts { requests, whole: requests - failed, ..Counts::default() }
}

/// Guards against a verdict that follows one window alone, such as a burst that ended long ago or
/// has only just begun.
#[test_case(0, 0, 0, Verdict::NoData)]
#[test_case(0, 0, 500, Verdict::Ok; "errors only long ago")]
#[test_case(2, 0, 0, Verdict::Ok; "errors only in the short window")]
#[test_case(2, 20, 0, Verdict::SlowBurn)]
#[test_case(10, 100, 0, Verdict::FastBurn)]
#[test_case(10, 100, 900, Verdict::Exhausted)]
fn verdicts_follow_the_error_budget(short: u64, long: u64, day: u64, expected: Verdict) {
    let idle = expected == Verdict::NoData;
    let part = |all: u64, failed: u64| requests(if idle { 0 } else { all }, failed);
    let totals = Totals {
        short: part(1_000, short),
        long: part(10_000, short.max(long)),
        day: part(1_000_000, short.max(long) + day),
    };
    let ratings = evaluate(&totals, &Targets::default());
    assert_eq!(Verdict::of(&ratings), expected, "{ratings:?}");
}

/// Guards against errors that leave a window too early or too late, and against counts that are
/// lost or doubled when the totals of two nodes are added.
#[test_case(0, 1, 1, 1)]
#[test_case(4, 1, 1, 1)]
#[test_case(5, 0, 1, 1; "left the short window")]
#[test_case(59, 0, 1, 1)]
#[test_case(60, 0, 0, 1; "left the long window")]
#[test_case(1_430, 0, 0, 1)]
#[test_case(1_440, 0, 0, 0; "left the day")]
fn counts_leave_each_window_at_its_end(age: u64, short: u64, long: u64, day: u64) {
    let mut recorder = Recorder::default();
    let at = Moment::from_millis(600_000 * 1_000);
    assert!(recorder.record("s", "o", &requests(1, 1), at));
    let now = at + Duration::from_secs(60 * age);
    assert!(recorder.record("s", "o", &Counts::default(), now));
    let (.., totals) = recorder.totals(now).next().unwrap();
    let mut merged = totals;
    merged.add(&totals);
    let seen = [merged.short, merged.long, merged.day].map(|counts| counts.requests);
    assert_eq!(seen, [2 * short, 2 * long, 2 * day]);
    let minutes = recorder.minutes("s", "o", now);
    assert_eq!(minutes.iter().position(|m| m.requests == 1), (age < 60).then_some(age as usize));
}

/// Guards against memory that grows with each pair of service and organisation, and against a full
/// recorder that stays full after pairs were removed.
#[test]
fn pairs_are_bounded() {
    let mut recorder = Recorder::default();
    let recorded = (0..Recorder::MAX_PAIRS + 10)
        .filter(|i| recorder.record("s", &i.to_string(), &requests(1, 0), Moment::ZERO))
        .count();
    assert_eq!(recorded, Recorder::MAX_PAIRS);
    recorder.retain(|_, organisation| organisation.as_str() == "7");
    assert!(recorder.record("s", "other", &requests(1, 0), Moment::ZERO));
    assert_eq!(recorder.totals(Moment::ZERO).count(), 2);
}

/// Guards against counts that the history loses or doubles where one-minute steps meet ten-minute
/// steps.
#[test_case(0)]
#[test_case(7)]
#[test_case(59)]
fn history_adds_up_to_the_day(start: u64) {
    let mut recorder = Recorder::default();
    let at = |minute: u64| Moment::ZERO + Duration::from_secs(60 * minute);
    let last = start + 1_300;
    for minute in start..=last {
        recorder.record("s", "o", &requests(minute + 1, minute % 3), at(minute));
    }
    let mut sum = Counts::default();
    let history = recorder.history("s", "o", at(last));
    history.iter().for_each(|(_, counts)| sum.add(counts));
    let (_, _, totals) = recorder.totals(at(last)).next().unwrap();
    assert_eq!(sum, totals.day);
    let mut hour = Counts::default();
    history.iter().filter(|(age, _)| *age < 60).for_each(|(_, counts)| hour.add(counts));
    assert_eq!(hour, totals.long);
}
