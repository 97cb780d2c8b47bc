//! Stand-in of a runner of a plain service.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use super::{
    http::{self, Message},
    store::Store,
};

/// Time between two writes of its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a runner ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub runner: String,
    pub service: String,
}

/// What all runners ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A running runner; clones share its state.
#[derive(Clone, Debug)]
pub struct Runner {
    pub id: String,
    pub service: String,
    address: SocketAddr,
    zone: String,
    born: u128,
    store: Store,
    sequence: Arc<AtomicU64>,
    /// Whether its entry is no longer written.
    has_left: Arc<AtomicBool>,
    /// Whether it has ended.
    is_gone: Arc<AtomicBool>,
}

impl Runner {
    /// Starts a runner that needs `work` for a request.
    pub fn start(
        id: &str,
        (service, zone): (&str, &str),
        work: Duration,
        store: &Store,
        runs: &Runs,
    ) -> io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis());
        let runner = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: http::free([127, 0, 0, 1])?,
            zone: zone.to_owned(),
            born,
            store: store.clone(),
            sequence: Arc::default(),
            has_left: Arc::default(),
            is_gone: Arc::default(),
        };
        let (served, runs) = (runner.clone(), Arc::clone(runs));
        http::serve(runner.address, move |request, _| served.answer(request, work, &runs))?;
        let beating = runner.clone();
        thread::spawn(move || {
            while !beating.has_left.load(Ordering::SeqCst) {
                // A write that the store did not take is made again soon.
                let wait = if beating.beat().is_some() { HEARTBEAT } else { HEARTBEAT / 10 };
                thread::sleep(wait);
            }
        });
        Ok(runner)
    }

    /// Leaves as a runner that never reports `draining`: its entry is removed, and it serves on for
    /// `rest`. Returns the revision of the removal.
    pub fn leave(&self, rest: Duration) -> Option<u64> {
        self.has_left.store(true, Ordering::SeqCst);
        let revision = self.store.remove(&self.key());
        let gone = Arc::clone(&self.is_gone);
        thread::spawn(move || {
            thread::sleep(rest);
            gone.store(true, Ordering::SeqCst);
        });
        revision
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn beat(&self) -> Option<u64> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Self { service, address, zone, born, .. } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        if self.has_left.load(Ordering::SeqCst) {
            return None;
        }
        self.store.put(&self.key(), &entry)
    }

    fn answer(&self, request: &Message, work: Duration, runs: &Runs) -> Option<Message> {
        if self.is_gone.load(Ordering::SeqCst) {
            return None;
        }
        let own = ("Instance-Id", self.id.as_str());
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let echo = ("Attempt-Id", id.as_str());
        if request.path() == "/healthz" {
            return Some(Message::response(200, &[own], ""));
        }
        if request.header("expect-instance").is_some_and(|wanted| wanted != self.id) {
            return Some(Message::response(421, &[own, echo], ""));
        }
        if id.is_empty() {
            return Some(Message::response(400, &[("Not-Executed", "1")], ""));
        }
        runs.lock().unwrap_or_else(|e| e.into_inner()).push(Run {
            at: Instant::now(),
            id: id.clone(),
            path: request.path().to_owned(),
            runner: self.id.clone(),
            service: self.service.clone(),
        });
        thread::sleep(work);
        let body = format!("{} {id}", self.id);
        Some(Message::response(200, &[echo, ("Server-Seal", "seal")], &body))
    }
}
