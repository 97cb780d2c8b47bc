//! The connection pool: which connections are kept, and which are used again.

#[path = "support/scripted.rs"]
mod scripted;

use std::{net, sync::Arc, time::Duration};

use corneltrestle_client::{
    Kind,
    body::Memory,
    pool::{self, Config, Delivery, Pool},
};
use corneltrestle_kernel::{clock, memory};
use http_body_util::Full;
use hyper::Request;
use scripted::{
    Scripted,
    Step::{Pause, Read, Stall, Write},
    answer,
};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const TIMEOUT: Duration = Duration::from_secs(2);

async fn get(pool: &Arc<Pool>, peer: net::SocketAddr) -> corneltrestle_client::Result<String> {
    let request = Request::get("/").body(Full::default()).unwrap();
    let answer = pool.fetch_repeatable(peer, request, TIMEOUT, 1_000, async || Some(())).await?;
    Ok(String::from_utf8(answer.into_body().to_vec()).unwrap())
}

/// Guards against connections to many peers that stay open after their idle time, until the process
/// has no descriptors left.
#[tokio::test]
async fn idle_connections_to_other_peers_are_closed() {
    let idle = Scripted::bind(vec![vec![Read, Write(answer("200 OK", "a")), Stall]]).await;
    let used = Scripted::bind(vec![vec![Read, Write(answer("200 OK", "b")), Stall]]).await;
    let config = Config { idle_timeout: Duration::from_millis(100), ..Config::default() };
    let pool = Pool::open(config);
    assert_eq!(get(&pool, idle.address).await.unwrap(), "a");
    // The pool looks for idle connections at most every two seconds.
    let calls = async {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let _ = get(&pool, used.address).await;
        }
    };
    let closed = tokio::time::timeout(Duration::from_secs(10), idle.closed());
    tokio::select! {
        closed = closed => assert!(closed.is_ok(), "the idle connection stays open"),
        () = calls => {}
    }
}

/// Guards against a response whose status is none that is taken for an answer.
#[test_case("000 Trouble"; "zero")]
#[test_case("099 Trouble"; "below the first class")]
#[test_case("20 Trouble"; "two digits")]
#[test_case("2000 Trouble"; "four digits")]
#[test_case("600 Trouble"; "above the last class")]
#[test_case("999 Trouble"; "the highest")]
#[tokio::test]
async fn response_with_an_invalid_status_is_malformed(head: &str) {
    let script = vec![Read, Write(answer(head, "body")), Stall];
    let server = Scripted::bind(vec![script.clone(), script]).await;
    let error = get(&Pool::open(Config::default()), server.address).await.unwrap_err();
    assert_eq!(error.kind, Kind::Malformed, "{error}");
}

/// Guards against the claim that nothing was sent, where only the second attempt found no peer.
#[tokio::test]
async fn request_that_was_sent_before_the_peer_was_gone_may_have_run() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut read = [0; 1_024];
        assert!(socket.read(&mut read).await.unwrap() > 0);
        socket.write_all(answer("200 OK", "a").as_bytes()).await.unwrap();
        assert!(socket.read(&mut read).await.unwrap() > 0);
        drop(listener);
    });
    let pool = Pool::open(Config::default());
    assert_eq!(get(&pool, peer).await.unwrap(), "a");
    let failed = get(&pool, peer).await.unwrap_err();
    assert_eq!(failed.kind, corneltrestle_client::Kind::Broken, "{failed}");
    server.await.unwrap();
}

/// Guards against a caller that ends a task of the node with the time that it states.
#[tokio::test]
async fn timeout_of_any_length_is_taken() {
    let server = Scripted::bind(vec![vec![Read, Write(answer("200 OK", "a")), Stall]]).await;
    let pool = Pool::open(Config::default());
    let request = Request::get("/").body(Full::default()).unwrap();
    let sent = pool.send(server.address, request, Delivery::Once, Duration::MAX);
    assert_eq!(sent.await.unwrap().status(), 200);
}

/// Opens a pool with an idle connection to the server.
async fn open_with_idle(server: &Scripted) -> Arc<Pool> {
    let pool = Pool::open(Config::default());
    assert_eq!(get(&pool, server.address).await.unwrap(), "a");
    assert_eq!(server.connections(), 1);
    pool
}

