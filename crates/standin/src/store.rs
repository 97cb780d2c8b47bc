//! Stand-in for the platform's key-value store: a subset of the etcd v3 JSON gateway.
//!
//! It supports ranges and watches of one key, transactions with one comparison, and leases.

mod keys;
mod message;
mod watch;

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use corneltrestle_kernel::{
    clock::{self, Clock},
    table,
};
use serde_json::json;
use tokio::sync::watch as notify;

use crate::{
    fault,
    server::{self, Api},
};

/// A running store.
pub type Handle = server::Handle<Store>;

/// Interval at which expired leases are removed; short compared with a TTL, which is in seconds.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Configuration of a store.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Time without events after which a watch gets a progress notification.
    pub progress_interval: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self { listen: ([127, 0, 0, 1], 0).into(), progress_interval: time::Duration::from_secs(1) }
    }
}

/// The key-value store.
#[derive(Debug)]
pub struct Store {
    progress_interval: time::Duration,
    clock: clock::System,
    keys: table::Table<keys::Keys>,
    /// The latest revision; wakes the watches when it advances.
    revision: notify::Sender<u64>,
    /// Number of open watches.
    watching: atomic::AtomicU64,
}

/// Binds a store and serves it on the current tokio runtime.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn bind(config: Config) -> server::Result<Handle> {
    let store = Store {
        progress_interval: config.progress_interval,
        clock: clock::System::open(),
        keys: table::Table::default(),
        revision: notify::Sender::new(1),
        watching: atomic::AtomicU64::new(0),
    };
    let handle = server::bind(store, config.listen).await?;
    let store = sync::Arc::clone(handle.api());
    handle.spawn(async move {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let now = store.clock.now();
            store.change(|keys| keys.expire(now));
        }
    });
    Ok(handle)
}

impl Store {
    /// The value of a key, read without a call; for tests.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.keys.lock().get(key.as_bytes()).map(|found| found.value.clone())
    }

    /// Changes the keys and wakes the watches.
    fn change<T>(&self, change: impl FnOnce(&mut keys::Keys) -> T) -> T {
        let (result, revision) = {
            let mut keys = self.keys.lock();
            (change(&mut keys), keys.revision())
        };
        self.revision.send_if_modified(|latest| {
            let advanced = revision > *latest;
            *latest = revision.max(*latest);
            advanced
        });
        result
    }

    fn call(&self, path: &str, body: &[u8]) -> message::Result<serde_json::Value> {
        let now = self.clock.now();
        match path {
            "/v3/kv/range" => {
                let range = message::decode::<message::Range>(body)?;
                Ok(self.keys.lock().range(&range))
            }
            "/v3/kv/txn" => {
                let txn = message::decode::<message::Txn>(body)?;
                self.change(|keys| keys.txn(&txn))
            }
            "/v3/lease/grant" => {
                let grant = message::decode::<message::Grant>(body)?;
                self.change(|keys| keys.grant(&grant, now))
            }
            "/v3/lease/keepalive" => {
                let lease = message::decode::<message::Lease>(body)?;
                Ok(json!({"result": self.change(|keys| keys.keep_alive(&lease, now))}))
            }
            "/v3/lease/revoke" => {
                let lease = message::decode::<message::Lease>(body)?;
                self.change(|keys| keys.revoke(&lease))
            }
            _ => Err(message::Error::not_found()),
        }
    }
}

impl Api for Store {
    fn kind(&self, _: &hyper::Method, path: &str) -> server::Kind {
        match path {
            "/v3/kv/range" => server::Kind { name: "range", write: false },
            "/v3/kv/txn" => server::Kind { name: "txn", write: true },
            "/v3/lease/grant" => server::Kind { name: "grant", write: true },
            "/v3/lease/keepalive" => server::Kind { name: "keepalive", write: true },
            "/v3/lease/revoke" => server::Kind { name: "revoke", write: true },
            "/v3/watch" => server::Kind { name: "watch", write: false },
            _ => server::Kind { name: "unknown", write: false },
        }
    }

    async fn answer(
        self: &sync::Arc<Self>,
        call: &server::Call,
        shared: &sync::Arc<server::Shared>,
    ) -> server::Reply {
        let answered = match call.path.as_str() {
            _ if call.method != hyper::Method::POST => Err(message::Error::not_found()),
            "/v3/watch" => {
                message::decode(&call.body).map(|create| watch::open(self, create, shared))
            }
            path => {
                self.call(path, &call.body).map(|value| server::json(hyper::StatusCode::OK, &value))
            }
        };
        answered.unwrap_or_else(|e| e.reply())
    }

    fn counts(&self, counts: &mut collections::BTreeMap<String, u64>) {
        counts.insert("watching".to_owned(), self.watching.load(atomic::Ordering::Relaxed));
    }

    fn faults_changed(&self, before: &fault::State, after: &fault::State) {
        if after.lease_expiries > before.lease_expiries {
            self.change(keys::Keys::expire_all);
        }
    }
}
