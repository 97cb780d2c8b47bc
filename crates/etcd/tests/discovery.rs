//! Guards against a malformed entry that hides the other VMs, against faults that are mistaken for
//! an empty list, and against lists of unlimited size.

#[path = "../../client/tests/support/scripted.rs"]
mod scripted;

use std::time::Duration;

use corneltrestle_etcd::discovery::{Config, HttpVms};
use corneltrestle_infra::vms::Vms;
use corneltrestle_policy::vm;
use scripted::Step::{Read, Stall, Write};
use scripted::{Scripted, Step, answer, refusing};
use test_case::test_case;

/// Short enough for cases that run into it, long enough that a response on a busy machine does not.
const TIMEOUT: Duration = Duration::from_secs(1);

fn entry(target: &str, state: &str, accelerators: &str) -> String {
    format!(
        r#"{{"targets":["{target}"],"labels":{{"vm":"v1","zone":"a","fabric":"f","role":"engine","state":"{state}","accelerators":{accelerators},"__meta":"x"}}}}"#
    )
}

fn open(address: std::net::SocketAddr) -> HttpVms {
    HttpVms::open(Config { timeout: TIMEOUT, ..Config::new(address) })
}

#[test_case(entry("10.0.0.2", "live", "\"8\""); "target without port")]
#[test_case(entry("10.0.0.2:80", "gone", "\"8\""); "unknown state")]
#[test_case(entry("10.0.0.2:80", "live", "\"x\""); "accelerators not a number")]
#[test_case(entry("10.0.0.2:80", "live", "8"); "label not a string")]
#[test_case(r#"{"targets":[],"labels":{}}"#.into(); "empty entry")]
#[test_case("7".into(); "not an object")]
#[tokio::test]
async fn malformed_entry_is_skipped(bad: String) {
    let good = entry("10.0.0.1:80", "leaving", "\"8\"");
    let list = Write(answer("200 OK", &format!("[{bad},{good}]")));
    let server = Scripted::bind(vec![vec![Read, list, Stall]]).await;
    let vms = open(server.address).list().await.unwrap();
    assert_eq!(vms.len(), 1);
    assert_eq!((vms[0].state, vms[0].accelerators), (vm::State::Leaving, 8));
    assert!(server.requests()[0].starts_with("GET /v1/vms HTTP/1.1"));
}

#[test_case(vec![Read], "read list"; "closed before the response")]
#[test_case(vec![Read, Write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[".into())], "read list"; "closed within the body")]
#[test_case(vec![Read, Write("HTTP/1.1 200 OK\r\ncontent-length: 8000001\r\n\r\n".into()), Stall], "read list"; "oversized")]
#[test_case(vec![Read, Write(answer("500 Internal Server Error", "[]")), Stall], "read list"; "http error")]
#[test_case(vec![Read, Write(answer("200 OK", "{}")), Stall], "decode list"; "not a list")]
#[test_case(vec![Read, Stall], "read list"; "stalled")]
#[tokio::test]
async fn faults_are_errors_not_empty_lists(script: Vec<Step>, step: &str) {
    let server = Scripted::bind(vec![script]).await;
    assert_eq!(open(server.address).list().await.unwrap_err().step, step);
}

#[tokio::test]
async fn refused_connection_is_an_error() {
    assert_eq!(open(refusing().await).list().await.unwrap_err().step, "read list");
}