fn call() -> Request<Full<bytes::Bytes>> {
    Request::get("/").body(Full::default()).unwrap()
}

/// Guards against a peer that is at work on a call and is cut off, as its connection was used before and
/// is taken for lost.
#[tokio::test]
async fn slow_answer_on_a_reused_connection_is_waited_for() {
    let slow = vec![Read, Write(answer("200 OK", "a")), Read, Pause(TIMEOUT * 7 / 10)];
    let slow = [slow, vec![Write(answer("200 OK", "b")), Stall]].concat();
    let server = Scripted::bind(vec![slow, vec![Read, Stall]]).await;
    let pool = open_with_idle(&server).await;
    let sent = pool.fetch(server.address, call(), Delivery::Once, TIMEOUT, 1_000).await;
    assert_eq!(sent.unwrap().body(), "b");
    assert_eq!((server.connections(), server.requests().len()), (1, 2));
}

/// Guards against a read of a slow peer that is given up for a second one, which may be as slow.
#[tokio::test]
async fn slow_answer_to_a_read_counts_beside_the_second_one() {
    let slow = vec![Read, Write(answer("200 OK", "a")), Read, Pause(TIMEOUT * 7 / 10)];
    let slow = [slow, vec![Write(answer("200 OK", "b")), Stall]].concat();
    let server = Scripted::bind(vec![slow, vec![Read, Stall]]).await;
    let pool = open_with_idle(&server).await;
    assert_eq!(get(&pool, server.address).await.unwrap(), "b");
}

/// Guards against a read that fails as its connection has gone silent, while new ones work.
#[tokio::test]
async fn read_on_a_silent_connection_is_sent_on_a_new_one() {
    let silent = vec![Read, Write(answer("200 OK", "a")), Read, Stall];
    let server =
        Scripted::bind(vec![silent, vec![Read, Write(answer("200 OK", "b")), Stall]]).await;
    let pool = open_with_idle(&server).await;
    assert_eq!(get(&pool, server.address).await.unwrap(), "b");
    assert_eq!(server.connections(), 2);
}

/// Guards against a second send that its caller did not decide on, and against a caller that cannot
/// tell a connection that was closed as idle from an answer that was broken off.
#[test_case("", Kind::Stale; "closed without an answer")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-le", Kind::Broken; "closed within the header")]
#[tokio::test]
async fn call_lost_with_a_reused_connection_is_not_sent_again(part: &str, kind: Kind) {
    let lost = vec![Read, Write(answer("200 OK", "a")), Read, Write(part.to_owned())];
    let server = Scripted::bind(vec![lost, vec![Read, Write(answer("200 OK", "b")), Stall]]).await;
    let pool = open_with_idle(&server).await;
    let sent = pool.fetch(server.address, call(), Delivery::Once, TIMEOUT, 1_000).await;
    assert_eq!(sent.unwrap_err().kind, kind);
    assert_eq!((server.connections(), server.requests().len()), (1, 2));
}

/// Guards against a second send of a read that its budget does not allow.
#[tokio::test]
async fn read_is_not_sent_again_without_a_permit() {
    let lost = vec![Read, Write(answer("200 OK", "a")), Read];
    let server = Scripted::bind(vec![lost, vec![Read, Write(answer("200 OK", "b")), Stall]]).await;
    let pool = open_with_idle(&server).await;
    let sent =
        pool.fetch_repeatable(server.address, call(), TIMEOUT, 1_000, async || None::<()>).await;
    assert_eq!(sent.unwrap_err().kind, Kind::Broken);
    assert_eq!(server.requests().len(), 2);
}

/// Guards against bodies that are read at the same time until the process has no memory.
#[tokio::test]
async fn bodies_that_are_read_at_the_same_time_have_a_bound() {
    let begun = format!("HTTP/1.1 200 OK\r\ncontent-length: 800\r\n\r\n{}", "x".repeat(700));
    let slow = vec![Read, Write(begun), Pause(TIMEOUT / 10), Write("x".repeat(100)), Stall];
    let server = Scripted::bind(vec![slow]).await;
    let pool = Pool::open(Config { max_collected: 1_000, ..Config::default() });
    let fetch = || pool.fetch(server.address, call(), Delivery::OnceFresh, TIMEOUT, 900);
    let (one, other) = tokio::join!(fetch(), fetch());
    let failed = [one, other].into_iter().filter_map(Result::err).collect::<Vec<_>>();
    assert_eq!(failed.len(), 1, "{failed:?}");
    assert_eq!(failed[0].kind, Kind::Malformed);
    assert_eq!(fetch().await.expect("the bytes are free again").body().len(), 800);
}

