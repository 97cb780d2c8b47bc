//! The catalog: all facts of the platform (see [`crate::source`]) that this node knows, and the
//! snapshot of them that requests read.

mod change_log;
mod confirmations;
mod parked;
mod retained;
mod snapshot;
mod succession;

use std::{collections, sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{deployment, id, revision};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

pub use snapshot::{Current, Snapshot};

use crate::source::{Change, Changes, Fact, Subject};

/// Time for which removals of upstreams are deferred after an outage of the source, and for which
/// facts are retained after it has come back from an earlier copy: registrations that lapsed or
/// were lost in the meantime are written again within about two seconds of its return.
const RENEWAL_GRACE: time::Duration = time::Duration::from_millis(2_500);

/// All facts with their revisions; lock rank 10.
#[derive(Debug, Default)]
pub struct Catalog {
    facts: collections::BTreeMap<Subject, Entry>,
    revision: revision::Revision,
    /// Number of changes of the era since the first facts.
    returns: u64,
    /// When the source last confirmed the facts, directly or through a peer.
    confirmed: Option<moment::Moment>,
    confirmations: confirmations::Confirmations,
    /// When the source became reachable again after its latest outage.
    recovered: Option<moment::Moment>,
    /// When this node learned of the source's latest return from an earlier copy.
    returned: Option<moment::Moment>,
    /// Whether the source is unreachable.
    is_unreachable: bool,
    /// What this node uses in place of the facts at its revision: upstreams whose removal is
    /// deferred, and what was known before a return of the source.
    retained: retained::Retained,
    current: Current,
    changed: sync::Arc<tokio::sync::Notify>,
    /// The latest changes, in order, for peers that lack them.
    history: collections::VecDeque<Change>,
    /// Revision in the present era after which the history holds all changes.
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
    /// Revision in the present era; 0 if the fact was known before.
    revision: u64,
    fact: Fact,
    /// When this node learned of it; the cold time of an upstream counts from then.
    received: moment::Moment,
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
    pub fn revision(&self) -> revision::Revision {
        self.revision
    }

    /// Number of times that the source has come back from an earlier copy while this node knew facts.
    pub fn returns(&self) -> u64 {
        self.returns
    }

    /// When the source last confirmed the facts; `None` if it never did.
    pub fn confirmed_at(&self) -> Option<moment::Moment> {
        self.confirmed
    }

    /// Whether the source is unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Whether this node uses anything in place of the facts at its revision.
    pub fn has_retained(&self) -> bool {
        !self.retained.is_empty()
    }

    /// Whether what the source has lost by its latest return was written again, if it could be.
    pub fn is_settled(&self, now: moment::Moment) -> bool {
        self.returned.is_none_or(|returned| now >= returned + RENEWAL_GRACE)
    }

    /// The process of a node that is registered at the source.
    pub fn registered(&self, node: &id::Node) -> Option<u64> {
        match &self.facts.get(&Subject::Node(node.clone()))?.fact {
            Fact::Node(node) => Some(node.boot),
            _ => None,
        }
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
    pub fn update_since(&self, after: revision::Revision) -> Update {
        let is_known = after.era == self.revision.era
            && after.number != 0
            && (self.history_start..=self.revision.number).contains(&after.number);
        let missed = if is_known { self.missed_since(after.number) } else { Vec::new() };
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
        self.facts.iter().map(|(subject, known)| Change {
            revision: known.revision,
            subject: subject.clone(),
            fact: Some(known.fact.clone()),
        })
    }

    /// The latest change of each fact after a revision of the present era, and all of the
    /// configuration, which build on each other.
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

    /// Replaces all facts, unless later ones are known; `now` is the time before they were requested.
    pub fn replace(&mut self, loaded: Changes, now: moment::Moment) {
        if self.is_outdated(loaded.revision) {
            return;
        }
        let is_return = loaded.revision.era > self.revision.era && self.confirmed.is_some();
        self.mark_confirmed(now);
        let former = is_return.then(|| self.begin_era(&loaded, now));
        // The last valid configuration stays in force.
        let mut gone: collections::BTreeSet<Subject> = self.facts.keys().cloned().collect();
        gone.remove(&Subject::Deployment);
        for change in &loaded.changes {
            gone.remove(&change.subject);
        }
        self.revision = loaded.revision;
        self.history.clear();
        self.history_start = self.revision.number;
        let revision = self.revision.number;
        let removals = gone.into_iter().map(|subject| Change { revision, subject, fact: None });
        let all: Vec<Change> = loaded.changes.into_iter().chain(removals).collect();
        self.store_all(all, former.is_some(), now);
        if let Some(former) = former {
            self.carry_over(former, now);
        }
        self.publish();
    }

    /// Whether facts at `revision` are older than the known ones. Without an era, lower revisions may
    /// be those of a store that has come back from an earlier copy.
    pub fn is_outdated(&self, revision: revision::Revision) -> bool {
        revision.era < self.revision.era || revision.era > 0 && revision < self.revision
    }

    /// Those of these changes of the present era that this node does not know yet.
    pub fn missing(&self, mut changes: Changes) -> Changes {
        changes.changes.retain(|change| change.revision > self.revision.number);
        changes
    }

    /// Applies changes that were the latest ones at `now`, and publishes them.
    ///
    /// Changes up to the own revision are known already, and are not applied again: a later one may
    /// have removed their fact, which leaves no revision to compare with. Changes of another era do
    /// not follow on the known facts, and are ignored.
    pub fn apply(&mut self, changes: Changes, now: moment::Moment) {
        self.apply_unpublished(changes, now);
        self.publish();
    }

    /// Applies changes from a datagram, which follow revision `after` and were the latest ones at
    /// `now`, and then those that had overtaken them. Keeps them if changes before them are missing.
    /// Readers see them after the next call of [`Catalog::publish`], so that the changes of several
    /// datagrams cost one snapshot.
    pub fn receive(&mut self, after: revision::Revision, changes: Changes, now: moment::Moment) {
        self.parked.insert(after, changes, now);
        while let Some((changes, now)) = self.parked.next(self.revision) {
            self.apply_unpublished(changes, now);
        }
    }

    /// The same changes, with a configuration given as the difference from the version before it.
    /// A version of an earlier era is no base for others: the same version may have been written
    /// again with other contents.
    pub fn with_patches(&self, mut changes: Changes) -> Changes {
        let mut latest = match patch_base(self.facts.get(&Subject::Deployment)) {
            Some(known) => sync::Arc::clone(known),
            None => return changes,
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
        if changes.revision.era != self.revision.era {
            return;
        }
        self.mark_confirmed(now);
        let changes = self.missing(changes);
        self.revision = self.revision.max(changes.revision);
        if !changes.changes.is_empty() {
            self.append_history(&changes.changes);
            self.store_all(changes.changes, false, now);
        }
    }

    /// Uses the facts at its revision again once the grace after an outage or a return of the source
    /// is over. Returns the number of upstreams that did not renew their registration, and are no
    /// longer used.
    pub fn end_retention(&mut self, now: moment::Moment) -> usize {
        if self.retained.is_empty() || self.defers_removals(now) {
            return 0;
        }
        let retained = std::mem::take(&mut self.retained);
        let is_gone = |(subject, _): &(&Subject, &Entry)| {
            matches!(subject, Subject::Upstream(_)) && !self.facts.contains_key(*subject)
        };
        let number = retained.kept().filter(is_gone).count();
        self.unpublished = Unpublished { upstreams: true, nodes: true, others: true };
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

    fn store_all(&mut self, changes: Vec<Change>, is_return: bool, now: moment::Moment) {
        let defers_removals = self.defers_removals(now);
        let is_silent = is_return || self.facts.is_empty();
        for change in changes {
            self.store(change, defers_removals, is_silent, now);
        }
    }

    /// The fact that this node uses.
    fn used(&self, subject: &Subject) -> Option<&Entry> {
        self.retained.get(subject).unwrap_or_else(|| self.facts.get(subject))
    }

    fn store(
        &mut self,
        change: Change,
        defers_removals: bool,
        is_silent: bool,
        now: moment::Moment,
    ) {
        if self.facts.get(&change.subject).is_some_and(|known| self.is_known(known, &change)) {
            return;
        }
        let known = self.used(&change.subject);
        let fact = match change.fact {
            Some(Fact::Patch(patch)) => {
                match patch_base(known).and_then(|base| patch.apply(base)) {
                    Some(next) => Some(Fact::Deployment(next.into())),
                    None => {
                        log::error!(
                            base = patch.base, version = patch.version;
                            "config: a change of another version is ignored; all facts are loaded again"
                        );
                        self.revision.number = 0;
                        return;
                    }
                }
            }
            fact => fact,
        };
        let known = known.map(|known| &known.fact);
        let is_lower = fact.as_ref().is_some_and(|fact| is_older(known, fact));
        if !is_silent {
            let revision = revision::Revision { number: change.revision, ..self.revision };
            change_log::write(&change.subject, known, fact.as_ref(), revision);
        }
        match change.subject {
            Subject::Upstream(_) => self.unpublished.upstreams = true,
            Subject::Node(_) => self.unpublished.nodes = true,
            _ => self.unpublished.others = true,
        }
        let Some(fact) = fact else {
            let removed = self.facts.remove(&change.subject);
            if !defers_removals || !matches!(change.subject, Subject::Upstream(_)) {
                self.retained.release(&change.subject);
            } else if let Some(removed) = removed
                && !self.retained.contains(&change.subject)
            {
                self.retained.keep(change.subject, removed);
            }
            return;
        };
        if is_lower {
            // The copy from which the source has come back may have an earlier version.
            if !is_silent {
                log::error!(
                    "config: a configuration with a lower version than the current one is ignored"
                );
            }
            return;
        }
        self.retained.release(&change.subject);
        self.facts.insert(change.subject, Entry { revision: change.revision, fact, received: now });
    }

    /// Whether the known fact includes a change. A change of the same revision is the same one, unless
    /// the source does not name its eras and may have assigned the revision twice.
    fn is_known(&self, known: &Entry, change: &Change) -> bool {
        let is_same = known.revision == change.revision && change.revision > 0;
        known.revision > change.revision || is_same && self.revision.era > 0
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
            log::info!(version = version(&next), revision = self.revision.number; "config: a new version is in force");
        }
        self.current.store(sync::Arc::new(next));
        self.changed.notify_waiters();
    }
}

/// The known configuration if it is of the present era, so that patches may build on it.
fn patch_base(known: Option<&Entry>) -> Option<&sync::Arc<deployment::Deployment>> {
    match known {
        Some(Entry { revision: 1.., fact: Fact::Deployment(known), .. }) => Some(known),
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
