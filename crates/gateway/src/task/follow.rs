//! Task: keeps the catalog up to date, from the source of the facts or from a peer that has newer
//! ones.
//!
//! The coordinator polls the source; the other nodes fetch changes from their peers. In a zone that
//! knows no node with recent facts, one node after the other starts to poll the source itself.

use std::{cmp, ops, sync, time};

use corneltrestle_infra::store::{self, Store};
use corneltrestle_kernel::{host, lifecycle, linkme, metric, plugin};
use corneltrestle_policy::{rendezvous, retry};
use corneltrestle_time::moment;
use rand::Rng;

use crate::{
    identity,
    mesh::{Facts, Mesh},
    source::{self, Source},
    tables::{self, peers},
};

/// Longest wait of a poll for changes. A connection that has silently failed is noticed after it.
const POLL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Longest wait of the coordinator's polls: each answer confirms the facts, and all nodes need a
/// confirmation within [`MAX_RECENT_AGE`].
const COORDINATOR_POLL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Longest wait while facts are retained that the source no longer has, so that this ends in time.
const RETAINED_POLL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Minimum time between two polls that return changes, so that changes in quick succession cost one
/// call.
const MIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Random delay before changes are fetched from a peer, as they may still arrive by datagram.
const DELTA_DELAY: ops::Range<time::Duration> =
    time::Duration::from_millis(15)..time::Duration::from_millis(60);

/// Longest delay before the source is polled again after a failure.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// Nodes of a zone that may fetch facts from another zone at once.
const REMOTE_FETCHERS: u32 = 2;

/// Delay after which [`REMOTE_FETCHERS`] more nodes may fetch from another zone.
const REMOTE_FETCH_STAGGER: time::Duration = time::Duration::from_millis(150);

/// Time between two checks for a peer of the own zone with newer facts, while waiting to fetch them
/// from another zone.
const LOCAL_CHECK_PERIOD: time::Duration = time::Duration::from_millis(40);

/// Age of the facts up to which a node leaves polling the source to others.
const MAX_RECENT_AGE: time::Duration = time::Duration::from_millis(900);

/// Delay between the nodes of a zone that start to poll the source one after the other.
const FOLLOW_STAGGER: time::Duration = time::Duration::from_millis(300);

/// Time between two checks whether this node should poll the source.
const TURN_CHECK_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Delay between the nodes of a zone that load all facts one after the other once the store has come
/// back from an earlier copy. Most of them get the facts from a peer meanwhile.
const RELOAD_STAGGER: time::Duration = time::Duration::from_millis(100);

/// Longest delay of such a load.
const MAX_RELOAD_DELAY: time::Duration = time::Duration::from_secs(2);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static LOADS: metric::Metric = metric::Metric::counter(
    "facts_loads_total",
    "Times that the node has loaded all facts, by their origin: store or peer.",
);

/// State of the task.
#[derive(Debug)]
struct Follower<S> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    source: sync::Arc<S>,
    mesh: sync::Arc<Mesh>,
    facts: Facts,
}

/// Starts the task on the host's worker pool.
///
/// # Errors
///
/// When no plug-in provides a port that it uses.
pub fn open<S: Store + Source>(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let follower = sync::Arc::new(Follower::<S> {
        host: sync::Arc::clone(host),
        identity: host.port()?,
        tables: tables::Tables::of(host),
        source: host.port()?,
        mesh: host.port()?,
        facts: Facts::new(host),
    });
    let handle = plugin::Handle::default();
    host.supervise(&handle, "follow", move || sync::Arc::clone(&follower).run());
    Ok(handle)
}

impl<S: Store + Source> Follower<S> {
    async fn run(self: sync::Arc<Self>) {
        let mut failures = 0;
        let (mut loaded, mut follows) = (false, false);
        loop {
            let result = self.step(&mut loaded, &mut follows).await;
            self.mark_ready();
            self.end_retention();
            match result {
                Ok(()) => {
                    if std::mem::take(&mut failures) > 0 {
                        log::info!(dependency = "store"; "store: reached again");
                    }
                }
                Err(e) if e.kind == store::Kind::Compacted => {
                    log::info!(dependency = "store"; "store: the changes are compacted; all facts are loaded again");
                    loaded = false;
                }
                Err(e) => {
                    failures += 1;
                    self.report_outage(&e);
                    let most = MAX_RETRY_DELAY.min(retry::BACKOFF_BASE * failures);
                    let wait = rand::rng().random_range(most / 2..=most);
                    let _ = tokio::time::timeout(wait, self.sync_from_peer()).await;
                }
            }
        }
    }

