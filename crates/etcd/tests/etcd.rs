//! Guards against errors that misstate the effect of a store call, and against writes that are sent
//! twice.

#[path = "../../client/tests/support/scripted.rs"]
mod scripted;

use std::time::Duration;

use corneltrestle_etcd::gateway::{Config, EtcdStore, EtcdWatch};
use corneltrestle_infra::store::{Class, Event, Kind, Store, Swap, Versioned, Watch};
use scripted::Step::{Read, Stall, Write};
use scripted::{Scripted, Step, answer, refusing};
use test_case::test_case;

/// Short enough for cases that run into it, long enough that a response on a busy machine does not.
const TIMEOUT: Duration = Duration::from_secs(1);
const OK: &str = "200 OK";
const ABSENT: &str = r#"{"header":{"revision":"7"},"count":"0"}"#;
const PRESENT: &str = r#"{"header":{"revision":"7"},"kvs":[{"key":"aw==","mod_revision":"5","value":"djE="}],"count":"1"}"#;

fn open(address: std::net::SocketAddr) -> EtcdStore {
    EtcdStore::open(Config { timeout: TIMEOUT, progress_timeout: TIMEOUT, ..Config::new(address) })
}

fn ok(body: &str) -> Step {
    Write(answer(OK, body))
}

fn v1() -> Versioned {
    Versioned { version: 5, value: b"v1".to_vec() }
}

async fn swap(store: &EtcdStore) -> Result<Swap, Kind> {
    store.swap("k", 5, b"v2", Some(9), Class::Order).await.map_err(|e| e.kind)
}

