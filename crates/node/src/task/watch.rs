//! Task: follows the head of the configuration, which is the newest release in the store.
//!
//! Two nodes of each zone hold a watch. The others get its updates by gossip, and read the store
//! themselves only when those stop. The task also decides when a starting node is ready.

use std::{sync, time};

use corneltrestle_etcd::gateway;
use corneltrestle_infra::store::{self, Store, Watch};
use corneltrestle_kernel::{host, lifecycle, linkme, plugin};
use corneltrestle_policy::{adoption, assignment, release};
use corneltrestle_time::moment;
use corneltrestle_wire::{key, stored};

use crate::{identity, tables, updates};

/// Time between two checks of which nodes watch and how old the latest update is.
const PERIOD: time::Duration = time::Duration::from_millis(250);

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static WATCH: plugin::Plugin = plugin::Plugin {
    name: "watch",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open: open::<gateway::NodeStore>,
};

/// State of the task.
#[derive(Debug)]
struct Watcher<S> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    store: sync::Arc<S>,
}

fn open<S: Store>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let watcher = sync::Arc::new(Watcher::<S> {
        host: sync::Arc::clone(host),
        identity: host.port()?,
        tables: tables::Tables::new(host)?,
        store: host.port()?,
    });
    let handle = plugin::Handle::default();
    host.every(&handle, PERIOD, move |now| {
        let watcher = sync::Arc::clone(&watcher);
        async move { watcher.round(now).await }
    });
    Ok(handle)
}

impl<S: Store> Watcher<S> {
    async fn round(&self, now: moment::Moment) {
        if self.host.lifecycle.stage() == lifecycle::Stage::Starting {
            self.start().await;
            return;
        }
        let (watches, read_at) = self.role();
        let result = if watches {
            self.follow().await
        } else if now >= read_at {
            self.read().await
        } else {
            Ok(())
        };
        if let Err(e) = result {
            log::info!("store: {e}");
        }
    }

    /// Whether this node is to watch the head, and otherwise when it reads the head itself.
    fn role(&self) -> (bool, moment::Moment) {
        let now = self.host.now();
        let confirmed = self.tables.config.lock().confirmed_at.unwrap_or(moment::Moment::ZERO);
        let members = self.tables.members.lock();
        let view = members.known.view(now);
        let (zone, own) = (self.identity.zone.as_str(), self.identity.node.as_str());
        let live = || view.live(zone).map(|(node, _)| node.as_str());
        let watches = adoption::is_watcher(zone, own, live());
        (watches, adoption::read_at(zone, own, live(), confirmed, &mut rand::rng()))
    }

    /// Follows changes of the head until the watch ends or another node is to watch.
    ///
    /// The watch reports the head if its version differs from the known one, so no read is needed
    /// before it.
    async fn follow(&self) -> store::Result<()> {
        let version = self.tables.config.lock().version;
        let mut watch = self.store.watch(key::head(), version).await?;
        while self.role().0 {
            match watch.next().await? {
                store::Event::Changed(head) => {
                    self.adopt(head, self.host.now());
                }
                store::Event::Progress => {
                    let mut config = self.tables.config.lock();
                    let revision = config.revision();
                    config.confirm(revision, self.host.now());
                }
            }
        }
        Ok(())
    }

    /// Reads the head.
    async fn read(&self) -> store::Result<()> {
        let sent = self.host.now();
        let head = self.store.read(key::head(), store::Class::Config).await?;
        self.adopt(head, sent);
        Ok(())
    }

    /// Adopts a head that was current in the store at `at`.
    fn adopt(&self, head: Option<store::Versioned>, at: moment::Moment) {
        let Some(head) = head else {
            self.tables.config.lock().confirm(0, at);
            return;
        };
        let release = match stored::decode::<release::Release>(key::head(), &head.value) {
            Ok(release) => release,
            Err(e) => {
                log::error!("store: {e}");
                return;
            }
        };
        let revision = release.revision;
        let own = self.tables.config.lock().revision();
        if adoption::decide(own, revision, adoption::Source::Store) == adoption::Decision::Regressed
        {
            log::error!("store: the head is at revision {revision}, behind {own}; keeping {own}");
        }
        updates::adopt_release(&self.tables, release, head.version);
        self.tables.config.lock().confirm(revision, at);
    }
}

/// Startup of a node.
impl<S: Store> Watcher<S> {
    /// Reads the store, and makes the node ready once it has the highest revision that the store
    /// and the peers can tell.
    async fn start(&self) {
        let store = match self.read().await {
            Ok(()) => {
                if let Err(e) = self.read_assignment().await {
                    log::info!("store: {e}");
                }
                adoption::Answer::Revision(self.tables.config.lock().revision())
            }
            Err(e) => {
                log::warn!("store: {e}");
                adoption::Answer::Unreachable
            }
        };
        let (own, peer) = {
            let config = self.tables.config.lock();
            (config.revision(), config.peer_revision)
        };
        // The gossip task asks the peers. An answer of the store does not have to wait for them,
        // because the store has the highest revision.
        let peers: Vec<_> = match (store, peer) {
            (adoption::Answer::Revision(_), None) => Vec::new(),
            (_, peer) => vec![peer.unwrap_or(adoption::Answer::Unreachable)],
        };
        match adoption::readiness(Some(own), store, &peers) {
            adoption::Readiness::Ready => {
                log::info!("node: ready at revision {own}");
                self.host.lifecycle.advance(lifecycle::Stage::Ready);
            }
            readiness => log::info!("node: not ready yet: {readiness:?}"),
        }
    }

    /// Reads the assignment of the own zone, which may be needed before a peer answers.
    async fn read_assignment(&self) -> store::Result<()> {
        let zone = &self.identity.zone;
        let key = key::groups(zone.as_str());
        let Some(found) = self.store.read(&key, store::Class::Config).await? else { return Ok(()) };
        match stored::decode::<assignment::Assignment>(&key, &found.value) {
            Ok(assignment) => {
                self.tables.replicas.lock().adopt(zone, found.version, assignment);
            }
            Err(e) => log::error!("store: {e}"),
        }
        Ok(())
    }
}
