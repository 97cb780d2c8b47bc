//! Clients that read slowly, or not at all, what a front end answers.

#[path = "support/address.rs"]
mod address;

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, atomic},
    time::Duration,
};

use bytes::Bytes;
use corneltrestle_kernel::{host, memory, plugin, pool, settings};
use corneltrestle_server::{self as server, refuse};
use futures_util::stream;
use http_body_util::{BodyExt, Empty, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame, Incoming},
    client::conn::http2,
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Time without a byte taken after which the front ends of these tests close a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which each step of a test happens.
const LIMIT: Duration = Duration::from_secs(60);

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Refusals with the body type of [`bind`].
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

/// An answer of `parts` parts of `size` bytes each.
#[derive(Clone, Copy, Debug)]
struct Answer {
    parts: usize,
    size: usize,
}

/// What became of the answers of a front end.
#[derive(Debug, Default)]
struct Seen {
    /// Bodies that were dropped.
    ended: atomic::AtomicUsize,
}

/// Counts a body as ended when it is dropped.
struct Guard(Arc<Seen>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

fn body(answer: Answer, seen: &Arc<Seen>) -> Body {
    let part = Bytes::from(vec![b'x'; answer.size]);
    let parts = stream::unfold((0, Guard(Arc::clone(seen))), move |(number, guard)| {
        let part = part.clone();
        async move {
            if number == answer.parts {
                return None;
            }
            // A body that is always ready would keep other tasks from running.
            tokio::task::consume_budget().await;
            Some((Ok::<_, io::Error>(Frame::data(part)), (number + 1, guard)))
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

/// A host with the smallest memory budget.
fn open() -> Arc<host::Host> {
    static NODE: settings::Section =
        settings::Section { name: "node", help: "The node.", keys: &[memory::SETTING] };
    let text = "[node]\nmemory-limit = 6291456\n";
    let settings = settings::Settings::parse("test", text, &[&NODE]).unwrap();
    host::Host::open(settings, pool::Pool::attach(tokio::runtime::Handle::current()))
}

/// Serves `address` with `answer`.
fn bind(
    address: SocketAddr,
    answer: Answer,
    read_timeout: Duration,
) -> (Arc<host::Host>, plugin::Handle, Arc<Seen>) {
    let (host, seen) = (open(), Arc::<Seen>::default());
    let counted = Arc::clone(&seen);
    let service = tower::service_fn(move |_: hyper::Request<Incoming>| {
        let body = body(answer, &counted);
        async move { Ok::<_, Infallible>(hyper::Response::new(body)) }
    });
    let limits = move || server::Limits {
        read_timeout,
        drain_timeout: Duration::ZERO,
        ..server::Limits::default()
    };
    let handle = server::bind(&host, "test", address, limits, service, Refusals).unwrap();
    (host, handle, seen)
}

/// Sends a request on a connection with a small receive buffer.
async fn request(peer: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    let mut socket = socket.connect(peer).await.unwrap();
    socket.write_all(b"GET / HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").await.unwrap();
    socket
}

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LIMIT, waited).await.unwrap_or_else(|_| panic!("{what}"));
}

/// The content of a chunked answer whose data consists of `x` only.
fn content(answer: &[u8]) -> usize {
    let head = answer.windows(4).position(|end| end == b"\r\n\r\n").expect("a head") + 4;
    answer[head..].iter().filter(|byte| **byte == b'x').count()
}

/// Guards against clients that read nothing and keep an answer, its connection and the request at the
/// upstream for as long as they like.
#[test_case(Answer { parts: usize::MAX, size: 16 * 1024 }; "endless large parts")]
#[test_case(Answer { parts: usize::MAX, size: 1 }; "endless single bytes")]
#[test_case(Answer { parts: 1, size: 8 * 1024 * 1024 }; "one large part")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_reads_nothing_is_disconnected(answer: Answer) {
    let address = address::next();
    let (_host, running, seen) = bind(address, answer, READ_TIMEOUT);
    let mut socket = request(address).await;
    wait_for("the answer is dropped", || seen.ended.load(atomic::Ordering::Relaxed) == 1).await;
    let mut read = Vec::new();
    let end = tokio::time::timeout(LIMIT, socket.read_to_end(&mut read)).await.expect("an end");
    assert!(end.is_err(), "a reset tells that the answer is incomplete, not {end:?}");
    running.shutdown().await;
}

/// Guards against clients that read slowly and are taken for ones that read nothing, as the system
/// reports progress only after a large part of its buffer is free.
#[test_case(Answer { parts: 64, size: 16 * 1024 }; "parts")]
#[test_case(Answer { parts: 1, size: 1024 * 1024 }; "one large part")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_reads_a_little_gets_the_whole_answer(answer: Answer) {
    let address = address::next();
    let (host, running, seen) = bind(address, answer, READ_TIMEOUT);
    let mut socket = request(address).await;
    let (mut read, mut piece) = (Vec::new(), [0; 256]);
    // Three times the timeout, at a rate at which the buffer of the system empties more slowly.
    for _ in 0..300 {
        let taken = socket.read(&mut piece).await.expect("the connection is open");
        read.extend_from_slice(&piece[..taken]);
        tokio::time::sleep(READ_TIMEOUT / 100).await;
    }
    assert_eq!(seen.ended.load(atomic::Ordering::Relaxed), 0, "the answer is still in progress");
    let rest = tokio::time::timeout(LIMIT, socket.read_to_end(&mut read)).await;
    rest.expect("the rest is read").expect("the connection is open");
    assert_eq!(content(&read), answer.parts * answer.size);
    wait_for("the memory is released", || host.memory.bytes(memory::Kind::Relay) == 0).await;
    running.shutdown().await;
}

/// Guards against clients that read nothing and keep memory that the requests of others need, for as
/// long as the read timeout allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_reads_nothing_yields_to_others() {
    let address = address::next();
    let endless = Answer { parts: usize::MAX, size: 16 * 1024 };
    let (host, running, seen) = bind(address, endless, Duration::MAX);
    let socket = request(address).await;
    wait_for("its bytes are accounted for", || host.memory.bytes(memory::Kind::Relay) > 0).await;
    assert!(host.memory.bytes(memory::Kind::Relay) < 512 * 1024, "one client holds little");
    // All that a request can ever get.
    let limits = host.memory.limits();
    let most = limits.most(&memory::Caller::NODE, memory::Kind::Request);
    let other = host.memory.hold(memory::Caller::NODE, memory::Kind::Request, host.now());
    let granted = async {
        while other.grow(most, host.now()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, granted).await.expect("the client yields");
    wait_for("its answer ends", || seen.ended.load(atomic::Ordering::Relaxed) == 1).await;
    drop((socket, other));
    running.shutdown().await;
}

/// Guards against parts that are read one by one although the client takes nothing, each of which may
/// keep a large buffer alive in the write queue of the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_is_not_read_while_the_client_takes_nothing() {
    const LARGE: usize = 1024 * 1024;
    let address = address::next();
    let (host, taken) = (open(), Arc::<atomic::AtomicUsize>::default());
    let counted = Arc::clone(&taken);
    let service = tower::service_fn(move |_: hyper::Request<Incoming>| {
        let taken = Arc::clone(&counted);
        // A large part, which fills the socket, and then one byte at a time.
        let parts = stream::unfold(0, move |number| {
            let taken = Arc::clone(&taken);
            async move {
                if number > 0 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                taken.fetch_add(1, atomic::Ordering::Relaxed);
                let part = vec![b'x'; if number == 0 { LARGE } else { 1 }].into();
                (number < 100).then_some((Ok::<_, io::Error>(Frame::data(part)), number + 1))
            }
        });
        let body = StreamBody::new(parts).boxed_unsync();
        async move { Ok::<_, Infallible>(hyper::Response::new(body)) }
    });
    // hyper's queue would take the large part and further ones.
    let limits = || server::Limits { max_header_bytes: LARGE, ..server::Limits::default() };
    let running = server::bind(&host, "test", address, limits, service, Refusals).unwrap();
    let mut socket = request(address).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = taken.load(atomic::Ordering::Relaxed);
    assert!((1..=2).contains(&before), "{before} parts were read");
    let mut read = Vec::new();
    let rest = tokio::time::timeout(LIMIT, socket.read_to_end(&mut read)).await;
    rest.expect("it goes on").expect("the connection is open");
    assert_eq!(content(&read), LARGE + 99);
    running.shutdown().await;
}

