//! Bodies of requests over real sockets: their limits, and what they hold in the memory budget.

#[path = "support/address.rs"]
mod address;

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use corneltrestle_kernel::{
    host,
    memory::{self, Kind},
    plugin, pool, settings,
};
use corneltrestle_policy::refusal;
use corneltrestle_server::{self as server, body, peer, status};
use http_body_util::Full;
use hyper::{body::Incoming, header};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const MB: usize = 1024 * 1024;

/// Limit on a body, as in the deployments.
const BODY_LIMIT: usize = 4 * MB;

/// The smallest budget, of which large bodies can take 4.5 MB.
const BUDGET: usize = 6 * MB;

/// Time within which the server has to do what a test waits for.
const LIMIT: Duration = Duration::from_secs(20);

static SECTION: settings::Section =
    settings::Section { name: "node", help: "The node.", keys: &[memory::SETTING] };

/// A server that reads bodies, and answers with their size.
struct Server {
    host: Arc<host::Host>,
    address: SocketAddr,
    running: plugin::Handle,
}

impl Server {
    async fn open(limits: body::Limits) -> Self {
        let text = format!("[node]\nmemory-limit = {BUDGET}\n");
        let settings = settings::Settings::parse("test", &text, &[&SECTION]).unwrap();
        let pool = pool::Pool::attach(tokio::runtime::Handle::current());
        let host = host::Host::open(settings, pool);
        let address = address::next();
        let owner = Arc::clone(&host);
        let service = tower::service_fn(move |request: hyper::Request<Incoming>| {
            let host = Arc::clone(&owner);
            async move {
                let caller = peer::caller(request.extensions());
                let read = body::collect(request.into_body(), &limits, caller, &host).await;
                Ok::<_, Infallible>(respond(read.map_err(refusal::Refusal::from)))
            }
        });
        let limits = || server::Limits { drain_timeout: Duration::ZERO, ..Default::default() };
        let running =
            server::bind(&host, "test", address, limits, service, server::refuse::Empty).unwrap();
        Self { host, address, running }
    }

