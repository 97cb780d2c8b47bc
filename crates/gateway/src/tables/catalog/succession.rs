//! Which facts a node uses once the source has come back from an earlier copy of itself.
//!
//! The copy lacks what was written after it. The operator and the upstreams write that again within
//! [`RENEWAL_GRACE`](super::RENEWAL_GRACE), and nodes register again. Until then a node uses of each
//! subject the fact that is known to be later, that of the former era or that of the copy, and where
//! this is not known, the more restrictive one: zones stay evacuated, and upstreams that were removed
//! are not used. What is written in the new era applies at once.

use std::{collections, sync};

use corneltrestle_policy::revision;
use corneltrestle_time::moment;

use super::{Catalog, Entry, Unpublished, change_log, retained};
use crate::source::{Changes, Fact, Subject};

/// What a node knew in the former era.
pub(super) struct Former {
    /// The facts that it used.
    used: collections::BTreeMap<Subject, Entry>,
    /// Upstreams that it knew to be removed.
    removed: collections::BTreeSet<Subject>,
}

impl Catalog {
    /// Begins the era of these facts, which were requested at `now`; returns what was known before.
    /// The configuration stays. As revisions are assigned again, its own is not compared with others.
    pub(super) fn begin_era(&mut self, loaded: &Changes, now: moment::Moment) -> Former {
        let former = Former { used: self.take_used(), removed: self.removed_upstreams() };
        log::warn!(
            era = loaded.revision.era, former_era = self.revision.era,
            revision = loaded.revision.number, former_revision = self.revision.number,
            facts = loaded.changes.len(), former_facts = former.used.len();
            "store: back from an earlier copy; all facts are replaced"
        );
        if let Some(known) = former.used.get(&Subject::Deployment) {
            self.facts.insert(Subject::Deployment, Entry { revision: 0, ..known.clone() });
        }
        self.returns += 1;
        self.returned = Some(now);
        self.recovered = Some(now);
        self.unpublished = Unpublished { upstreams: true, nodes: true, others: true };
        former
    }

    /// Decides which facts of the former era are used in place of those of the present one.
    pub(super) fn carry_over(&mut self, mut former: Former, now: moment::Moment) {
        for subject in former.removed {
            if self.facts.contains_key(&subject) {
                self.retained.withhold(subject);
            }
        }
        let subjects = self.facts.keys().chain(former.used.keys()).cloned();
        for subject in subjects.collect::<collections::BTreeSet<_>>() {
            let known = former.used.remove(&subject);
            let known_fact = known.as_ref().map(|known| known.fact.clone());
            if let Some(known) = known {
                self.carry_over_one(&subject, known, now);
            }
            let used = self.used(&subject);
            let number = used.map_or(self.revision.number, |used| used.revision);
            let at = revision::Revision { number, ..self.revision };
            change_log::write(&subject, known_fact.as_ref(), used.map(|used| &used.fact), at);
        }
        let (kept, withheld) = (self.retained.kept().count(), self.retained.withheld().count());
        log::info!(
            era = self.revision.era, kept = kept, withheld = withheld;
            "store: facts that the copy lacks are retained until they are written again"
        );
    }

    fn carry_over_one(&mut self, subject: &Subject, known: Entry, now: moment::Moment) {
        let loaded = self.facts.get_mut(subject);
        let is_kept = match (&known.fact, loaded.map(|loaded| &mut loaded.fact)) {
            (Fact::Upstream(known_upstream), Some(Fact::Upstream(loaded))) => {
                let cold_left = (known.received + known_upstream.cold_left).since(now);
                let is_earlier = loaded.is_succeeded_by(known_upstream);
                let is_later = known_upstream.is_succeeded_by(loaded);
                let latest = if is_earlier { known_upstream } else { &*loaded };
                *loaded = sync::Arc::new(latest.continued_from(known_upstream, cold_left));
                !is_earlier && !is_later
            }
            (Fact::Node(known), Some(Fact::Node(loaded))) => known != loaded,
            (Fact::Upstream(_) | Fact::Node(_) | Fact::Evacuated, None) => true,
            _ => false,
        };
        if is_kept {
            self.retained.keep(subject.clone(), known);
        }
    }

    /// Takes all facts, and returns those that were used.
    fn take_used(&mut self) -> collections::BTreeMap<Subject, Entry> {
        let mut used = std::mem::take(&mut self.facts);
        for subject in self.retained.withheld() {
            used.remove(subject);
        }
        used.extend(self.retained.kept().map(|(subject, kept)| (subject.clone(), kept.clone())));
        used
    }

    /// Upstreams that were removed or withheld. Forgets what was retained.
    fn removed_upstreams(&mut self) -> collections::BTreeSet<Subject> {
        let retained = std::mem::take::<retained::Retained>(&mut self.retained);
        let mut removed: collections::BTreeSet<Subject> = retained.withheld().cloned().collect();
        for change in &self.history {
            if !matches!(change.subject, Subject::Upstream(_)) {
            } else if change.fact.is_none() && !retained.contains(&change.subject) {
                removed.insert(change.subject.clone());
            } else {
                removed.remove(&change.subject);
            }
        }
        removed
    }
}
