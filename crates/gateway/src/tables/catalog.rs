//! Facts of the platform: what is declared and what has registered itself.

mod news;
mod stamps;

use std::{collections, sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{deployment, fleet, id};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

use crate::source::{Change, Changes, Fact, Holder, Node, Subject};

/// Time for which a removal is held back after an outage of the source: registrations that lapsed
/// meanwhile are renewed within about two seconds of its return.
const RENEWAL: time::Duration = time::Duration::from_millis(2_500);

/// All facts with their revisions; rank 10.
#[derive(Debug, Default)]
pub struct Catalog {
    facts: collections::BTreeMap<Subject, Known>,
    at: u64,
    /// When the source last confirmed the facts.
    heard: Option<moment::Moment>,
    stamps: stamps::Stamps,
    /// When the source returned from its latest outage.
    returned: Option<moment::Moment>,
    /// Whether the source is out of reach.
    is_out: bool,
    /// Upstreams whose removal is held back.
    held: collections::BTreeSet<Subject>,
    current: Current,
    changed: sync::Arc<tokio::sync::Notify>,
    /// The latest changes, in order, for peers that lack them.
    log: collections::VecDeque<Change>,
    /// Revision after which the log holds all changes.
    logged: u64,
}

/// Part of the most memory from which a node counts as strong; what the kernel keeps for itself
/// differs between VMs of one size.
const STRONG: f64 = 0.75;

/// Changes that are kept for peers: more than come in the time for which a peer may lag.
const LOG: usize = 512;

/// Facts for a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Excerpt {
    /// The facts or changes.
    pub changes: Changes,
    /// Whether they are all facts, and not only the changes that the peer lacks.
    pub complete: bool,
    /// When the source confirmed them.
    pub confirmed: Option<moment::Moment>,
}

#[derive(Clone, Debug)]
struct Known {
    revision: u64,
    fact: Fact,
    /// When it was taken.
    at: moment::Moment,
}

/// The present snapshot, shared with readers.
pub type Current = sync::Arc<arc_swap::ArcSwap<Snapshot>>;

/// Facts at one revision in the form in which requests need them.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Revision.
    pub at: u64,
    /// The declared state, once it is known.
    pub deployment: Option<sync::Arc<deployment::Deployment>>,
    /// Zones to which nothing new may be sent.
    pub evacuated: collections::BTreeSet<id::Zone>,
    /// Upstreams and groups.
    pub fleet: fleet::Fleet,
    /// Until when each cold upstream is cold.
    pub cold: collections::BTreeMap<id::Vm, moment::Moment>,
    /// Registered nodes.
    pub nodes: collections::BTreeMap<id::Node, Node>,
    /// The holder of the coordinator's lease.
    pub coordinator: Option<Holder>,
}

impl Snapshot {
    /// Whether a node has about as much memory as the largest of its zone, or of all zones. Duties
    /// for other nodes are left to such nodes.
    pub fn is_strong(&self, node: &str, zone: Option<&id::Zone>) -> bool {
        let nodes =
            || self.nodes.values().filter(|node| zone.is_none_or(|zone| node.zone == *zone));
        let most = nodes().map(|node| node.memory).max().unwrap_or(0);
        self.nodes.get(node).is_some_and(|node| node.memory as f64 >= most as f64 * STRONG)
    }
}

impl table::Ranked for Catalog {
    const RANK: u16 = 10;
    const NAME: &'static str = "catalog";
}

impl Catalog {
    /// The present snapshot for readers.
    pub fn current(&self) -> Current {
        sync::Arc::clone(&self.current)
    }

    /// Notified when the snapshot changes.
    pub fn changed(&self) -> sync::Arc<tokio::sync::Notify> {
        sync::Arc::clone(&self.changed)
    }

    /// Revision from which to follow the source.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// When the source last confirmed the facts.
    pub fn heard(&self) -> Option<moment::Moment> {
        self.heard
    }

    /// Whether the source is out of reach.
    pub fn is_out(&self) -> bool {
        self.is_out
    }

    /// Whether removals are held back.
    pub fn is_holding(&self) -> bool {
        !self.held.is_empty()
    }

    /// Notes that the source cannot be reached; returns whether it could be before.
    pub fn lose(&mut self) -> bool {
        !std::mem::replace(&mut self.is_out, true)
    }

    /// The confirmation of the source that [`Catalog::heard`] tells of, if it is known.
    pub fn stamp(&self) -> Option<mesh::Stamp> {
        self.stamps.latest()
    }

    /// Notes that the process `boot`, this one, got an answer of the source at `now`.
    pub fn asked(&mut self, boot: u64, now: moment::Moment) {
        self.stamps.take(mesh::Stamp { boot, number: now.as_micros() });
    }

    /// Notes that a peer knows the same facts, and that the source confirmed them at `confirmed`,
    /// unless this confirmation was taken before.
    pub fn confirm(&mut self, stamp: mesh::Stamp, confirmed: moment::Moment) {
        if self.stamps.take(stamp) && self.heard.is_none_or(|heard| heard < confirmed) {
            self.hear(confirmed);
        }
    }