/// A client of HTTP/2 that allows 4 KB for each stream until it reads them.
async fn connect_http2(peer: SocketAddr) -> http2::SendRequest<Empty<Bytes>> {
    let stream = TcpStream::connect(peer).await.unwrap();
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .initial_stream_window_size(4 * 1024)
        .initial_connection_window_size(1024 * 1024)
        .handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends a request on a stream of its own, and leaves its answer to be read.
async fn open_stream(sender: &mut http2::SendRequest<Empty<Bytes>>) -> hyper::Response<Incoming> {
    sender.ready().await.unwrap();
    let request = hyper::Request::get("http://node/").body(Empty::new()).unwrap();
    tokio::time::timeout(LIMIT, sender.send_request(request)).await.expect("a head").unwrap()
}

/// Guards against HTTP/2 clients that withhold their window, and keep what hyper has taken of many answers
/// for as long as they answer pings; it counts in no limit.
#[test_case(Answer { parts: usize::MAX, size: 16 * 1024 }; "endless answers")]
#[test_case(Answer { parts: 1, size: 64 * 1024 }; "answers of one part")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_withholds_its_window_is_disconnected(answer: Answer) {
    let address = address::next();
    let (host, running, seen) = bind(address, answer, READ_TIMEOUT);
    let mut sender = connect_http2(address).await;
    let mut answers = Vec::new();
    for _ in 0..16 {
        answers.push(open_stream(&mut sender).await);
    }
    wait_for("what waits is accounted for", || {
        host.memory.bytes(memory::Kind::Relay) >= 16 * (answer.size - 4 * 1024)
    })
    .await;
    wait_for("the connection ends", || sender.is_closed()).await;
    wait_for("the answers are dropped", || seen.ended.load(atomic::Ordering::Relaxed) == 16).await;
    wait_for("the memory is released", || host.memory.bytes(memory::Kind::Relay) == 0).await;
    drop(answers);
    running.shutdown().await;
}

