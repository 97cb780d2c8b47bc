//! Guards against nodes that are killed before they have stopped.

use std::time::Duration;

use corneltrestle_kernel::{
    settings::{Key, Section, Settings, Type},
    shutdown::{self, Times},
};
use test_case::test_case;

static NODE: Section = Section {
    name: "node",
    help: "The node.",
    keys: &[
        Key::new("drain-delay", Type::millis(0, 60_000), "2500ms", "Delay."),
        Key::new("drain-limit", Type::millis(0, 600_000), "5s", "Limit."),
        shutdown::SETTING,
    ],
};

fn parse(text: &str) -> Settings {
    Settings::parse("node.ini", text, &[&NODE]).unwrap()
}

#[test_case("", 2_500, 7_500; "no grace")]
#[test_case("grace = 0s", 2_500, 7_500; "no limit")]
#[test_case("grace = 9s", 2_500, 7_500; "longer than the limit")]
#[test_case("grace = 8s", 2_500, 7_500; "just long enough")]
#[test_case("grace = 7s", 2_500, 6_500; "shorter than the limit")]
#[test_case("grace = 3s", 2_000, 2_500; "as long as the delay and its margin")]
#[test_case("grace = 2s", 1_000, 1_500; "shorter than the delay")]
#[test_case("grace = 1001ms", 1, 501; "the shortest")]
fn stop_ends_before_the_node_is_killed(line: &str, delay: u64, end: u64) {
    let settings = parse(&format!("[node]\n{line}\n"));
    assert!(shutdown::check(&settings).is_ok());
    let (delay, end) = (Duration::from_millis(delay), Duration::from_millis(end));
    assert_eq!(Times::configured(&settings), Times { delay, end });
}

#[test_case("1ms"; "shortest")]
#[test_case("1s"; "longest")]
fn grace_that_is_too_short_for_any_stop_is_an_error(grace: &str) {
    let settings = parse(&format!("[node]\ngrace = {grace}\n"));
    let error = shutdown::check(&settings).unwrap_err().to_string();
    let expected = format!("[node] grace: found {grace}; expected more than 1s, or 0s");
    assert!(error.contains(&expected), "{error}");
}
