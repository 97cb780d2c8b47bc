//! Stand-in of the platform's store: keys with revisions, leases, watches, transactions, and a history
//! that may be discarded. Each node reaches it at an address of its own, which can be cut off.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{http, json::{self, Json}};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Time to live in ms, and when the lease ends.
    leases: BTreeMap<u64, (u64, Instant)>,
    history: Vec<(u64, String, Option<Item>)>,
    /// Revision up to which the history was discarded.
    discarded: u64,
    revision: u64,
    granted: u64,
}

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Whether the store is down: nothing that arrives is carried out or answered.
    is_down: Arc<AtomicBool>,
    /// Number of times that all open connections have gone silent.
    silences: Arc<AtomicU64>,
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in held {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        json::quote(key), base64(&item.value), item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 1;
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                ticking.change(State::expire);
            }
        });
        store
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let changed = change(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
        changed
    }

    /// Writes a key, as the operator and runners do.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.write(key, value.as_bytes().to_vec(), 0));
    }

    pub fn remove(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    pub fn has(&self, key: &str) -> bool {
        self.shared.0.lock().unwrap().items.contains_key(key)
    }

    /// Keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Discards the history: watches from before now get status 410.
    pub fn discard_history(&self) {
        self.change(|state| {
            state.history.clear();
            state.discarded = state.revision;
        });
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.shared.1.notify_all();
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        state.items.get(key).map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    /// Time since the latest renewal of any lease with at least this time to live.
    pub fn since_renewal(&self, ttl_ms: u64) -> Duration {
        let state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let of = |(ttl, until): &(u64, Instant)| {
            Duration::from_millis(*ttl).saturating_sub(until.saturating_duration_since(now))
        };
        state.leases.values().filter(|(ttl, _)| *ttl >= ttl_ms).map(of).min().unwrap_or_default()
    }

    /// Serves the store on an address. While `is_cut`, nothing passes in either direction; what was sent
    /// meanwhile arrives with its next retransmission, unless its sender has given it up. What arrives in an
    /// outage is lost, and its connection is closed at the end.
    pub fn serve(&self, address: SocketAddr, is_cut: Arc<AtomicBool>) {
        let store = self.clone();
        http::serve(address, move |mut connection| {
            let opened = store.silences.load(Ordering::SeqCst);
            let is_dead = || store.silences.load(Ordering::SeqCst) != opened;
            let is_down = || store.is_down.load(Ordering::SeqCst);
            let mut exchange = || -> io::Result<()> {
                loop {
                    let request = connection.message()?;
                    let arrived = Instant::now();
                    if is_dead() {
                        continue;
                    }
                    while is_cut.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(5));
                    }
                    let held = arrived.elapsed();
                    thread::sleep(retransmitted(held).saturating_sub(held));
                    if is_down() {
                        return Ok(());
                    }
                    thread::sleep(Duration::from_millis(4));
                    let answer = store.answer(&request);
                    if is_dead() {
                        continue;
                    }
                    if is_down() || is_cut.load(Ordering::SeqCst) {
                        return Ok(());
                    }
                    connection.write(&answer)?;
                }
            };
            let _ = exchange();
            while is_down() || is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    fn answer(&self, request: &http::Message) -> Vec<u8> {
        let body = Json::parse(&request.body);
        match (request.method(), request.path()) {
            ("GET", "/api/kv-key") => {
                let (key, state) = (request.query("key").unwrap_or_default(), self.shared.0.lock().unwrap());
                match state.items.get(&key) {
                    Some(item) => http::json(200, &item_text(&key, item)),
                    None => http::json(404, "{}"),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) =
                    (request.query("prefix").unwrap_or_default(), request.query("since_rev").unwrap_or_default());
                let state = self.shared.0.lock().unwrap();
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let entries: Vec<String> = found.map(|(key, item)| item_text(key, item)).collect();
                let text = format!(
                    "{{\"entries\":[{}],\"has_more\":false,\"at\":{}}}", entries.join(","), state.revision
                );
                http::json(200, &text)
            }
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.change(|state| transact(state, &body)),
            ("POST", "/api/kv-lease") => self.change(|state| {
                state.granted += 1;
                let (id, ttl) = (state.granted, body.get("ttl_ms").num().unwrap_or(1_000.0).max(1_000.0) as u64);
                state.leases.insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
                http::json(200, &format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }),
            (method, path) => {
                let id = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                self.change(|state| {
                    let Some((ttl, until)) = state.leases.get_mut(&id) else {
                        return http::json(404, "{}");
                    };
                    if method == "DELETE" {
                        state.end_lease(id);
                        return http::json(200, "{}");
                    }
                    *until = Instant::now() + Duration::from_millis(*ttl);
                    http::json(200, &format!("{{\"ttl_ms\":{ttl}}}"))
                })
            }
        }
    }

    fn watch(&self, request: &http::Message) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (prefix, after) = (request.query("prefix").unwrap_or_default(), number("since_rev"));
        let end = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                return Vec::new();
            }
            if after < state.discarded {
                return http::json(410, "{}");
            }
            let later = state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = later
                .map(|(revision, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", json::quote(key)
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                return http::json(200, &text);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// When bytes that were sent into a cut are sent once more, at the latest after this time: TCP repeats them after
/// 0.2 s, and after twice the time each time.
fn retransmitted(held: Duration) -> Duration {
    if held < Duration::from_millis(20) {
        return Duration::ZERO;
    }
    let (mut next, mut pause) = (Duration::from_millis(200), Duration::from_millis(400));
    while next < held {
        next += pause;
        pause *= 2;
    }
    next
}

fn transact(state: &mut State, body: &Json) -> Vec<u8> {
    let conditions = body.get("expected_rev").list();
    let holds = |row: &Json| {
        let revision = state.items.get(row.get("key").str()).map_or(0, |item| item.revision);
        row.get("revision").num() == Some(revision as f64)
    };
    if !conditions.iter().all(holds) {
        let present: Vec<String> = conditions
            .iter()
            .map(|row| {
                let key = row.get("key").str();
                state.items.get(key).map_or_else(
                    || format!("{{\"key\":{},\"revision\":0,\"deleted\":true}}", json::quote(key)),
                    |item| item_text(key, item),
                )
            })
            .collect();
        return http::json(412, &format!("{{\"entries\":[{}]}}", present.join(",")));
    }
    let writes = body.get("write").list();
    let lease = |row: &Json| row.get("lease").num().unwrap_or(0.0) as u64;
    if writes.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
        return http::json(404, "{}");
    }
    for row in writes {
        state.write(row.get("key").str(), unbase64(row.get("value").str()), lease(row));
    }
    for key in body.get("remove").list() {
        state.remove(key.str());
    }
    http::json(200, &format!("{{\"revision\":{}}}", state.revision))
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            let is_padding = digit > group.len();
            let value = (word >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { DIGITS[value as usize] as char });
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for letter in text.bytes() {
        let Some(value) = DIGITS.iter().position(|digit| *digit == letter) else { continue };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}