/// Guards against the bytes of streams that were reset, and that count for as long as their connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_streams_release_their_bytes() {
    let address = address::next();
    let endless = Answer { parts: usize::MAX, size: 16 * 1024 };
    let (host, running, seen) = bind(address, endless, LIMIT * 2);
    let mut sender = connect_http2(address).await;
    for round in 1..=3 {
        let mut answers = Vec::new();
        for _ in 0..16 {
            answers.push(open_stream(&mut sender).await);
        }
        let held = || host.memory.bytes(memory::Kind::Relay);
        wait_for("what waits is accounted for", || held() >= 16 * 12 * 1024).await;
        drop(answers);
        let ended = || seen.ended.load(atomic::Ordering::Relaxed);
        wait_for("the answers are dropped", || ended() == round * 16).await;
        wait_for("the memory is released", || held() == 0).await;
    }
    assert!(!sender.is_closed());
    drop(sender);
    running.shutdown().await;
}

/// Guards against HTTP/2 clients that read slowly, or read one of their streams only, and are taken for
/// ones that read nothing.
#[test_case(0; "one stream")]
#[test_case(3; "beside streams that are not read")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_opens_its_window_slowly_gets_the_whole_answer(others: usize) {
    let address = address::next();
    let answer = Answer { parts: 2, size: 24 * 1024 };
    let (host, running, _) = bind(address, answer, READ_TIMEOUT);
    let mut sender = connect_http2(address).await;
    let mut left = Vec::new();
    for _ in 0..others {
        left.push(open_stream(&mut sender).await);
    }
    let mut body = open_stream(&mut sender).await.into_body();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("the connection is open");
        read += frame.data_ref().map_or(0, Bytes::len);
        tokio::time::sleep(READ_TIMEOUT / 10).await;
    }
    assert_eq!(read, answer.parts * answer.size);
    drop(left);
    wait_for("the memory is released", || host.memory.bytes(memory::Kind::Relay) == 0).await;
    running.shutdown().await;
}

/// Guards against HTTP/2 clients that withhold their window, and keep memory that the requests of others
/// need, for as long as the read timeout allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_withholds_its_window_yields_to_others() {
    let address = address::next();
    let endless = Answer { parts: usize::MAX, size: 16 * 1024 };
    let (host, running, _) = bind(address, endless, Duration::MAX);
    let mut sender = connect_http2(address).await;
    let mut answers = Vec::new();
    for _ in 0..16 {
        answers.push(open_stream(&mut sender).await);
    }
    wait_for("their bytes are accounted for", || {
        host.memory.bytes(memory::Kind::Relay) >= 16 * 12 * 1024
    })
    .await;
    // All that a request can get beside the connection itself, which counts 132 KB.
    let limits = host.memory.limits();
    let most = limits.most(&memory::Caller::NODE, memory::Kind::Request) - 160 * 1024;
    let other = host.memory.hold(memory::Caller::NODE, memory::Kind::Request, host.now());
    let granted = async {
        while other.grow(most, host.now()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, granted).await.expect("the client yields");
    wait_for("its connection ends", || sender.is_closed()).await;
    drop((answers, other));
    running.shutdown().await;
}
