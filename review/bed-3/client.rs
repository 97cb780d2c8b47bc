//! Clients that send requests to one node at a steady rate, each on a new connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{
    http::{self, Message},
    record::Record,
};

/// A request with what its client saw.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub id: String,
    pub node: String,
    pub key: String,
    /// 0 if there was no answer.
    pub status: u16,
    pub body: String,
}

/// What all clients sent.
pub type Log = Arc<Mutex<Vec<Sent>>>;

/// What one client sends.
#[derive(Clone, Debug)]
pub struct Kind {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub pause: Duration,
    pub deadline: Duration,
}

/// Starts a client that sends until `stop` is set.
pub fn spawn(
    (node, front): (&str, SocketAddr),
    kind: &Kind,
    log: &Log,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> JoinHandle<()> {
    static CLIENTS: AtomicU64 = AtomicU64::new(0);
    let client = CLIENTS.fetch_add(1, Ordering::SeqCst);
    let (node, kind, record) = (node.to_owned(), kind.clone(), record.clone());
    let (log, stop) = (Arc::clone(log), Arc::clone(stop));
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("c{client}n{number}");
            let sent = send(&node, front, &kind, id);
            let Sent { at, id, status, body, .. } = &sent;
            record.note_at(
                *at,
                format!("{node} {} {id} key={}: {status} {body}", kind.path, kind.key),
            );
            log.lock().unwrap_or_else(|e| e.into_inner()).push(sent);
            thread::sleep(kind.pause);
        }
    })
}

fn send(node: &str, front: SocketAddr, kind: &Kind, id: String) -> Sent {
    let deadline = kind.deadline.as_millis().to_string();
    let key = format!("Bearer {}", kind.key);
    let headers = [
        ("Host", kind.host),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", deadline.as_str()),
        ("Authorization", key.as_str()),
        ("Connection", "close"),
    ];
    let request = Message::request(kind.method, kind.path, &headers, "");
    let at = Instant::now();
    let (status, body) = match http::call(front, &request, kind.deadline) {
        Ok(answer) => (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()),
        Err(_) => (0, String::new()),
    };
    Sent { at, id, node: node.to_owned(), key: kind.key.to_owned(), status, body }
}
