//! Baseline of the scenario `config`: clients that read the newest revision from the store once a
//! second.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use corneltrestle_etcd::gateway;
use corneltrestle_infra::store::{self, Store};
use corneltrestle_policy::release;
use corneltrestle_wire::{key, stored};
use tokio::{runtime, task};

/// Interval between two reads of one client.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Running polling clients.
pub(super) struct Pollers {
    /// Highest revision that each client has read.
    seen: Vec<sync::Arc<atomic::AtomicU64>>,
    calls: sync::Arc<atomic::AtomicU64>,
    jobs: Vec<task::JoinHandle<()>>,
}

impl Pollers {
    /// Starts `clients` clients whose reads are spread evenly over the interval.
    pub(super) fn spawn(
        store: net::SocketAddr,
        clients: usize,
        runtime: &runtime::Runtime,
    ) -> Self {
        let calls = sync::Arc::new(atomic::AtomicU64::new(0));
        let seen: Vec<_> =
            (0..clients).map(|_| sync::Arc::new(atomic::AtomicU64::new(0))).collect();
        let phases =
            (0..clients).map(|number| POLL_INTERVAL.mul_f64(number as f64 / clients as f64));
        let jobs = seen.iter().zip(phases).map(|(seen, phase)| {
            runtime.spawn(poll(store, phase, sync::Arc::clone(seen), sync::Arc::clone(&calls)))
        });
        let jobs = jobs.collect();
        Self { seen, calls, jobs }
    }

    /// Whether every client has read this revision or a newer one.
    pub(super) fn all_reached(&self, revision: u64) -> bool {
        self.seen.iter().all(|seen| seen.load(atomic::Ordering::Relaxed) >= revision)
    }

    /// Reads of all clients so far.
    pub(super) fn calls(&self) -> u64 {
        self.calls.load(atomic::Ordering::Relaxed)
    }

    /// Aborts the clients.
    pub(super) fn stop(self) {
        for job in self.jobs {
            job.abort();
        }
    }
}

async fn poll(
    store: net::SocketAddr,
    phase: time::Duration,
    seen: sync::Arc<atomic::AtomicU64>,
    calls: sync::Arc<atomic::AtomicU64>,
) {
    let client = gateway::EtcdStore::open(gateway::Config::new(store));
    let mut due = tokio::time::interval_at(tokio::time::Instant::now() + phase, POLL_INTERVAL);
    loop {
        due.tick().await;
        calls.fetch_add(1, atomic::Ordering::Relaxed);
        let Ok(Some(head)) = client.read(key::head(), store::Class::Config).await else { continue };
        if let Ok(release) = stored::decode::<release::Release>(key::head(), &head.value) {
            seen.fetch_max(release.revision, atomic::Ordering::Relaxed);
        }
    }
}
