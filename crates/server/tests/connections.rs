//! Connections of a front end: their limit, and their end at a planned stop.

#[path = "support/address.rs"]
mod address;

use std::{
    convert::Infallible,
    future, io,
    net::SocketAddr,
    sync::{Arc, atomic},
    time::Duration,
};

use bytes::Bytes;
use corneltrestle_kernel::{host, memory, pool, settings};
use corneltrestle_server::{self as server, refuse};
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Opens a connection, sends a request and returns the status line of the answer.
async fn call(peer: SocketAddr) -> (TcpStream, String) {
    let mut socket = TcpStream::connect(peer).await.unwrap();
    let _ = socket.write_all(b"GET / HTTP/1.1\r\nHost: node\r\n\r\n").await;
    let mut answer = [0; 12];
    let read = tokio::time::timeout(Duration::from_secs(10), socket.read_exact(&mut answer));
    read.await.expect("an answer").unwrap();
    (socket, String::from_utf8_lossy(&answer).into_owned())
}

fn open() -> Arc<host::Host> {
    let settings = settings::Settings::parse("test", "", &[]).unwrap();
    host::Host::open(settings, pool::Pool::attach(tokio::runtime::Handle::current()))
}

/// Serves `address` with empty answers.
fn bind(
    host: &Arc<host::Host>,
    address: SocketAddr,
    limits: impl Fn() -> server::Limits + Clone + Send + Sync + 'static,
) -> corneltrestle_kernel::plugin::Handle {
    let answer = |_| {
        let body: Full<bytes::Bytes> = Full::default();
        future::ready(Ok::<_, Infallible>(hyper::Response::new(body)))
    };
    let service = tower::service_fn(answer);
    server::bind(host, "test", address, limits, service, server::refuse::Empty).unwrap()
}

