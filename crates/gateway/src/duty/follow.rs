//! Duty: follows the facts of the platform.

use std::{sync, time};

use corneltrestle_infra::store;
use corneltrestle_kernel::{host, plugin, run};
use corneltrestle_policy::retry;
use rand::Rng;

use crate::{
    source::{self, Source},
    tables,
};

/// Longest wait of a call for changes. A connection that has fallen silent is noticed after it.
const WAIT: time::Duration = time::Duration::from_secs(2);

/// Least time between two calls for changes, so that changes that come together cost one call.
const PACE: time::Duration = time::Duration::from_millis(100);

/// Longest wait before the source is asked again after a failure.
const RETRY_MAX: time::Duration = time::Duration::from_millis(400);

/// The duty with what it works on.
#[derive(Debug)]
struct Follower<S> {
    host: sync::Arc<host::Host>,
    tables: tables::Tables,
    source: sync::Arc<S>,
}

/// Opens the duty.
///
/// # Errors
///
/// When no plug-in has offered the source.
pub fn open<S: Source>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let follower = Follower::<S> {
        host: sync::Arc::clone(host),
        tables: tables::Tables::of(host),
        source: host.port()?,
    };
    let handle = plugin::Handle::default();
    handle.run_until_stop(&host.pool, async move { follower.run().await });
    Ok(handle)
}

impl<S: Source> Follower<S> {
    async fn run(self) {
        let mut failures = 0;
        let mut loaded = false;
        loop {
            let result = if loaded { self.follow().await } else { self.load().await };
            match result {
                Ok(changed) => {
                    if std::mem::take(&mut failures) > 0 {
                        log::info!(dependency = "store"; "store: reached again");
                    }
                    loaded = true;
                    if changed {
                        tokio::time::sleep(PACE).await;
                    }
                }
                Err(e) if e.kind == store::Kind::Compacted => {
                    log::info!(dependency = "store"; "store: changes are no longer kept; all facts are read");
                    loaded = false;
                }
                Err(e) => {
                    failures += 1;
                    self.lose(&e);
                    let most = RETRY_MAX.min(retry::BACKOFF_MIN * failures);
                    let wait = rand::rng().random_range(most / 2..=most);
                    tokio::time::sleep(wait).await;
                }
            }
            self.settle();
        }
    }

    async fn load(&self) -> source::Result<bool> {
        let asked = self.host.now();
        let facts = self.source.load().await?;
        let (at, number) = (facts.at, facts.changes.len());
        self.tables.catalog.lock().replace(facts, asked);
        log::info!(revision = at, facts = number; "config: all facts were read");
        self.advance();
        Ok(false)
    }

    async fn follow(&self) -> source::Result<bool> {
        let after = self.tables.catalog.lock().at();
        let changes = self.source.changes(after, WAIT).await?;
        // An answer says that nothing else had changed when it was made.
        let answered = self.host.now();
        let changed = !changes.changes.is_empty();
        let before = self.version();
        self.tables.catalog.lock().apply(changes, answered);
        let version = self.version();
        if version != before {
            log::info!(version = version, revision = after; "config: a new version is in force");
        }
        self.advance();
        Ok(changed)
    }

    fn version(&self) -> u64 {
        self.tables.current.load().deployment.as_ref().map_or(0, |declared| declared.version)
    }

    /// Becomes ready once the declared state is known.
    fn advance(&self) {
        if self.host.run.stage() == run::Stage::Starting && self.version() > 0 {
            log::info!(version = self.version(); "node: ready");
            self.host.run.advance(run::Stage::Ready);
        }
    }

    fn settle(&self) {
        let removed = self.tables.catalog.lock().settle(self.host.now());
        if removed > 0 {
            log::info!(number = removed; "config: upstreams that have not registered again are gone");
        }
    }

    fn lose(&self, error: &store::Error) {
        if self.tables.catalog.lock().lose() {
            log::warn!(dependency = "store"; "store: out of reach: {error}");
        }
    }
}
