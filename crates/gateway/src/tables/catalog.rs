//! The catalog: all facts of the platform (see [`crate::source`]) that this node knows, and the
//! snapshot of them that requests read.

mod change_log;
mod confirmations;
mod parked;

use std::{collections, sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{deployment, fleet, id};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

use crate::source::{Change, Changes, Fact, Holder, Node, Subject};

/// Time for which removals of upstreams are deferred after an outage of the source: registrations
/// that lapsed in the meantime are renewed within about two seconds of its return.
const RENEWAL_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// All facts with their revisions; lock rank 10.
#[derive(Debug, Default)]
pub struct Catalog {
    facts: collections::BTreeMap<Subject, Entry>,
    revision: u64,
    /// When the source last confirmed the facts, directly or through a peer.
    confirmed: Option<moment::Moment>,
    confirmations: confirmations::Confirmations,
    /// When the source became reachable again after its latest outage.
    recovered: Option<moment::Moment>,
    /// Whether the source is unreachable.
    is_unreachable: bool,
    /// Upstreams whose removal is deferred. This node goes on using them, but does not pass them on:
    /// they are not among the facts at its revision.
    deferred: collections::BTreeSet<Subject>,
    current: Current,
    changed: sync::Arc<tokio::sync::Notify>,
    /// The latest changes, in order, for peers that lack them.
    history: collections::VecDeque<Change>,
    /// Revision after which the history holds all changes.
    history_start: u64,
    /// Changes from datagrams that have overtaken others.
    parked: parked::Parked,
    unpublished: Unpublished,
}

/// Kinds of facts that have changed since the snapshot was published.
#[derive(Clone, Copy, Debug, Default)]
struct Unpublished {
    upstreams: bool,
    nodes: bool,
    others: bool,
}

/// Fraction of the largest node's memory from which a node counts as large. Nodes of one size
/// differ in the memory that the operating system reserves.
const LARGE_MEMORY_RATIO: f64 = 0.75;

/// Changes kept for peers: more than occur in the time by which a peer may lag behind. The loss of a
/// fabric domain with its groups, and their formation elsewhere, make several hundred a second.
const MAX_HISTORY: usize = 4_096;

/// Facts that a peer lacks.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// All facts, each as a change, or the changes since the peer's revision.
    pub changes: Changes,
    /// Whether these are all facts, which replace those of the peer.
    pub complete: bool,
    /// When the source last confirmed them; `None` if it never did.
    pub confirmed: Option<moment::Moment>,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    fact: Fact,
    /// When this node learned of it; the cold time of an upstream counts from then.
    received: moment::Moment,
}

/// The latest snapshot, shared with readers.
pub type Current = sync::Arc<arc_swap::ArcSwap<Snapshot>>;

/// Facts at one revision, indexed for requests.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Revision of the latest change that is included.
    pub revision: u64,
    /// The configuration; `None` before it is known.
    pub deployment: Option<sync::Arc<deployment::Deployment>>,
    /// Evacuated zones: their upstreams receive no new requests.
    pub evacuated: collections::BTreeSet<id::Zone>,
    /// Registered upstreams and the groups they form.
    pub fleet: sync::Arc<fleet::Fleet>,
    /// Until when each newly started upstream is cold and takes requests at a limited rate.
    pub cold: sync::Arc<collections::BTreeMap<id::Vm, moment::Moment>>,
    /// Registered nodes, this one included.
    pub nodes: sync::Arc<collections::BTreeMap<id::Node, Node>>,
    /// The holder of the coordinator's lease; `None` if it is free.
    pub coordinator: Option<Holder>,
}

impl Snapshot {
    /// Whether a node has about as much memory as the largest node of `zone`, or of all zones. Work
    /// on behalf of other nodes is left to large nodes.
    pub fn is_large(&self, node: &str, zone: Option<&id::Zone>) -> bool {
        let nodes =
            || self.nodes.values().filter(|node| zone.is_none_or(|zone| node.zone == *zone));
        let most = nodes().map(|node| node.memory).max().unwrap_or(0);
        self.nodes
            .get(node)
            .is_some_and(|node| node.memory as f64 >= most as f64 * LARGE_MEMORY_RATIO)
    }