/// A body of 4 MB that tells by its last reference when it is dropped.
struct Large(#[allow(dead_code, reason = "it is dropped")] Arc<()>, Vec<u8>);

impl AsRef<[u8]> for Large {
    fn as_ref(&self) -> &[u8] {
        &self.1
    }
}

fn large(kept: &Arc<()>) -> Request<Full<bytes::Bytes>> {
    let body = Large(Arc::clone(kept), vec![b'x'; 4 * 1024 * 1024]);
    Request::post("/").body(Full::new(bytes::Bytes::from_owner(body))).unwrap()
}

/// Guards against the body of a request that the pool keeps with its connection, as the peer has
/// answered without reading it.
#[tokio::test]
async fn body_that_the_peer_has_not_read_is_released_with_the_answer() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let _ = socket.read(&mut [0; 1_024]).await.unwrap();
        socket.write_all(answer("200 OK", "a").as_bytes()).await.unwrap();
        socket
    });
    let (pool, kept) = (Pool::open(Config::default()), Arc::new(()));
    let sent = pool.fetch(peer, large(&kept), Delivery::Once, TIMEOUT, 1_000).await;
    assert_eq!(sent.expect("an answer").into_body(), "a");
    assert_eq!(Arc::strong_count(&kept), 1, "the body is kept");
    drop(server);
}

/// Guards against connections that are no longer used again after a large body, although the peer has
/// read it.
#[tokio::test]
async fn connection_is_used_again_after_a_body_that_the_peer_has_read() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    tokio::spawn(async move {
        // Only one connection is accepted.
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut read = vec![0; 64 * 1024];
        loop {
            let mut left = 4 * 1024 * 1024;
            while left > 0 {
                let taken = socket.read(&mut read).await.unwrap();
                left -= read[..taken].iter().filter(|byte| **byte == b'x').count();
            }
            socket.write_all(answer("200 OK", "a").as_bytes()).await.unwrap();
        }
    });
    let (pool, kept) = (Pool::open(Config::default()), Arc::new(()));
    for _ in 0..3 {
        let sent = pool.fetch(peer, large(&kept), Delivery::Once, TIMEOUT, 1_000).await;
        assert_eq!(sent.expect("an answer").into_body(), "a");
        assert_eq!(Arc::strong_count(&kept), 1, "the body is kept");
    }
}

/// Guards against answers for clients that do not count in the memory budget of the node, or only until
/// they have arrived.
#[tokio::test]
async fn answer_for_a_client_counts_in_the_budget_until_it_is_dropped() {
    let text = "x".repeat(50_000);
    let whole = vec![Read, Write(answer("200 OK", &text)), Stall];
    let server = Scripted::bind(vec![whole.clone(), whole]).await;
    let budget = memory::Budget::open(memory::Limits::of(80_000));
    let memory = Memory { budget: budget.clone(), clock: clock::System::open() };
    let pool = Pool::open(Config::default());
    let collect = async || {
        let sent = pool.send(server.address, call(), Delivery::OnceFresh, TIMEOUT).await?;
        let deadline = pool::deadline_after(TIMEOUT);
        sent.into_body().collect_for_client(Some(&memory), 60_000, deadline).await
    };
    let first = collect().await.expect("it fits");
    assert_eq!(first, text);
    assert_eq!(budget.bytes(memory::Kind::Answer), text.len());
    let part = first.slice(10..20);
    drop(first);
    assert_eq!(collect().await.expect_err("the budget is exhausted").kind, Kind::Malformed);
    assert_eq!(budget.total(), text.len());
    drop(part);
    assert_eq!(budget.total(), 0);
    assert_eq!(collect().await.expect("the bytes are free again"), text);
}
