//! The baseline: clients that read the head of the configuration once a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use corneltrestle_platform::store::etcd::{self, EtcdStore};
use corneltrestle_platform::store::{Class, Store};
use corneltrestle_policy::release;
use corneltrestle_wire::{key, stored};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// Time between two reads of one client.
const PERIOD: Duration = Duration::from_secs(1);

/// Running clients.
pub(super) struct Pollers {
    seen: Vec<Arc<AtomicU64>>,
    calls: Arc<AtomicU64>,
    jobs: Vec<JoinHandle<()>>,
}

impl Pollers {
    /// Starts clients whose reads are spread evenly over the period.
    pub(super) fn spawn(store: SocketAddr, clients: usize, runtime: &Runtime) -> Self {
        let calls = Arc::new(AtomicU64::new(0));
        let seen: Vec<_> = (0..clients).map(|_| Arc::new(AtomicU64::new(0))).collect();
        let phases = (0..clients).map(|number| PERIOD.mul_f64(number as f64 / clients as f64));
        let jobs = seen.iter().zip(phases).map(|(seen, phase)| {
            runtime.spawn(poll(store, phase, Arc::clone(seen), Arc::clone(&calls)))
        });
        let jobs = jobs.collect();
        Self { seen, calls, jobs }
    }

    /// Whether every client has read this revision.
    pub(super) fn all_at(&self, revision: u64) -> bool {
        self.seen.iter().all(|seen| seen.load(Ordering::Relaxed) >= revision)
    }

    /// Reads so far.
    pub(super) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Ends the clients.
    pub(super) fn stop(self) {
        for job in self.jobs {
            job.abort();
        }
    }
}

async fn poll(store: SocketAddr, phase: Duration, seen: Arc<AtomicU64>, calls: Arc<AtomicU64>) {
    let client = EtcdStore::open(etcd::Config::new(store));
    let mut due = tokio::time::interval_at(tokio::time::Instant::now() + phase, PERIOD);
    loop {
        due.tick().await;
        calls.fetch_add(1, Ordering::Relaxed);
        let Ok(Some(head)) = client.read(key::head(), Class::Config).await else { continue };
        if let Ok(release) = stored::decode::<release::Release>(key::head(), &head.value) {
            seen.fetch_max(release.revision, Ordering::Relaxed);
        }
    }
}