    /// The nodes of a zone, with whether each has about as much memory as the largest of them.
    pub fn nodes_of(&self, zone: &id::Zone) -> Vec<(&id::Node, bool)> {
        let nodes = || self.nodes.iter().filter(|(_, node)| node.zone == *zone);
        let most = nodes().map(|(_, node)| node.memory).max().unwrap_or(0) as f64;
        let is_large = |node: &Node| node.memory as f64 >= most * LARGE_MEMORY_RATIO;
        nodes().map(|(id, node)| (id, is_large(node))).collect()
    }
}

impl table::Ranked for Catalog {
    const RANK: u16 = 10;
    const NAME: &'static str = "catalog";
}

impl Catalog {
    /// The latest snapshot, for readers.
    pub fn current(&self) -> Current {
        sync::Arc::clone(&self.current)
    }

    /// Notified when the snapshot changes.
    pub fn changed(&self) -> sync::Arc<tokio::sync::Notify> {
        sync::Arc::clone(&self.changed)
    }

    /// Revision up to which the facts are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// When the source last confirmed the facts; `None` if it never did.
    pub fn confirmed_at(&self) -> Option<moment::Moment> {
        self.confirmed
    }

    /// Whether the source is unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether any removal is deferred.
    pub fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Marks the source as unreachable; returns whether it was reachable before.
    pub fn mark_unreachable(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unreachable, true)
    }

    /// The confirmation whose time is [`Catalog::confirmed_at`], if it is known.
    pub fn confirmation(&self) -> Option<mesh::Confirmation> {
        self.confirmations.latest()
    }

    /// Records that this process, whose identifier is `boot`, received an answer from the source at
    /// `now`.
    pub fn record_answer(&mut self, boot: u64, now: moment::Moment) {
        self.confirmations.insert(mesh::Confirmation { boot, number: now.as_micros() });
    }

    /// Records that a peer has the same facts and that the source confirmed them at `confirmed`.
    /// Each confirmation counts once: the age that nodes pass on is slightly too small each time,
    /// so that the facts would otherwise never grow old.
    pub fn confirm(&mut self, confirmation: mesh::Confirmation, confirmed: moment::Moment) {
        if self.confirmations.insert(confirmation)
            && self.confirmed.is_none_or(|known| known < confirmed)
        {
            self.mark_confirmed(confirmed);
        }
    }

    /// The facts or changes that a peer at revision `after` lacks.
    pub fn update_since(&self, after: u64) -> Update {
        let is_known = (self.history_start..=self.revision).contains(&after) && after != 0;
        let missed = if is_known { self.missed_since(after) } else { Vec::new() };
        let complete = !is_known || missed.len() > self.facts.len();
        let changes = if complete { self.present().collect() } else { missed };
        Update {
            changes: Changes { revision: self.revision, changes },
            complete,
            confirmed: self.confirmed,
        }
    }

    /// The facts at the present revision, each as a change.
    fn present(&self) -> impl Iterator<Item = Change> {
        let facts = self.facts.iter().filter(|(subject, _)| !self.deferred.contains(*subject));
        facts.map(|(subject, known)| Change {
            revision: known.revision,
            subject: subject.clone(),
            fact: Some(known.fact.clone()),
        })
    }

    /// The latest change of each fact after a revision, and all of the configuration, which build on
    /// each other.
    fn missed_since(&self, after: u64) -> Vec<Change> {
        let mut seen = collections::HashSet::new();
        let missed = self.history.iter().rev().take_while(|change| change.revision > after);
        let mut latest: Vec<Change> = missed
            .filter(|change| change.subject == Subject::Deployment || seen.insert(&change.subject))
            .cloned()
            .collect();
        latest.reverse();
        latest
    }

    /// Replaces all facts; `now` is the time before they were requested.
    pub fn replace(&mut self, loaded: Changes, now: moment::Moment) {
        self.mark_confirmed(now);
        let mut gone: collections::BTreeSet<Subject> = self.facts.keys().cloned().collect();
        for change in &loaded.changes {
            gone.remove(&change.subject);
        }
        self.revision = loaded.revision;
        self.history.clear();
        self.history_start = self.revision;
        let removals =
            gone.into_iter().map(|subject| Change { revision: self.revision, subject, fact: None });
        let all: Vec<Change> = loaded.changes.into_iter().chain(removals).collect();
        self.store_all(all, now);
        self.publish();
    }

    /// Those of these changes that this node does not know yet.
    pub fn missing(&self, mut changes: Changes) -> Changes {
        changes.changes.retain(|change| change.revision > self.revision);
        changes
    }

    /// Applies changes that were the latest ones at `now`, and publishes them.
    ///
    /// Changes up to the own revision are known already, and are not applied again: a later one may
    /// have removed their fact, which leaves no revision to compare with.
    pub fn apply(&mut self, changes: Changes, now: moment::Moment) {
        self.apply_unpublished(changes, now);
        self.publish();
    }

    /// Applies changes from a datagram, which follow revision `after` and were the latest ones at
    /// `now`, and then those that had overtaken them. Keeps them if changes before them are missing.
    /// Readers see them after the next call of [`Catalog::publish`], so that the changes of several
    /// datagrams cost one snapshot.
    pub fn receive(&mut self, after: u64, changes: Changes, now: moment::Moment) {
        self.parked.insert(after, changes, now);
        while let Some((changes, now)) = self.parked.next(self.revision) {
            self.apply_unpublished(changes, now);
        }
    }

    /// The same changes, with a configuration given as the difference from the version before it.
    pub fn with_patches(&self, mut changes: Changes) -> Changes {
        let mut latest = match self.facts.get(&Subject::Deployment).map(|known| &known.fact) {
            Some(Fact::Deployment(known)) => sync::Arc::clone(known),
            _ => return changes,
        };
        for change in &mut changes.changes {
            if let Some(Fact::Deployment(next)) = &change.fact {
                let next = sync::Arc::clone(next);
                if let Some(patch) = deployment::Patch::between(&latest, &next) {
                    change.fact = Some(Fact::Patch(patch.into()));
                }
                latest = next;
            }
        }
        changes
    }

    fn apply_unpublished(&mut self, changes: Changes, now: moment::Moment) {
        self.mark_confirmed(now);
        let changes = self.missing(changes);
        self.revision = self.revision.max(changes.revision);
        if !changes.changes.is_empty() {
            self.append_history(&changes.changes);
            self.store_all(changes.changes, now);
        }
    }

    /// Removes upstreams whose deferral has ended without a renewal; returns their number.
    pub fn remove_deferred(&mut self, now: moment::Moment) -> usize {
        if self.deferred.is_empty() || self.defers_removals(now) {
            return 0;
        }
        let deferred = std::mem::take(&mut self.deferred);
        let number = deferred.len();
        for subject in deferred {
            self.facts.remove(&subject);
        }
        self.unpublished.upstreams = true;
        self.publish();
        number
    }

    fn append_history(&mut self, changes: &[Change]) {
        let latest = self.history.back().map_or(0, |change| change.revision);
        self.history.extend(changes.iter().filter(|change| change.revision > latest).cloned());
        while self.history.len() > MAX_HISTORY {
            self.history_start =
                self.history.pop_front().map_or(self.history_start, |change| change.revision);
        }
    }

    fn mark_confirmed(&mut self, now: moment::Moment) {
        if std::mem::replace(&mut self.is_unreachable, false) && self.confirmed.is_some() {
            self.recovered = Some(now);
        }
        self.confirmed = self.confirmed.max(Some(now));
    }

    fn defers_removals(&self, now: moment::Moment) -> bool {
        self.is_unreachable
            || self.recovered.is_some_and(|recovered| now < recovered + RENEWAL_GRACE)
    }

    fn store_all(&mut self, changes: Vec<Change>, now: moment::Moment) {
        let defers_removals = self.defers_removals(now);
        let is_first = self.facts.is_empty();
        for change in changes {
            self.store(change, defers_removals, is_first, now);
        }
    }

    fn store(
        &mut self,
        change: Change,
        defers_removals: bool,
        is_first: bool,
        now: moment::Moment,
    ) {
        let known = self.facts.get(&change.subject);
        if known.is_some_and(|known| known.revision > change.revision) {
            return;
        }
        let fact = match change.fact {
            Some(Fact::Patch(patch)) => match patched(known.map(|known| &known.fact), &patch) {
                Some(fact) => Some(fact),
                None => {
                    log::error!(
                        base = patch.base, version = patch.version;
                        "config: a change of another version is ignored; all facts are loaded again"
                    );
                    self.revision = 0;
                    return;
                }
            },
            fact => fact,
        };
        if !is_first {
            let known = known.map(|known| &known.fact);
            change_log::write(&change.subject, known, fact.as_ref(), change.revision);
        }
        match change.subject {
            Subject::Upstream(_) => self.unpublished.upstreams = true,
            Subject::Node(_) => self.unpublished.nodes = true,
            _ => self.unpublished.others = true,
        }
        let Some(fact) = fact else {
            if defers_removals && matches!(change.subject, Subject::Upstream(_)) && known.is_some()
            {
                self.deferred.insert(change.subject);
            } else {
                self.deferred.remove(&change.subject);
                self.facts.remove(&change.subject);
            }
            return;
        };
        if is_older(known.map(|known| &known.fact), &fact) {
            log::error!(
                "config: a configuration with a lower version than the current one is ignored"
            );
            return;
        }
        self.deferred.remove(&change.subject);
        self.facts.insert(change.subject, Entry { revision: change.revision, fact, received: now });
    }

    /// Publishes a new snapshot if facts have changed since the last one.
    pub fn publish(&mut self) {
        let previous = self.current.load_full();
        let Unpublished { upstreams, nodes, others } = std::mem::take(&mut self.unpublished);
        if !(upstreams || nodes || others) && previous.revision == self.revision {
            return;
        }
        let mut next = Snapshot {
            revision: self.revision,
            deployment: previous.deployment.clone(),
            evacuated: previous.evacuated.clone(),
            fleet: sync::Arc::clone(&previous.fleet),
            cold: sync::Arc::clone(&previous.cold),
            nodes: sync::Arc::clone(&previous.nodes),
            coordinator: previous.coordinator.clone(),
        };
        if upstreams {
            (next.fleet, next.cold) = self.upstreams();
        }
        if nodes {
            next.nodes = sync::Arc::new(self.nodes());
        }
        if others {
            next.deployment = self.deployment();
            next.evacuated = self.evacuated();
            next.coordinator = self.coordinator();
        }
        let version = |snapshot: &Snapshot| {
            snapshot.deployment.as_ref().map_or(0, |declared| declared.version)
        };
        if version(&next) != version(&previous) {
            log::info!(version = version(&next), revision = self.revision; "config: a new version is in force");
        }
        self.current.store(sync::Arc::new(next));
        self.changed.notify_waiters();
    }
}

