//! Connections of a front end: their limit, and their end at a planned stop.

use std::{
    convert::Infallible,
    future,
    net::SocketAddr,
    sync::{Arc, atomic},
    time::Duration,
};

use corneltrestle_kernel::{host, pool, settings};
use corneltrestle_server as server;
use http_body_util::Full;
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
    let (host, address) = (open(), SocketAddr::from(([127, 84, 11, 9], 7_312)));
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
    let address: SocketAddr = ([127, 84, 11, 9], 7_311).into();
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
