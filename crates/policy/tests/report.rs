//! Guards against the load of an earlier start of an engine that counts for the present one: the
//! engine would look warm just after its start.

use std::time::Duration;

use corneltrestle_policy::report::{Load, Phase, Relayed, Report, Seen};
use corneltrestle_policy::{Moment, id};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);
const OLD_START: u64 = 7;
const NEW_START: u64 = 8;

fn at(seconds: u32) -> Moment {
    Moment::ZERO + SECOND * seconds
}

fn load(finished: u64) -> Load {
    Load { running: 2, waiting: 0, finished }
}

/// A report of the present start, which the node polled 10 s after its own start.
fn polled() -> Seen {
    let replica = Some(id::Replica { set: "chat".into(), index: 0 });
    let report = Report { replica, epoch: 1, finished: 3, phase: Phase::Ready, ..idle() };
    Seen { at: at(10), report }
}

fn idle() -> Report {
    Report::idle("vm-0".into(), NEW_START)
}

#[test_case(Some(OLD_START); "with its start")]
#[test_case(None; "without a start, as the peer had sent it before")]
fn a_load_that_is_older_than_the_report_is_ignored(start: Option<u64>) {
    let mut seen = polled();
    seen.merge(&Relayed { at: at(9), start, load: Some(load(150)) });
    assert_eq!(seen, polled());
}

#[test]
fn a_start_that_comes_without_its_load_begins_with_none() {
    let mut seen = polled();
    seen.merge(&Relayed { at: at(11), start: Some(NEW_START + 1), load: None });
    assert_eq!((seen.report.start, seen.report.finished), (NEW_START + 1, 0));
}

#[test]
fn a_later_load_is_taken() {
    let mut seen = polled();
    seen.merge(&Relayed { at: at(11), start: None, load: Some(load(5)) });
    assert_eq!((seen.report.start, seen.report.finished, seen.report.running), (NEW_START, 5, 2));
    seen.merge(&Relayed { at: at(11), start: Some(NEW_START), load: Some(load(4)) });
    assert_eq!(seen.report.finished, 5, "the count of a start does not fall");
}