#[test_case(ABSENT, None; "absent key")]
#[test_case(PRESENT, Some(v1()); "present key")]
#[tokio::test]
async fn read_returns_value_and_version(body: &str, expected: Option<Versioned>) {
    let server = Scripted::bind(vec![vec![Read, ok(body), Stall]]).await;
    let read = open(server.address).read("k", Class::Config).await;
    assert_eq!(read.unwrap(), expected);
    assert!(server.requests()[0].ends_with(r#"{"key":"aw=="}"#));
}

#[test_case(r#"{"header":{"revision":"8"},"succeeded":true,"responses":[{"response_put":{}}]}"#, Swap::Done(8); "done")]
#[test_case(r#"{"header":{"revision":"8"},"responses":[{"response_range":{"kvs":[{"mod_revision":"5","value":"djE="}]}}]}"#, Swap::Conflict(Some(v1())); "conflict")]
#[test_case(r#"{"header":{"revision":"8"},"responses":[{"response_range":{}}]}"#, Swap::Conflict(None); "key is gone")]
#[tokio::test]
async fn swap_compares_the_version_and_attaches_the_lease(body: &str, expected: Swap) {
    let server = Scripted::bind(vec![vec![Read, ok(body), Stall]]).await;
    assert_eq!(swap(&open(server.address)).await, Ok(expected));
    let compare =
        r#"{"compare":[{"key":"aw==","target":"MOD","result":"EQUAL","mod_revision":"5"}]"#;
    let request = &server.requests()[0];
    assert!(request.contains(compare) && request.contains(r#""lease":"9""#), "{request}");
}

#[test_case(vec![Read], Kind::Unknown; "closed before the response")]
#[test_case(vec![Read, Write("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"hea".into())], Kind::Unknown; "closed within the body")]
#[test_case(vec![Read, Write("HTTP/1.1 200 OK\r\n\r\n{\"header\":{\"revision\":\"8\"},\"succeeded\":true}".into())], Kind::Unknown; "body that ends with the connection")]
#[test_case(vec![Read, Write("garbage\r\n\r\n".into())], Kind::Malformed; "not http")]
#[test_case(vec![Read, ok("garbage"), Stall], Kind::Malformed; "not json")]
#[test_case(vec![Read, ok(r#"{"header":{"revision":"8"}}"#), Stall], Kind::Malformed; "conflict without value")]
#[test_case(vec![Read, Write("HTTP/1.1 200 OK\r\ncontent-length: 2000001\r\n\r\n".into()), Stall], Kind::Malformed; "oversized")]
#[test_case(vec![Read, Stall], Kind::Unknown; "response lost after the write")]
#[test_case(vec![Read, Write("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{".into()), Stall], Kind::Unknown; "stalled within the body")]
#[test_case(vec![Read, Write(answer("400 Bad Request", r#"{"code":3,"message":"m"}"#)), Stall], Kind::Refused; "client error")]
#[test_case(vec![Read, Write(answer("429 Too Many Requests", "")), Stall], Kind::Refused; "rate limit")]
#[test_case(vec![Read, Write(answer("503 Service Unavailable", r#"{"code":14}"#)), Stall], Kind::Unknown; "request timed out in the store")]
#[test_case(vec![Read, Write(answer("504 Gateway Timeout", "")), Stall], Kind::Unknown; "gateway timeout")]
#[tokio::test]
async fn error_of_a_write_states_its_effect(script: Vec<Step>, expected: Kind) {
    let server = Scripted::bind(vec![script]).await;
    assert_eq!(swap(&open(server.address)).await, Err(expected));
    assert_eq!(server.requests().len(), 1, "a write is sent once");
}

#[tokio::test]
async fn refused_connection_is_not_sent() {
    assert_eq!(swap(&open(refusing().await)).await, Err(Kind::NotSent));
}

#[tokio::test]
async fn repeatable_call_is_sent_again_if_its_idle_connection_was_closed() {
    let once = vec![Read, ok(PRESENT)];
    let server = Scripted::bind(vec![once]).await;
    let store = open(server.address);
    for _ in 0..3 {
        assert_eq!(store.read("k", Class::Config).await.unwrap(), Some(v1()));
    }
    assert_eq!(server.connections(), 3);
}

#[tokio::test]
async fn idle_connection_is_reused_and_a_stalled_one_is_replaced() {
    let first = vec![Read, ok(PRESENT), Read, ok(PRESENT), Read, Stall];
    let server = Scripted::bind(vec![first, vec![Read, ok(PRESENT), Stall]]).await;
    let store = open(server.address);
    for _ in 0..2 {
        store.read("k", Class::Config).await.unwrap();
    }
    assert_eq!(server.connections(), 1);
    // The repeatable call is sent again on a new connection within its time limit.
    assert_eq!(store.read("k", Class::Config).await.unwrap(), Some(v1()));
    assert_eq!(server.connections(), 2);
}

#[tokio::test]
async fn calls_beyond_the_limit_are_not_sent() {
    let server = Scripted::bind(vec![vec![Read, ok(ABSENT), Read, Write(head()), Stall]]).await;
    let store = EtcdStore::open(Config { max_calls: 1, ..Config::new(server.address) });
    let watch = store.watch("k", 0).await.unwrap();
    let error = store.read("k", Class::Report).await.unwrap_err();
    assert_eq!((error.kind, error.step), (Kind::Budget, "read"));
    assert_eq!(server.requests().len(), 2, "an open watch counts as a call");
    drop(watch);
    assert_ne!(store.read("k", Class::Report).await.map_err(|e| e.kind), Err(Kind::Budget));
}

#[test_case(r#"{"result":{"ID":"9","TTL":"12"}}"#, Ok(Some(12)); "renewed")]
#[test_case(r#"{"result":{"ID":"9"}}"#, Ok(None); "expired")]
#[test_case(r#"{"error":{"http_code":403,"message":"m"}}"#, Err(Kind::Refused); "refused in the stream")]
#[test_case(r#"{"error":{"http_code":503,"message":"m"}}"#, Err(Kind::Unknown); "unavailable")]
#[test_case("{}", Err(Kind::Malformed); "empty message")]
#[tokio::test]
async fn renewal_distinguishes_an_expired_lease_from_a_failure(
    body: &str,
    expected: Result<Option<u64>, Kind>,
) {
    let server = Scripted::bind(vec![vec![Read, ok(body), Stall]]).await;
    let remaining = open(server.address).renew(9, Class::Lease).await;
    assert_eq!(
        remaining
            .map(|remaining| remaining.map(|remaining| remaining.as_secs()))
            .map_err(|e| e.kind),
        expected
    );
}

#[tokio::test]
async fn lease_is_granted_in_whole_seconds_and_revoked() {
    let gone = Write(answer("404 Not Found", r#"{"code":5,"message":"lease not found"}"#));
    let script = vec![Read, ok(r#"{"ID":"9","TTL":"2"}"#), Read, ok("{}"), Read, gone, Stall];
    let server = Scripted::bind(vec![script]).await;
    let store = open(server.address);
    assert_eq!(store.grant(Duration::from_millis(1500), Class::Lease).await.unwrap(), 9);
    assert!(server.requests()[0].ends_with(r#"{"TTL":"2"}"#));
    store.revoke(9, Class::Lease).await.unwrap();
    store.revoke(9, Class::Lease).await.unwrap();
}

fn head() -> String {
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn watch(after: u64, chunks: &[&str]) -> (Scripted, EtcdWatch<impl Send + 'static + use<>>) {
    let stream = head() + &chunks.iter().map(|text| chunk(text)).collect::<String>();
    let script = vec![Read, ok(PRESENT), Read, Write(stream), Stall];
    let server = Scripted::bind(vec![script]).await;
    let watch = open(server.address).watch("k", after).await.unwrap();
    (server, watch)
}

#[tokio::test]
async fn watch_reports_a_change_from_before_its_start() {
    let (server, mut watch) = watch(3, &[]).await;
    assert_eq!(watch.next().await, Ok(Event::Changed(Some(v1()))));
    let start = r#""start_revision":"8","progress_notify":true"#;
    assert!(server.requests()[1].contains(start), "{:?}", server.requests());
}

#[tokio::test]
async fn watch_reports_progress_and_changes_split_across_chunks() {
    let chunks = [
        "{\"result\":{\"created\":true}}\n{\"result\":{\"events\":[{\"kv\":{\"mod_re",
        "vision\":\"8\"}},{\"type\":\"DELETE\",\"kv\":{\"mod_revision\":\"9\"}}]}}\n",
        "{\"result\":{\"header\":{\"revision\":\"9\"}}}\n",
    ];
    let (_server, mut watch) = watch(5, &chunks).await;
    let empty = Versioned { version: 8, value: Vec::new() };
    let expected =
        [Event::Progress, Event::Changed(Some(empty)), Event::Changed(None), Event::Progress];
    for event in expected {
        assert_eq!(watch.next().await, Ok(event));
    }
    assert_eq!(watch.next().await.unwrap_err().kind, Kind::Unknown, "stalled watch");
    assert_eq!(watch.next().await.unwrap_err().kind, Kind::Unknown, "ended watch");
}

#[test_case("{\"result\":{\"canceled\":true,\"compact_revision\":\"9\"}}\n", Kind::Refused; "cancelled")]
#[test_case("{\"error\":{\"http_code\":503}}\n", Kind::Unknown; "error in the stream")]
#[test_case("garbage\n", Kind::Malformed; "not json")]
#[test_case("{\"result\":", Kind::Unknown; "stalled within a message")]
#[tokio::test]
async fn faults_end_a_watch(text: &str, expected: Kind) {
    let (_server, mut watch) = watch(5, &[text]).await;
    assert_eq!(watch.next().await.unwrap_err().kind, expected);
}