    /// Waits until the bodies of requests hold `expected` bytes.
    async fn wait_for(&self, expected: impl Fn(usize) -> bool) {
        let waited = tokio::time::timeout(LIMIT, async {
            while !expected(self.host.memory.bytes(Kind::Request)) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        let held = || self.host.memory.bytes(Kind::Request);
        waited.await.unwrap_or_else(|_| panic!("{} bytes are held", held()));
    }

    /// Opens a connection and sends the bytes as far as the server takes them.
    async fn send(&self, bytes: &[u8]) -> TcpStream {
        let mut socket = TcpStream::connect(self.address).await.unwrap();
        let _ = tokio::time::timeout(LIMIT, socket.write_all(bytes)).await;
        socket
    }

    async fn close(self) {
        self.wait_for(|held| held == 0).await;
        self.running.shutdown().await;
        assert_eq!(self.host.memory.total(), 0, "connections release what they hold");
    }
}

fn respond(read: Result<Bytes, refusal::Refusal>) -> hyper::Response<Full<Bytes>> {
    let refusal = match read {
        Ok(bytes) => return hyper::Response::new(Full::from(format!("{} bytes", bytes.len()))),
        Err(refusal) => refusal,
    };
    assert_eq!(refusal.outcome, refusal::Outcome::NotRun);
    let mut response = hyper::Response::new(Full::from(refusal.message.clone()));
    *response.status_mut() = status::of(&refusal);
    if let Some(delay) = refusal.retry {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, (delay.as_millis().div_ceil(1_000) as u64).into());
    }
    if body::is_unread_after(&refusal) {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn limits() -> body::Limits {
    body::Limits { max_bytes: BODY_LIMIT, timeout: Duration::from_secs(60) }
}

/// A request that announces the length of its body, without the body.
fn head(length: usize) -> Vec<u8> {
    format!("POST / HTTP/1.1\r\nHost: node\r\nContent-Length: {length}\r\n\r\n").into_bytes()
}

/// A request with a body of `size` bytes, of which only `sent` are sent.
fn with_length(size: usize, sent: usize) -> Vec<u8> {
    [head(size), vec![b'x'; sent]].concat()
}

/// A request with a body in chunks of `size` bytes, without the last, empty chunk.
fn chunked(size: usize, number: usize) -> Vec<u8> {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let head = "POST / HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n";
    [head.as_bytes(), chunk.repeat(number).as_bytes()].concat()
}

/// The answer up to the end of the connection, or to the end of its body.
async fn answer(mut socket: TcpStream) -> String {
    let mut answer = Vec::new();
    let read = async {
        let mut part = [0; 1024];
        loop {
            match socket.read(&mut part).await {
                Ok(0) | Err(_) => return,
                Ok(read) => answer.extend_from_slice(&part[..read]),
            }
            if answer.ends_with(b" bytes") {
                return;
            }
        }
    };
    tokio::time::timeout(LIMIT, read).await.expect("an answer");
    String::from_utf8_lossy(&answer).to_ascii_lowercase()
}

/// Checks for a refusal that states that nothing has run, and closes the connection.
fn check_refused(answer: &str) {
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Guards against a body of the largest size in the deployments that does not fit the smallest
/// budget, and against memory that stays taken after the request.
#[test_case(with_length(BODY_LIMIT, BODY_LIMIT), BODY_LIMIT; "with a length")]
#[test_case([chunked(BODY_LIMIT, 1), b"0\r\n\r\n".to_vec()].concat(), BODY_LIMIT; "one chunk")]
#[test_case([chunked(1, 200_000), b"0\r\n\r\n".to_vec()].concat(), 200_000; "single bytes")]
#[test_case(with_length(10, 10), 10; "small")]
#[test_case(head(0), 0; "empty")]
#[tokio::test]
async fn complete_body_is_read(request: Vec<u8>, size: usize) {
    let server = Server::open(limits()).await;
    for _ in 0..3 {
        let answer = answer(server.send(&request).await).await;
        assert!(answer.ends_with(&format!("\r\n\r\n{size} bytes")), "{answer}");
        server.wait_for(|held| held == 0).await;
    }
    server.close().await;
}

/// Guards against buffers of the announced size, or of a whole frame for each byte, for clients that
/// send only a part.
#[test_case(with_length(BODY_LIMIT, 10_000), 10_000; "with a length")]
#[test_case(chunked(1, 10_000), 10_000; "single bytes")]
#[tokio::test]
async fn incomplete_body_holds_little_more_than_its_bytes(request: Vec<u8>, sent: usize) {
    let server = Server::open(limits()).await;
    let socket = server.send(&request).await;
    server.wait_for(|held| (sent..=2 * sent).contains(&held)).await;
    drop(socket);
    server.close().await;
}

/// Guards against bodies beyond the limit that are read first, and against what was read of them and
/// stays in memory.
#[test_case(head(BODY_LIMIT + 1); "announced")]
#[test_case(chunked(BODY_LIMIT + 1, 1); "one chunk")]
#[test_case(chunked(64 * 1024, 100); "many chunks")]
#[tokio::test]
async fn body_beyond_the_limit_is_refused(request: Vec<u8>) {
    let server = Server::open(limits()).await;
    let socket = server.send(&request).await;
    server.wait_for(|held| held == 0).await;
    // The close may overtake the refusal of a body of which a part was not read.
    let answer = answer(socket).await;
    let is_refused = answer.starts_with("http/1.1 413") && answer.contains("connection: close");
    assert!(is_refused || (answer.is_empty() && request.len() > 1024), "{answer}");
    server.close().await;
}

/// Guards against bodies that are read although the budget can never hold them.
#[tokio::test]
async fn body_beyond_the_budget_is_refused_when_announced() {
    let large = body::Limits { max_bytes: 64 * MB, ..limits() };
    let server = Server::open(large).await;
    let answer = answer(server.send(&head(5 * MB)).await).await;
    check_refused(&answer);
    server.close().await;
}

/// Guards against a refusal that its client does not get, as it reads only after it has sent its whole
/// body, and the connection is reset by then.
#[tokio::test]
async fn refusal_reaches_client_that_sends_its_whole_body() {
    let server = Server::open(limits()).await;
    let held = server.host.memory.hold(memory::Caller::NODE, Kind::Request, server.host.now());
    held.set_phase(memory::Phase::Served, server.host.now());
    assert!(held.try_grow(BODY_LIMIT, server.host.now()));
    for _ in 0..20 {
        let mut socket = TcpStream::connect(server.address).await.unwrap();
        let sent = socket.write_all(&with_length(BODY_LIMIT, BODY_LIMIT)).await;
        assert!(sent.is_ok(), "the connection is reset: {sent:?}");
        check_refused(&answer(socket).await);
    }
    drop(held);
    server.close().await;
}

/// Guards against a crowd with large bodies that keeps ordinary requests from being served, or the
/// node from other large bodies once it is silent.
#[tokio::test]
async fn silent_bodies_make_room_for_others() {
    let server = Server::open(limits()).await;
    let held = server.send(&with_length(BODY_LIMIT, BODY_LIMIT - 1)).await;
    server.wait_for(|held| held == BODY_LIMIT).await;
    let small = answer(server.send(&with_length(10_000, 10_000)).await).await;
    assert!(small.ends_with("10000 bytes"), "{small}");
    // Until the first body counts as silent, the second one is refused, and sent again.
    let served = tokio::time::timeout(LIMIT, async {
        loop {
            let socket = server.send(&with_length(BODY_LIMIT, BODY_LIMIT)).await;
            let second = answer(socket).await;
            if second.ends_with(" bytes") {
                return second;
            }
            check_refused(&second);
        }
    });
    assert!(served.await.expect("it is served").ends_with(&format!("{BODY_LIMIT} bytes")));
    check_refused(&answer(held).await);
    server.close().await;
}

/// Guards against a body that holds its memory although its time is over.
#[tokio::test]
async fn body_that_does_not_arrive_in_time_is_refused() {
    let short = body::Limits { timeout: Duration::from_millis(200), ..limits() };
    let server = Server::open(short).await;
    let answer = answer(server.send(&with_length(BODY_LIMIT, MB)).await).await;
    assert!(answer.starts_with("http/1.1 408") && answer.contains("connection: close"), "{answer}");
    server.close().await;
}

/// Guards against memory that is lost when a client closes the connection within a body.
#[tokio::test]
async fn closed_connection_releases_its_body() {
    let server = Server::open(limits()).await;
    for sent in [1, 10_000, MB] {
        let socket = server.send(&with_length(BODY_LIMIT, sent)).await;
        server.wait_for(|held| held >= sent).await;
        drop(socket);
        server.wait_for(|held| held == 0).await;
    }
    server.close().await;
}
