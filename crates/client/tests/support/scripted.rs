//! A TCP server that follows a script, shared by the contract tests of the HTTP clients.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// A step on a connection. The connection closes after the last one.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Reads a request: its head and a body of the stated length.
    Read,
    /// Writes bytes.
    Write(String),
    /// Waits before the next step.
    Pause(Duration),
    /// Keeps the connection open without sending, until the client closes it or sends a byte.
    Stall,
}

/// A server whose n-th connection follows the n-th script; the last script repeats.
pub(crate) struct Scripted {
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    closed: Arc<Notify>,
}

#[derive(Default)]
struct Seen {
    connections: usize,
    requests: Vec<String>,
}

impl Scripted {
    pub(crate) async fn bind(scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::<Mutex<Seen>>::default();
        let closed = Arc::<Notify>::default();
        let (shared, notify) = (Arc::clone(&seen), Arc::clone(&closed));
        tokio::spawn(async move {
            for n in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                shared.lock().unwrap().connections = n + 1;
                let script = scripts[n.min(scripts.len() - 1)].clone();
                tokio::spawn(follow(stream, script, Arc::clone(&shared), Arc::clone(&notify)));
            }
        });
        Self { address, seen, closed }
    }

    /// The requests that were read, in order.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.seen.lock().unwrap().requests.clone()
    }

    /// Waits until the client closes a connection that is at [`Step::Stall`].
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    /// The number of connections that were accepted.
    pub(crate) fn connections(&self) -> usize {
        self.seen.lock().unwrap().connections
    }
}

/// An address that refuses connections.
pub(crate) async fn refusing() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// A response with a `Content-Length`; `head` is its status line without the version, with further
/// header lines if any.
pub(crate) fn answer(head: &str, body: &str) -> String {
    format!("HTTP/1.1 {head}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

async fn follow(
    mut stream: TcpStream,
    script: Vec<Step>,
    seen: Arc<Mutex<Seen>>,
    closed: Arc<Notify>,
) {
    for step in script {
        match step {
            Step::Read => match read(&mut stream).await {
                Some(request) => seen.lock().unwrap().requests.push(request),
                None => return,
            },
            Step::Write(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Step::Pause(span) => tokio::time::sleep(span).await,
            Step::Stall => {
                if matches!(stream.read(&mut [0; 1]).await, Ok(0) | Err(_)) {
                    closed.notify_one();
                }
            }
        }
    }
}

async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().unwrap());
            if text.len() >= head + 4 + length {
                return Some(text);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}