    /// Loads all facts on the first call, and when the source has come back from an earlier copy. Then
    /// polls the source once if it is this node's turn, or waits for newer facts from a peer. Without a
    /// coordinator, the node that polled the source goes on.
    async fn step(&self, loaded: &mut bool, follows: &mut bool) -> source::Result<()> {
        if !*loaded || self.is_of_earlier_era() {
            self.load().await?;
            *loaded = true;
        }
        let now = self.host.now();
        let has_turn = self.is_turn(now) || *follows && self.has_no_coordinator();
        *follows = false;
        if self.is_coordinator() || has_turn {
            tokio::select! {
                followed = self.follow() => {
                    *follows = followed.is_ok();
                    followed
                }
                () = self.sync_from_peer() => Ok(()),
            }
        } else {
            // Only the wait has a timeout: a fetch in progress is not interrupted.
            if let Ok(peer) =
                tokio::time::timeout(TURN_CHECK_PERIOD, self.wait_for_newer_peer()).await
                && !self.fetch(&peer).await
            {
                tokio::time::sleep(retry::BACKOFF_BASE).await;
            }
            Ok(())
        }
    }

    /// Whether the source has named a later era than that of the known facts.
    fn is_of_earlier_era(&self) -> bool {
        self.source.era() > self.tables.catalog.lock().revision().era
    }

    /// Whether no node is known to hold the coordinator's lease.
    fn has_no_coordinator(&self) -> bool {
        self.tables.current.load().coordinator.is_none()
    }

    /// Whether this node holds the coordinator's lease, by the facts it has.
    fn is_coordinator(&self) -> bool {
        let snapshot = self.tables.current.load();
        snapshot.coordinator.as_ref().is_some_and(|holder| holder.boot == self.identity.boot)
    }

    /// Whether the facts are so old that it is this node's turn to poll the source.
    fn is_turn(&self, now: moment::Moment) -> bool {
        let Some(confirmed) = self.tables.catalog.lock().confirmed_at() else { return true };
        now.since(confirmed) >= MAX_RECENT_AGE + FOLLOW_STAGGER * self.zone_rank()
    }