/// The parts of a snapshot.
impl Catalog {
    /// The registered upstreams, and until when they are cold.
    #[allow(clippy::type_complexity, reason = "the pair is taken apart at once")]
    fn upstreams(
        &self,
    ) -> (sync::Arc<fleet::Fleet>, sync::Arc<collections::BTreeMap<id::Vm, moment::Moment>>) {
        let mut upstreams = Vec::with_capacity(self.facts.len());
        let mut cold = collections::BTreeMap::new();
        for known in self.facts.values() {
            let Fact::Upstream(upstream) = &known.fact else { continue };
            if !upstream.cold_left.is_zero() {
                cold.insert(upstream.id.clone(), known.received + upstream.cold_left);
            }
            upstreams.push(sync::Arc::clone(upstream));
        }
        (sync::Arc::new(fleet::Fleet::new(upstreams)), sync::Arc::new(cold))
    }

    fn nodes(&self) -> collections::BTreeMap<id::Node, Node> {
        let nodes = self.facts.iter().filter_map(|(subject, known)| match (subject, &known.fact) {
            (Subject::Node(id), Fact::Node(node)) => Some((id.clone(), node.clone())),
            _ => None,
        });
        nodes.collect()
    }

    fn deployment(&self) -> Option<sync::Arc<deployment::Deployment>> {
        match &self.facts.get(&Subject::Deployment)?.fact {
            Fact::Deployment(declared) => Some(sync::Arc::clone(declared)),
            _ => None,
        }
    }

    fn evacuated(&self) -> collections::BTreeSet<id::Zone> {
        let zones = self.facts.keys().filter_map(|subject| match subject {
            Subject::Evacuation(zone) => Some(zone.clone()),
            _ => None,
        });
        zones.collect()
    }

    fn coordinator(&self) -> Option<Holder> {
        match &self.facts.get(&Subject::Coordinator)?.fact {
            Fact::Coordinator(holder) => Some(holder.clone()),
            _ => None,
        }
    }
}

/// The configuration to which a patch leads; `None` if it is for another version than the known one.
fn patched(known: Option<&Fact>, patch: &deployment::Patch) -> Option<Fact> {
    match known {
        Some(Fact::Deployment(known)) => Some(Fact::Deployment(patch.apply(known)?.into())),
        _ => None,
    }
}

/// Whether a configuration has a lower version than the known one.
fn is_older(known: Option<&Fact>, new: &Fact) -> bool {
    match (known, new) {
        (Some(Fact::Deployment(known)), Fact::Deployment(new)) => new.version < known.version,
        _ => false,
    }
}