/// Guards against requests that are cut off without an answer, as they arrive on connections that were
/// accepted, or waited to be accepted, when the stop began.
#[tokio::test]
async fn first_request_of_a_connection_is_answered_during_a_stop() {
    let (host, address) = (open(), address::next());
    let running = bind(&host, address, server::Limits::default);
    let mut connections = Vec::new();
    for _ in 0..8 {
        connections.push(TcpStream::connect(address).await.unwrap());
    }
    let stopping = tokio::spawn(async move { running.shutdown().await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    for socket in &mut connections {
        socket.write_all(b"GET / HTTP/1.1\r\nHost: node\r\n\r\n").await.unwrap();
        let mut answer = Vec::new();
        socket.read_to_end(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        assert!(answer.starts_with("http/1.1 200") && answer.contains("connection: close"));
    }
    stopping.await.unwrap();
}

/// Guards against a limit of connections that keeps the value that it had when the server started.
#[tokio::test]
async fn changed_limit_of_connections_applies_to_new_ones() {
    let host = open();
    let most = Arc::new(atomic::AtomicUsize::new(2));
    let limit = Arc::clone(&most);
    let limits = move || server::Limits {
        max_connections: limit.load(atomic::Ordering::Relaxed),
        drain_timeout: Duration::ZERO,
        ..server::Limits::default()
    };
    let address = address::next();
    let running = bind(&host, address, limits);
    let (first, second) = (call(address).await, call(address).await);
    assert_eq!((first.1.as_str(), second.1.as_str()), ("HTTP/1.1 200", "HTTP/1.1 200"));
    assert_eq!(call(address).await.1, "HTTP/1.1 503");
    most.store(3, atomic::Ordering::Relaxed);
    let third = call(address).await;
    assert_eq!(third.1, "HTTP/1.1 200", "the limit has been raised");
    most.store(1, atomic::Ordering::Relaxed);
    drop(first);
    assert_eq!(call(address).await.1, "HTTP/1.1 503", "the limit has been lowered");
    running.shutdown().await;
}

/// How a connection ends while its first request is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The drain limit passes.
    DrainLimit,
    /// The body of the answer fails before its head has been written.
    FailedBody,
    /// The caller closes its sending side.
    HalfClose,
    /// The handler panics.
    Panic,
}

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Refusals with the body type of the service in [`bind_ending`].
#[derive(Clone, Copy)]
struct Refusals;

impl refuse::Refuse for Refusals {
    type Body = Body;

    fn header_too_large(&self, message: &str) -> hyper::Response<Body> {
        refuse::Empty.header_too_large(message).map(|_| Body::default())
    }

    fn raw_response(&self, cause: refuse::Cause) -> Vec<u8> {
        refuse::Empty.raw_response(cause)
    }
}

/// Serves `address` with requests whose connection ends as `end` says; counts them in `begun`.
fn bind_ending(
    host: &Arc<host::Host>,
    address: SocketAddr,
    end: End,
    begun: &Arc<atomic::AtomicUsize>,
) -> corneltrestle_kernel::plugin::Handle {
    let begun = Arc::clone(begun);
    let service = tower::service_fn(move |_: hyper::Request<Incoming>| {
        begun.fetch_add(1, atomic::Ordering::Relaxed);
        async move {
            match end {
                End::DrainLimit | End::HalfClose => future::pending().await,
                End::FailedBody => {
                    let failed = Err::<Frame<Bytes>, _>(io::Error::other("the body has failed"));
                    let body = StreamBody::new(stream::iter([failed])).boxed_unsync();
                    Ok::<_, Infallible>(hyper::Response::new(body))
                }
                End::Panic => panic!("the handler of the test panics"),
            }
        }
    });
    let limits =
        || server::Limits { drain_timeout: Duration::from_millis(200), ..Default::default() };
    server::bind(host, "test", address, limits, service, Refusals).unwrap()
}

/// Guards against callers that are told by a 408 that their request has not run, as its connection ends
/// before anything was written on it while the request is handled.
#[test_case(End::DrainLimit; "drain limit")]
#[test_case(End::FailedBody; "failed body")]
#[test_case(End::HalfClose; "half close")]
#[test_case(End::Panic; "panic")]
#[tokio::test]
async fn request_in_progress_is_not_answered_as_timed_out(end: End) {
    let (host, address) = (open(), address::next());
    let begun = Arc::default();
    let running = bind_ending(&host, address, end, &begun);
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(b"GET / HTTP/1.1\r\nHost: node\r\n\r\n").await.unwrap();
    if end == End::HalfClose {
        socket.shutdown().await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    running.shutdown().await;
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert_eq!(begun.load(atomic::Ordering::Relaxed), 1, "the request has reached the service");
    assert!(!answer.starts_with("HTTP/1.1 408"), "{answer}");
}

/// Guards against a caller that is not told that its request has not run, as its first header never
/// became complete.
#[tokio::test]
async fn incomplete_first_header_is_answered_as_timed_out() {
    let (host, address) = (open(), address::next());
    let limits =
        || server::Limits { header_timeout: Duration::from_millis(100), ..Default::default() };
    let running = bind(&host, address, limits);
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(b"GET / HTTP/1.1\r\nHost: no").await.unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 408"), "{answer:?}");
    running.shutdown().await;
}

/// Reads an answer to its end.
async fn read_answer(mut socket: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against connections without a request that keep well-behaved clients out, and against
/// connections in use that are closed for others.
#[tokio::test]
async fn idle_connection_is_closed_in_favour_of_a_new_one() {
    let (host, address) = (open(), address::next());
    let limits = || server::Limits {
        max_connections: 4,
        header_timeout: Duration::from_secs(60),
        drain_timeout: Duration::ZERO,
        ..Default::default()
    };
    let running = bind(&host, address, limits);
    let (mut used, answer) = call(address).await;
    assert_eq!(answer, "HTTP/1.1 200");
    let mut idle = Vec::new();
    for half in [&b""[..], b"GET / HTTP/1.1\r\nHost: no", b""] {
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(half).await.unwrap();
        idle.push(socket);
        // Connections are accepted in the order in which they were opened.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let newer = [call(address).await, call(address).await];
    assert!(newer.iter().all(|(_, answer)| answer == "HTTP/1.1 200"));
    for socket in idle.drain(..2) {
        let answer = read_answer(socket).await;
        assert!(
            answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after: 1"),
            "{answer}"
        );
    }
    used.write_all(b"GET / HTTP/1.1\r\nHost: node\r\n\r\n").await.unwrap();
    let mut answer = [0; 12];
    used.read_exact(&mut answer).await.expect("the connection in use stays open");
    let third = call(address).await;
    assert_eq!(third.1, "HTTP/1.1 200", "the last idle one makes room");
    assert_eq!(call(address).await.1, "HTTP/1.1 503", "all are in use");
    running.shutdown().await;
    assert_eq!(host.memory.total(), 0);
}

/// Guards against headers, each of legal size or cut off, that together take the memory of a node, and
/// against memory that stays taken after them.
#[tokio::test]
async fn large_headers_count_in_the_budget() {
    let (host, address) = (open(), address::next());
    let limits =
        || server::Limits { header_timeout: Duration::from_secs(60), ..Default::default() };
    let running = bind(&host, address, limits);
    let held = || host.memory.bytes(memory::Kind::Connection);
    let mut sockets = Vec::new();
    for _ in 0..4 {
        let mut socket = TcpStream::connect(address).await.unwrap();
        let half = format!("GET / HTTP/1.1\r\nHost: node\r\nFiller: {}", "x".repeat(28 * 1024));
        socket.write_all(half.as_bytes()).await.unwrap();
        sockets.push(socket);
    }
    let waited = tokio::time::timeout(Duration::from_secs(10), async {
        while held() < 4 * 12 * 1024 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "{} bytes are held", held());
    for socket in &mut sockets {
        socket.write_all(b"\r\n\r\n").await.unwrap();
        let mut answer = [0; 12];
        socket.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer, b"HTTP/1.1 200");
    }
    let most = 4 * 4 * 1024;
    assert!(held() <= most, "only what each connection holds, not {} bytes", held());
    drop(sockets);
    running.shutdown().await;
    assert_eq!(held(), 0);
}

/// Guards against a header for which there is no memory and that is not answered, or answered
/// although its request may have run.
#[tokio::test]
async fn header_without_memory_is_refused() {
    let (host, address) = (open(), address::next());
    let limits =
        || server::Limits { header_timeout: Duration::from_secs(60), ..Default::default() };
    let running = bind(&host, address, limits);
    let (mut second, answer) = call(address).await;
    assert_eq!(answer, "HTTP/1.1 200");
    // Another listener's connections take the part of the budget that connections can take.
    let other = host.memory.hold_connection(memory::Caller::NODE, 0, host.now());
    other.set_phase(memory::Phase::Served, host.now());
    let free = host.memory.limits().connections - host.memory.bytes(memory::Kind::Connection);
    assert!(other.try_grow(free - 4 * 1024, host.now()));
    let mut first = TcpStream::connect(address).await.unwrap();
    let half = format!("GET / HTTP/1.1\r\nHost: node\r\nFiller: {}", "x".repeat(28 * 1024));
    for socket in [&mut first, &mut second] {
        // The connection may be closed before all of it is sent.
        let _ = socket.write_all(half.as_bytes()).await;
    }
    for socket in [first, second] {
        let answer = read_answer(socket).await;
        let refused = answer.find("HTTP/1.1 503").map(|at| &answer[at..]);
        let is_refused = refused.is_some_and(|refused| refused.contains("retry-after: 1"));
        assert!(is_refused, "{answer}");
        assert!(!answer.contains("HTTP/1.1 408"), "{answer}");
    }
    drop(other);
    assert_eq!(call(address).await.1, "HTTP/1.1 200");
    running.shutdown().await;
    assert_eq!(host.memory.total(), 0);
}

/// Time after which the memory of an idle connection has been released.
const RELEASED: Duration = Duration::from_millis(400);

/// Reads answers until as many are complete; each has a body of one byte.
async fn read_answers(socket: &mut TcpStream, number: usize) -> String {
    let mut answers = Vec::new();
    let read = async {
        while String::from_utf8_lossy(&answers).matches("\r\n\r\n.").count() < number {
            assert_ne!(socket.read_buf(&mut answers).await.unwrap(), 0, "the connection is closed");
        }
    };
    tokio::time::timeout(Duration::from_secs(10), read).await.expect("all answers");
    String::from_utf8(answers).unwrap()
}

/// Serves `address` with answers of one byte, which the service sends after it has read the body of the
/// request. An answer to `/late` pauses for [`RELEASED`] after its head.
fn bind_dots(
    host: &Arc<host::Host>,
    address: SocketAddr,
    limits: server::Limits,
) -> corneltrestle_kernel::plugin::Handle {
    let service = tower::service_fn(|request: hyper::Request<Incoming>| async move {
        let is_late = request.uri().path() == "/late";
        let _ = request.into_body().collect().await;
        let parts = stream::once(async move {
            if is_late {
                tokio::time::sleep(RELEASED).await;
            }
            Ok::<_, io::Error>(Frame::data(Bytes::from_static(b".")))
        });
        let mut response = hyper::Response::new(StreamBody::new(parts).boxed_unsync());
        response.headers_mut().insert("content-length", hyper::header::HeaderValue::from(1));
        Ok::<_, Infallible>(response)
    });
    server::bind(host, "test", address, move || limits, service, Refusals).unwrap()
}

/// Guards against bytes that are lost, or taken twice, when the memory of an idle connection is released:
/// `first` is sent at once, and `second` after an idle time.
#[test_case("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"; "one after the other")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HT", "TP/1.1\r\nHost: a\r\n\r\n"; "a header in two parts")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\n\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"; "an empty line between them")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET", " / HTTP/1.1\r\nHost: a\r\n\r\n"; "a body and a part of a header")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"; "bodies")]
#[test_case("GET /late HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"; "a pause within the answer")]
#[test_case("P", "OST / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\n\r\n"; "the beginning of HTTP 2")]
#[tokio::test]
async fn idle_connection_serves_what_arrives_later(first: &str, second: &str) {
    let (host, address) = (open(), address::next());
    let running = bind_dots(&host, address, server::Limits::default());
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(first.as_bytes()).await.unwrap();
    let mut answers = String::new();
    if first.len() > 1 {
        answers += &read_answers(&mut socket, 1).await;
    }
    tokio::time::sleep(RELEASED).await;
    socket.write_all(second.as_bytes()).await.unwrap();
    let left = 2 - answers.matches("HTTP/1.1 200").count();
    answers += &read_answers(&mut socket, left).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    running.shutdown().await;
}

/// Guards against idle connections whose memory was released, and that stay open for longer than the idle
/// timeout, also when a part of a header arrives, or that keep a stop waiting for the drain limit.
#[test_case(""; "silent")]
#[test_case("GET / HTTP"; "a part of a header")]
#[tokio::test]
async fn released_connection_is_closed_in_time(part: &str) {
    let (host, address) = (open(), address::next());
    let timeout = Duration::from_secs(1);
    let limits = server::Limits {
        idle_timeout: timeout,
        header_timeout: timeout,
        drain_timeout: Duration::from_secs(300),
        ..server::Limits::default()
    };
    let running = bind_dots(&host, address, limits);
    let mut sockets = Vec::new();
    for _ in 0..2 {
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        read_answers(&mut socket, 1).await;
        sockets.push(socket);
    }
    tokio::time::sleep(RELEASED).await;
    sockets[0].write_all(part.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let closed = tokio::time::timeout(timeout * 10, sockets[0].read_to_end(&mut answer)).await;
    assert!(closed.is_ok() && answer.is_empty(), "{}", String::from_utf8_lossy(&answer));
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    read_answers(&mut idle, 1).await;
    tokio::time::sleep(RELEASED).await;
    let stopped = tokio::time::timeout(Duration::from_secs(60), running.shutdown()).await;
    assert!(stopped.is_ok(), "the stop waits for an idle connection");
}

/// Guards against bytes that the system receives for a client whose body is not read, and that no limit of
/// the server bounds: the system then took 166 KB.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn received_bytes_that_are_not_read_are_bounded() {
    /// The buffers of the system on both sides, and what hyper reads.
    const MAX_UNREAD: usize = 96 * 1024;
    let (host, address) = (open(), address::next());
    let service = tower::service_fn(|request: hyper::Request<Incoming>| async move {
        let _body = request.into_body();
        future::pending::<Result<hyper::Response<Body>, Infallible>>().await
    });
    let limits = || server::Limits {
        socket_buffer: 8 * 1024,
        drain_timeout: Duration::ZERO,
        ..Default::default()
    };
    let running = server::bind(&host, "test", address, limits, service, Refusals).unwrap();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4 * 1024).unwrap();
    let mut socket = socket.connect(address).await.unwrap();
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n";
    socket.write_all(head.as_bytes()).await.unwrap();
    let (part, mut sent) = (vec![b'x'; 4 * 1024], 0);
    while let Ok(written) = tokio::time::timeout(RELEASED * 3, socket.write(&part)).await {
        sent += written.unwrap();
    }
    println!("{sent} bytes were sent");
    assert!((1..MAX_UNREAD).contains(&sent), "{sent} bytes were sent");
    running.shutdown().await;
}
