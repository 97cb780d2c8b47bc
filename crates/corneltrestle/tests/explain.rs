//! Guards against timelines that lack the cause of a failure, or that contain lines about other
//! requests, upstreams or times.

use std::{fs, process::Command};

use corneltrestle::{
    command::explain::timeline::{Kind, Line, Timeline},
    kernel::logging,
};

const NODE_1: &str = "\
2026-12-04T10:00:01.000000Z INFO  node: ready version=4
2026-12-04T10:00:09.000000Z WARN  upstream: the registration has ended upstream=vm-9 revision=70
2026-12-04T10:00:10.100000Z WARN  stall: no stream of the upstream received an event in time upstream=vm-3 requests=7 unread=0
2026-12-04T10:00:10.101000Z WARN  route: attempt failed: the upstream is stalled id=r-1 upstream=vm-3 offer=1
2026-12-04T10:00:10.102000Z WARN  route: attempt failed: the upstream is stalled id=r-2 upstream=vm-3 offer=1
2026-12-04T10:00:10.900000Z WARN  route: request failed id=r-1 route=draft took_ms=1400 organisation=none code=deadline-exceeded outcome=unknown step=relay cause=\"the time was up before the answer was complete\" events=3 revision=81 facts_ms=12 sent=\"vm-3 at 0 ms, first event predicted in 90 ms, failed at 601 ms: the upstream is stalled; vm-5 at 603 ms, first event predicted in 400 ms\"
2026-12-04T10:00:11.000000Z INFO  route: request answered id=r-2 route=draft took_ms=1500 status=200 first_ms=80 pause_ms=300 events=20 offers=2 sent=\"vm-3 at 0 ms, first event predicted in 90 ms, failed at 590 ms: the upstream is stalled; vm-5 at 592 ms, first event predicted in 300 ms\"
";

const NODE_2: &str = "\
2026-12-04T10:00:10.050000Z WARN  group: the VM does not answer and counts as lost vm=vm-3 probes=2
2026-12-04T10:00:10.060000Z WARN  store: out of reach: status 503 dependency=store
2026-12-04T10:05:00.000000Z WARN  group: the VM does not answer and counts as lost vm=vm-3 probes=2
";

fn lines() -> Vec<Line> {
    let of = |process: &str, text: &str| -> Vec<Line> {
        let entries = text.lines().filter_map(logging::Entry::parse);
        entries.map(|entry| Line { process: process.to_owned(), entry }).collect()
    };
    [of("node-2", NODE_2), of("node-1", NODE_1)].concat()
}

fn has_line(timeline: &Timeline, text: &str) -> bool {
    timeline.lines.iter().any(|line| line.entry.message.contains(text))
}

#[test]
fn causes_of_failed_request_include_state_of_its_upstream() {
    let timeline = Timeline::build("r-1", lines()).expect("a timeline");
    assert_eq!(timeline.kind, Kind::Request);
    assert_eq!(timeline.causes[0], "the time was up before the answer was complete");
    let found = |text: &str| timeline.causes.iter().any(|cause| cause.contains(text));
    assert!(found("no stream of the upstream received an event in time (vm-3, found by node-1)"));
    assert!(found("the VM does not answer and counts as lost (vm-3, found by node-2)"));
}

#[test]
fn timeline_omits_other_requests_upstreams_and_times() {
    let timeline = Timeline::build("r-1", lines()).expect("a timeline");
    assert!(timeline.lines.iter().all(|line| line.entry.field("id") != Some("r-2")));
    assert!(!has_line(&timeline, "the registration has ended"));
    assert!(!has_line(&timeline, "node: ready"));
    // The state of node 2 is irrelevant to a request at node 1.
    assert!(!has_line(&timeline, "store: out of reach"));
    let lost = timeline.lines.iter().filter(|line| line.entry.message.contains("counts as lost"));
    assert_eq!(lost.count(), 1, "the line of five minutes later is included");
}

#[test]
fn lines_are_sorted_by_time() {
    let timeline = Timeline::build("r-1", lines()).expect("a timeline");
    assert!(timeline.lines.is_sorted_by_key(|line| line.entry.time));
}

#[test]
fn answered_request_has_no_cause() {
    let timeline = Timeline::build("r-2", lines()).expect("a timeline");
    assert!(timeline.causes.is_empty(), "{:?}", timeline.causes);
}

#[test]
fn timeline_of_upstream_holds_lines_of_all_processes() {
    let timeline = Timeline::build("vm-3", lines()).expect("a timeline");
    assert_eq!(timeline.kind, Kind::Upstream);
    let processes: Vec<_> = timeline.lines.iter().map(|line| line.process.as_str()).collect();
    assert!(processes.contains(&"node-1") && processes.contains(&"node-2"));
}

#[test]
fn unknown_id_has_no_timeline() {
    assert_eq!(Timeline::build("r-3", lines()), None);
}

#[test]
fn command_prints_the_timeline_and_fails_without_one() {
    let dir = std::env::temp_dir().join(format!("corneltrestle-explain-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("the directory is created");
    let files = [("node-1.log", NODE_1), ("node-2.log", NODE_2)];
    for (name, text) in files {
        fs::write(dir.join(name), text).expect("the file is written");
    }
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_corneltrestle"));
        command.arg("explain").args(arguments);
        command
            .args(files.iter().map(|(name, _)| dir.join(name)))
            .output()
            .expect("the command runs")
    };
    let output = run(&["r-1"]);
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(output.status.success());
    assert!(text.starts_with("request r-1: failed after 1400 ms at relay"), "{text}");
    assert!(text.contains("sent:  vm-5 at 603 ms"), "{text}");
    let json = run(&["--json", "r-1"]);
    let value: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(value["kind"], "request");
    assert_eq!(run(&["r-3"]).status.code(), Some(1));
    fs::remove_dir_all(dir).expect("the directory is removed");
}
