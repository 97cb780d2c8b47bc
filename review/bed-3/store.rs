//! Stand-in of the platform's store: items with revisions, leases, watches and transactions, and
//! its return from an earlier copy of itself.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use super::{
    http::{self, Message},
    json::{self, Value},
};

#[derive(Clone, Debug)]
struct Item {
    /// In base64, as it is on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

/// What a copy of the store holds.
#[derive(Clone, Debug, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    granted: u64,
}

#[derive(Debug)]
struct State {
    content: Content,
    copy: Option<Content>,
    era: u64,
    is_away: bool,
}

/// The store; clones share its state.
#[derive(Clone, Debug)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves a new store.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let content = Content { revision: 1, ..Content::default() };
        let state = State { content, copy: None, era: 1, is_away: false };
        let store = Self(Arc::new((Mutex::new(state), Condvar::new())));
        let served = store.clone();
        http::serve(address, move |request, _| served.answer(request))?;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.change(|content| content.expire());
            }
        });
        Ok(store)
    }

    /// Writes an item as the operator or a runner does; returns its revision, `None` if the store is
    /// away and has not taken it.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        let value = base64(value.as_bytes());
        self.change(|content| content.write(key, value, 0))
    }

    /// Removes an item as the operator or a runner does.
    pub fn remove(&self, key: &str) -> Option<u64> {
        self.change(|content| {
            content.remove(key);
            content.revision
        })
    }

    pub fn revision(&self) -> u64 {
        self.lock().content.revision
    }

    /// The key of an item with its revision, for the record.
    pub fn has(&self, key: &str) -> Option<u64> {
        self.lock().content.items.get(key).map(|item| item.revision)
    }

    /// Keeps a copy of all that the store holds now.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = Some(state.content.clone());
    }

    /// From now on no call is answered.
    pub fn leave(&self) {
        self.lock().is_away = true;
        self.0.1.notify_all();
    }

    /// Comes back from the copy. Leases of the copy run from now.
    pub fn restore(&self) {
        let mut state = self.lock();
        let mut content = state.copy.clone().expect("there is a copy");
        let now = Instant::now();
        content.leases.values_mut().for_each(|lease| lease.until = now + lease.ttl);
        // Identifiers of leases are not given out again.
        content.granted = state.content.granted;
        state.content = content;
        state.era += 1;
        state.is_away = false;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn change<T>(&self, change: impl FnOnce(&mut Content) -> T) -> Option<T> {
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let before = state.content.revision;
        let result = change(&mut state.content);
        if state.content.revision != before {
            self.0.1.notify_all();
        }
        Some(result)
    }

    fn answer(&self, request: &Message) -> Option<Message> {
        let body = std::str::from_utf8(&request.body).ok().and_then(json::parse);
        let body = body.unwrap_or(Value::Null);
        let id = || request.path().rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let (status, text) = match (request.method(), request.path()) {
            ("GET", "/api/kv-watch") => self.watch(request)?,
            ("GET", "/api/kv-key") => {
                let key = request.query("key");
                self.change(|content| match content.items.get(&key) {
                    Some(item) => {
                        let fields = fields(&key, item);
                        (200, format!("{{{fields},\"at\":{}}}", content.revision))
                    }
                    None => (404, String::new()),
                })?
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("since_rev"));
                self.change(|content| content.range(&prefix, &after))?
            }
            ("POST", "/api/kv-txn") => self.change(|content| content.transact(&body))?,
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttl_ms").and_then(Value::number).unwrap_or(1_000);
                let ttl = ttl.clamp(1_000, 600_000);
                let lease = self.change(|content| content.grant(ttl))?;
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                match self.change(|content| content.renew(id()))? {
                    Some(ttl) => (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis())),
                    None => (404, String::new()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                self.change(|content| content.revoke(id()))?;
                (200, String::new())
            }
            _ => (404, String::new()),
        };
        let era = self.lock().era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        Some(Message::response(status, &headers, &text))
    }

    fn watch(&self, request: &Message) -> Option<(u16, String)> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("since_rev").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let era = state.era;
        loop {
            // A watch that is waiting is cut when the store goes away.
            if state.is_away || state.era != era {
                return None;
            }
            let content = &state.content;
            if after > content.revision {
                return Some((410, String::new()));
            }
            let later = content.history.iter();
            let later =
                later.filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<_> = later
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", fields(key, item)),
                    None => {
                        let key = json::quote(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), content.revision);
                return Some((200, format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            let waited = self.0.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let matching = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut matching = matching.filter(|(key, _)| key.as_str() > after || after.is_empty());
        let page: Vec<_> = matching.by_ref().take(500).collect();
        let page: Vec<_> =
            page.iter().map(|(key, item)| format!("{{{}}}", fields(key, item))).collect();
        let (page, more) = (page.join(","), matching.next().is_some());
        (200, format!("{{\"entries\":[{page}],\"has_more\":{more},\"at\":{}}}", self.revision))
    }

    fn transact(&mut self, body: &Value) -> (u16, String) {
        let rows = |name: &str| body.get(name).map_or(&[][..], Value::list).to_vec();
        let key = |row: &Value| row.get("key").and_then(Value::text).unwrap_or_default().to_owned();
        let is_own = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
        let written = rows("write");
        let removed: Vec<_> =
            rows("remove").iter().filter_map(Value::text).map(str::to_owned).collect();
        if !written.iter().all(|row| is_own(&key(row))) || !removed.iter().all(|key| is_own(key)) {
            return (403, String::new());
        }
        let conditions = rows("expected_rev");
        let holds = |row: &Value| {
            let found = self.items.get(&key(row)).map_or(0, |item| item.revision);
            row.get("revision").and_then(Value::number) == Some(found)
        };
        if !conditions.iter().all(holds) {
            let entry = |row: &Value| {
                let key = key(row);
                match self.items.get(&key) {
                    Some(item) => format!("{{{}}}", fields(&key, item)),
                    None => {
                        format!("{{\"key\":{},\"revision\":0,\"deleted\":true}}", json::quote(&key))
                    }
                }
            };
            let entries: Vec<_> = conditions.iter().map(entry).collect();
            return (412, format!("{{\"entries\":[{}]}}", entries.join(",")));
        }
        let lease = |row: &Value| row.get("lease").and_then(Value::number).unwrap_or(0);
        if written.iter().any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row))) {
            return (404, String::new());
        }
        for row in &written {
            let value = row.get("value").and_then(Value::text).unwrap_or_default().to_owned();
            self.write(&key(row), value, lease(row));
        }
        removed.iter().for_each(|key| self.remove(key));
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn grant(&mut self, ttl_ms: u64) -> u64 {
        self.granted += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.granted, Lease { ttl, until: Instant::now() + ttl });
        self.granted
    }

    fn renew(&mut self, id: u64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.until = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    fn revoke(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let held: Vec<_> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.revoke(id));
    }
}

fn fields(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    let key = json::quote(key);
    format!(
        "\"key\":{key},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit <= group.len() { DIGITS[value] as char } else { '=' });
        }
    }
    text
}