    /// Rank of this node among the nodes of its zone, from 0: hubs first, and no node that is known
    /// to be shutting down. All nodes compute about the same order.
    fn zone_rank(&self) -> u32 {
        let own = self.identity.node.as_str();
        let snapshot = self.tables.current.load();
        let peers = self.tables.peers.lock();
        let weight = |node: &str| {
            let place = peers.hubs().place(node).unwrap_or(usize::MAX);
            (place, rendezvous::weight(self.identity.zone.as_str(), node), node.to_owned())
        };
        let nodes = snapshot.nodes.iter().filter(|(_, node)| node.zone == self.identity.zone);
        let before = nodes.filter(|(node, _)| weight(node.as_str()) < weight(own)).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Waits until a peer has newer facts, and fetches them.
    async fn sync_from_peer(&self) {
        loop {
            let peer = self.wait_for_newer_peer().await;
            if self.fetch(&peer).await {
                return;
            }
            tokio::time::sleep(retry::BACKOFF_BASE).await;
        }
    }

    /// Waits until there is a peer from which this node may fetch newer facts.
    ///
    /// Only a few nodes of a zone fetch from other zones; the rest fetch from them, so that no node
    /// is asked by all others.
    async fn wait_for_newer_peer(&self) -> peers::Peer {
        let mut waiting_since = None;
        loop {
            let now = self.host.now();
            let known = self.tables.catalog.lock().revision();
            let newer = |is_local| {
                let peers = self.tables.peers.lock();
                peers.newer(known, is_local, now, &mut rand::rng()).cloned()
            };
            if let Some(local) = newer(true) {
                return local;
            }
            if let Some(remote) = newer(false) {
                let since = *waiting_since.get_or_insert(now);
                if now.since(since) >= REMOTE_FETCH_STAGGER * (self.zone_rank() / REMOTE_FETCHERS) {
                    return remote;
                }
                let _ = tokio::time::timeout(LOCAL_CHECK_PERIOD, self.mesh.behind()).await;
                continue;
            }
            waiting_since = None;
            self.mesh.behind().await;
            // The changes themselves may be about to arrive by datagram.
            let wait = rand::rng().random_range(DELTA_DELAY);
            tokio::time::sleep(wait).await;
        }
    }

    /// Fetches the facts or changes that a peer has; returns whether it has answered.
    async fn fetch(&self, peer: &peers::Peer) -> bool {
        let (known, now) = (self.tables.catalog.lock().revision(), self.host.now());
        match self.facts.fetch(peer.link, known, now).await {
            Ok(update) => {
                let confirmed = update.confirmed.unwrap_or(moment::Moment::ZERO);
                let mut catalog = self.tables.catalog.lock();
                if update.changes.revision < catalog.revision() {
                    // Newer changes have arrived in the meantime.
                } else if update.complete {
                    metrics::counter!(LOADS.name, "origin" => "peer").increment(1);
                    catalog.replace(update.changes, confirmed);
                } else {
                    catalog.apply(update.changes, confirmed);
                }
                true
            }
            Err(e) => {
                log::info!("mesh: fetching facts from a peer failed: {e}");
                false
            }
        }
    }

    async fn load(&self) -> source::Result<()> {
        let load = async {
            tokio::time::sleep(self.reload_delay()).await;
            (self.host.now(), self.source.load().await)
        };
        let (asked, facts) = tokio::select! {
            (asked, facts) = load => (asked, facts?),
            // A node that cannot reach the source starts with the facts of its peers.
            () = self.sync_from_peer() => return Ok(()),
        };
        let (at, number) = (facts.revision, facts.changes.len());
        {
            let mut catalog = self.tables.catalog.lock();
            if at.era < catalog.revision().era {
                return Err(outdated("load"));
            }
            catalog.replace(facts, asked);
            catalog.record_answer(self.identity.boot, asked);
        }
        metrics::counter!(LOADS.name, "origin" => "store").increment(1);
        log::info!(era = at.era, revision = at.number, facts = number; "config: all facts were loaded");
        Ok(())
    }

    /// Delay before all facts are loaded, during which a peer may have them. The coordinator and nodes
    /// that know no facts of an earlier era do not wait.
    fn reload_delay(&self) -> time::Duration {
        let has_facts = self.tables.current.load().deployment.is_some();
        if !has_facts || self.is_coordinator() || !self.is_of_earlier_era() {
            return time::Duration::ZERO;
        }
        RELOAD_STAGGER.saturating_mul(self.zone_rank()).min(MAX_RELOAD_DELAY)
    }

    async fn follow(&self) -> source::Result<()> {
        let (after, wait) = {
            let catalog = self.tables.catalog.lock();
            let wait = if catalog.has_retained() {
                RETAINED_POLL_TIMEOUT
            } else if self.is_coordinator() {
                COORDINATOR_POLL_TIMEOUT
            } else {
                POLL_TIMEOUT
            };
            (catalog.revision(), wait)
        };
        let changes = self.source.changes(after, wait).await?;
        match changes.revision.era.cmp(&after.era) {
            cmp::Ordering::Less => return Err(outdated("watch")),
            // The next step loads all facts.
            cmp::Ordering::Greater => return Ok(()),
            cmp::Ordering::Equal => {}
        }
        // The answer confirms that nothing else had changed when it was given.
        let answered = self.host.now();
        let (known, changes) = {
            let mut catalog = self.tables.catalog.lock();
            // Newer changes may have arrived in the meantime.
            let known = catalog.revision();
            if known.era != after.era {
                return Ok(());
            }
            let changes = catalog.missing(changes);
            let changes = catalog.with_patches(changes);
            catalog.apply(changes.clone(), answered);
            catalog.record_answer(self.identity.boot, answered);
            (known, changes)
        };
        if changes.changes.is_empty() {
            return Ok(());
        }
        self.mesh.broadcast_changes(known, &changes, answered);
        tokio::time::sleep(MIN_POLL_INTERVAL).await;
        Ok(())
    }

    /// Marks the node ready once it has a configuration.
    fn mark_ready(&self) {
        let snapshot = self.tables.current.load();
        let Some(declared) = &snapshot.deployment else { return };
        if self.host.lifecycle.stage() == lifecycle::Stage::Starting {
            log::info!(version = declared.version; "node: ready");
            self.host.lifecycle.advance(lifecycle::Stage::Ready);
        }
    }

    fn end_retention(&self) {
        let removed = self.tables.catalog.lock().end_retention(self.host.now());
        if removed > 0 {
            log::info!(number = removed; "config: upstreams that did not renew their registration were removed");
        }
    }

    fn report_outage(&self, error: &store::Error) {
        let recent = self.host.now().before(MAX_RECENT_AGE);
        let mut catalog = self.tables.catalog.lock();
        // Facts that peers have recently confirmed show that the source is up.
        if catalog.confirmed_at().is_none_or(|at| at < recent) && catalog.mark_unreachable() {
            log::warn!(dependency = "store"; "store: out of reach: {error}");
        }
    }
}

/// The error of an answer that the source gave in an earlier era than that of the known facts.
fn outdated(step: &'static str) -> store::Error {
    store::Error {
        kind: store::Kind::Outdated,
        step,
        peer: "the source".to_owned(),
        cause: "the answer is of an earlier era than the known facts".to_owned(),
    }
}