    /// What a peer that knows the facts of revision `after` lacks.
    pub fn excerpt(&self, after: u64) -> Excerpt {
        let complete = after < self.logged || after > self.at || after == 0;
        let changes = if complete {
            let facts = self.facts.iter().map(|(subject, known)| Change {
                revision: known.revision,
                subject: subject.clone(),
                fact: Some(known.fact.clone()),
            });
            facts.collect()
        } else {
            self.log.iter().filter(|change| change.revision > after).cloned().collect()
        };
        Excerpt { changes: Changes { revision: self.at, changes }, complete, confirmed: self.heard }
    }

    /// Takes all facts anew; `now` is the moment before they were asked for.
    pub fn replace(&mut self, loaded: Changes, now: moment::Moment) {
        self.hear(now);
        let mut gone: collections::BTreeSet<Subject> = self.facts.keys().cloned().collect();
        for change in &loaded.changes {
            gone.remove(&change.subject);
        }
        self.at = loaded.revision;
        self.log.clear();
        self.logged = self.at;
        let removals =
            gone.into_iter().map(|subject| Change { revision: self.at, subject, fact: None });
        let all: Vec<Change> = loaded.changes.into_iter().chain(removals).collect();
        self.take(all, now);
    }

    /// Takes changes that were the latest ones at `now`.
    pub fn apply(&mut self, changes: Changes, now: moment::Moment) {
        self.hear(now);
        self.at = self.at.max(changes.revision);
        if !changes.changes.is_empty() {
            self.record(&changes.changes);
            self.take(changes.changes, now);
        }
    }

    /// Removes upstreams whose removal is held back no longer; returns how many there were.
    pub fn settle(&mut self, now: moment::Moment) -> usize {
        if self.held.is_empty() || self.is_renewing(now) {
            return 0;
        }
        let held = std::mem::take(&mut self.held);
        let number = held.len();
        for subject in held {
            self.facts.remove(&subject);
        }
        self.publish();
        number
    }

    fn record(&mut self, changes: &[Change]) {
        let latest = self.log.back().map_or(0, |change| change.revision);
        self.log.extend(changes.iter().filter(|change| change.revision > latest).cloned());
        while self.log.len() > LOG {
            self.logged = self.log.pop_front().map_or(self.logged, |change| change.revision);
        }
    }

    fn hear(&mut self, now: moment::Moment) {
        if std::mem::replace(&mut self.is_out, false) && self.heard.is_some() {
            self.returned = Some(now);
        }
        self.heard = self.heard.max(Some(now));
    }

    fn is_renewing(&self, now: moment::Moment) -> bool {
        self.is_out || self.returned.is_some_and(|returned| now < returned + RENEWAL)
    }

    fn take(&mut self, changes: Vec<Change>, now: moment::Moment) {
        let renewing = self.is_renewing(now);
        let is_first = self.facts.is_empty();
        for change in changes {
            self.take_one(change, renewing, is_first, now);
        }
        self.publish();
    }

    fn take_one(&mut self, change: Change, renewing: bool, is_first: bool, now: moment::Moment) {
        let known = self.facts.get(&change.subject);
        if known.is_some_and(|known| known.revision > change.revision) {
            return;
        }
        if !is_first {
            let known = known.map(|known| &known.fact);
            news::tell(&change.subject, known, change.fact.as_ref(), change.revision);
        }
        let Some(fact) = change.fact else {
            if renewing && matches!(change.subject, Subject::Upstream(_)) && known.is_some() {
                self.held.insert(change.subject);
            } else {
                self.facts.remove(&change.subject);
            }
            return;
        };
        if is_older(known.map(|known| &known.fact), &fact) {
            log::error!("config: a lower version than the one in force is ignored");
            return;
        }
        self.held.remove(&change.subject);
        self.facts.insert(change.subject, Known { revision: change.revision, fact, at: now });
    }

    fn publish(&self) {
        let previous = self.current.load();
        let mut next = Snapshot { at: self.at, ..Snapshot::default() };
        let mut upstreams = Vec::new();
        for (subject, known) in &self.facts {
            match (subject, &known.fact) {
                (_, Fact::Deployment(declared)) => {
                    let kept = previous.deployment.as_ref();
                    next.deployment = kept
                        .filter(|kept| kept.version == declared.version)
                        .cloned()
                        .or_else(|| Some(sync::Arc::new((**declared).clone())));
                }
                (Subject::Evacuation(zone), Fact::Evacuated) => {
                    next.evacuated.insert(zone.clone());
                }
                (_, Fact::Upstream(upstream)) => {
                    if !upstream.cold.is_zero() {
                        next.cold.insert(upstream.id.clone(), known.at + upstream.cold);
                    }
                    upstreams.push(upstream.clone());
                }
                (Subject::Node(id), Fact::Node(node)) => {
                    next.nodes.insert(id.clone(), node.clone());
                }
                (_, Fact::Coordinator(holder)) => next.coordinator = Some(holder.clone()),
                _ => {}
            }
        }
        next.fleet = fleet::Fleet::open(upstreams);
        let version = |snapshot: &Snapshot| {
            snapshot.deployment.as_ref().map_or(0, |declared| declared.version)
        };
        if version(&next) != version(&previous) {
            log::info!(version = version(&next), revision = self.at; "config: a new version is in force");
        }
        self.current.store(sync::Arc::new(next));
        self.changed.notify_waiters();
    }
}

/// Whether a declared state has a lower version than the known one.
fn is_older(known: Option<&Fact>, new: &Fact) -> bool {
    match (known, new) {
        (Some(Fact::Deployment(known)), Fact::Deployment(new)) => new.version < known.version,
        _ => false,
    }
}
