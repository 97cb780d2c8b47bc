//! Stand-in of a plain runner: it registers itself, works for some ms on each request, and answers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use super::{http, store::Store, time, unix_ms};

/// Time between two writes of the registration.
const HEARTBEAT_MS: u64 = 1_200;

/// Additional bytes after a complete answer; they belong to no request.
const STRAY: &[u8] = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub path: String,
}

/// A runner; clones share its state.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    store: Store,
    zone: String,
    born: u128,
    sequence: Arc<AtomicU64>,
    is_registered: Arc<AtomicBool>,
    is_ended: Arc<AtomicBool>,
    /// Whether it is partitioned from the store.
    is_cut: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    /// One in how many answers is followed by additional bytes; 0 for none.
    stray_each: Arc<AtomicU64>,
    /// Number of times that additional bytes were sent, and of answers.
    pub strays: Arc<AtomicU64>,
    answers: Arc<AtomicU64>,
    work_ms: u64,
    /// Time of the case until which it is cold.
    cold_until: f64,
    /// Requests in one second at which it crashes while it is cold.
    cold_limit: usize,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Runner {
    /// Starts a runner of the service `orders`.
    pub fn start(store: &Store, id: &str, zone: &str, address: SocketAddr, work_ms: u64) -> Self {
        Self::start_cold(store, id, zone, address, work_ms, (0.0, usize::MAX))
    }

    /// Starts a runner that is cold for some seconds, and crashes at more than `limit` requests in one
    /// second meanwhile.
    pub fn start_cold(
        store: &Store,
        id: &str,
        zone: &str,
        address: SocketAddr,
        work_ms: u64,
        (cold_s, limit): (f64, usize),
    ) -> Self {
        let runner = Self {
            id: id.to_owned(),
            address,
            store: store.clone(),
            zone: zone.to_owned(),
            born: unix_ms(),
            sequence: Arc::default(),
            is_registered: Arc::new(AtomicBool::new(true)),
            is_ended: Arc::default(),
            is_cut: Arc::default(),
            is_draining: Arc::default(),
            stray_each: Arc::default(),
            strays: Arc::default(),
            answers: Arc::default(),
            work_ms,
            cold_until: time() + cold_s,
            cold_limit: limit,
            arrivals: Arc::default(),
        };
        let served = runner.clone();
        let is_ended = Arc::clone(&runner.is_ended);
        http::serve_until(address, is_ended, move |connection| served.serve(connection));
        let beating = runner.clone();
        thread::spawn(move || {
            while beating.is_registered.load(Ordering::SeqCst) {
                if !beating.is_cut.load(Ordering::SeqCst) {
                    beating.register();
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        runner
    }

    /// Partitions the runner from the store: its registration is removed after three heartbeats of silence.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        let (store, key) = (self.store.clone(), format!("servers/{}", self.id));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
            store.remove(&key);
        });
    }

    /// Ends the partition: the runner registers again with its next heartbeat.
    pub fn reconnect(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Begins to leave without reporting `draining`: it writes no heartbeat any more, and serves on.
    pub fn leave(&self) {
        self.is_registered.store(false, Ordering::SeqCst);
    }

    /// Crashes behind the cut, and starts again at once under the same id and address; cold for `cold_s`.
    pub fn rebirth(&self, down_ms: u64, (cold_s, limit): (f64, usize)) -> Self {
        self.is_ended.store(true, Ordering::SeqCst);
        self.is_registered.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(down_ms));
        let reborn = Self {
            born: unix_ms(),
            sequence: Arc::default(),
            is_registered: Arc::new(AtomicBool::new(true)),
            is_ended: Arc::default(),
            cold_until: time() + cold_s,
            cold_limit: limit,
            arrivals: Arc::default(),
            ..self.clone()
        };
        let (served, is_ended) = (reborn.clone(), Arc::clone(&reborn.is_ended));
        http::serve_until(self.address, is_ended, move |connection| served.serve(connection));
        reborn
    }

    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let text = format!(
            "{{\"service\":\"orders\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold_left_ms\":{:.0},\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.zone, (self.cold_until - time()).max(0.0) * 1_000.0, self.born
        );
        self.store.put(&format!("servers/{}", self.id), &text);
    }

    /// Registers the runner, and goes on to do so.
    pub fn announce(&self) {
        let beating = self.clone();
        thread::spawn(move || {
            while beating.is_registered.load(Ordering::SeqCst) {
                beating.register();
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }

    /// Reports `draining`, serves on for `serve_ms`, and ends; its registration is removed then.
    pub fn drain(&self, serve_ms: u64) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.register();
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(serve_ms));
            runner.exit();
            runner.deregister();
        });
    }

    /// Removes the registration without having reported `draining`; the runner serves on.
    pub fn deregister(&self) {
        self.is_registered.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        self.store.remove(&format!("servers/{}", self.id));
    }

    /// Sends additional bytes after one in `each` answers, or after none if it is 0. They arrive late, just
    /// before the next answer on the connection.
    pub fn set_strays(&self, each: u64) {
        self.stray_each.store(each, Ordering::SeqCst);
    }

    /// Whether the runner has ended.
    pub fn has_ended(&self) -> bool {
        self.is_ended.load(Ordering::SeqCst)
    }

    /// Ends the runner as a crash does; its registration is removed after three heartbeats.
    pub fn crash(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        self.is_registered.store(false, Ordering::SeqCst);
        let (store, key) = (self.store.clone(), format!("servers/{}", self.id));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
            store.remove(&key);
        });
    }

    /// Ends the runner: open connections are closed, and new ones are not served.
    pub fn exit(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
    }

    fn serve(&self, mut connection: http::Connection) {
        let closing = connection.stream.try_clone();
        let is_ended = Arc::clone(&self.is_ended);
        let is_done = Arc::new(AtomicBool::new(false));
        let done = Arc::clone(&is_done);
        thread::spawn(move || {
            // The end of the process closes its connections.
            while !done.load(Ordering::SeqCst) {
                if is_ended.load(Ordering::SeqCst) {
                    let _ = closing.map(|stream| stream.shutdown(std::net::Shutdown::Both));
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        self.exchange(&mut connection);
        is_done.store(true, Ordering::SeqCst);
    }

    fn exchange(&self, connection: &mut http::Connection) {
        let mut is_stray_due = false;
        while let Ok(request) = connection.message() {
            if std::mem::take(&mut is_stray_due) {
                self.strays.fetch_add(1, Ordering::SeqCst);
                let _ = connection.write(STRAY);
            }
            if self.is_ended.load(Ordering::SeqCst) {
                return;
            }
            if request.header("expect-instance").is_some_and(|id| id != self.id) {
                let headers = [("Instance-Id", self.id.as_str())];
                let _ = connection.write(&http::answer(421, &headers, b""));
                continue;
            }
            if request.path() == "/healthz" {
                let cold = format!("{:.0}", (self.cold_until - time()).max(0.0) * 1_000.0);
                let headers = [("Instance-Id", self.id.as_str()), ("Cold-Ms", cold.as_str())];
                let _ = connection.write(&http::answer(200, &headers, b""));
                continue;
            }
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            let arrival = Arrival { at: time(), id: id.clone(), path: request.path().to_owned() };
            let now = arrival.at;
            let recent = {
                let mut arrivals = self.arrivals.lock().unwrap();
                arrivals.push(arrival);
                arrivals.iter().filter(|other| now - other.at < 1.0).count()
            };
            if now < self.cold_until && recent > self.cold_limit && !self.is_ended.swap(true, Ordering::SeqCst) {
                super::say(&format!("{} crashes at {recent} requests in one second while it is cold", self.id));
                self.is_registered.store(false, Ordering::SeqCst);
            }
            thread::sleep(Duration::from_millis(self.work_ms));
            if self.is_ended.load(Ordering::SeqCst) {
                return;
            }
            let headers = [("Attempt-Id", id.as_str()), ("Server-Seal", "review")];
            let body = format!("answer to {id}");
            if connection.write(&http::answer(200, &headers, body.as_bytes())).is_err() {
                return;
            }
            let each = self.stray_each.load(Ordering::SeqCst);
            let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            is_stray_due = each > 0 && answers % each == 0;
        }
    }
}
