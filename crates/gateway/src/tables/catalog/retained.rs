//! Facts that a node uses, or does not use, for a while although those of the source differ.

use std::collections;

use crate::{source, tables::catalog};

/// What is used in place of the facts of the source, by subject; `None` if nothing is. A node does not
/// pass it on.
#[derive(Debug, Default)]
pub(super) struct Retained(collections::BTreeMap<source::Subject, Option<catalog::Entry>>);

impl Retained {
    /// Goes on using a fact that the source no longer has, or has in another form.
    pub(super) fn keep(&mut self, subject: source::Subject, entry: catalog::Entry) {
        self.0.insert(subject, Some(entry));
    }

    /// Does not use a fact that the source has.
    pub(super) fn withhold(&mut self, subject: source::Subject) {
        self.0.insert(subject, None);
    }

    /// Uses what the source has.
    pub(super) fn release(&mut self, subject: &source::Subject) {
        self.0.remove(subject);
    }

    pub(super) fn contains(&self, subject: &source::Subject) -> bool {
        self.0.contains_key(subject)
    }

    /// The fact that is used, or `None` if it is withheld; `None` if that of the source is used.
    pub(super) fn get(&self, subject: &source::Subject) -> Option<Option<&catalog::Entry>> {
        self.0.get(subject).map(Option::as_ref)
    }

    /// The facts that are used.
    pub(super) fn kept(&self) -> impl Iterator<Item = (&source::Subject, &catalog::Entry)> {
        self.0.iter().filter_map(|(subject, entry)| Some((subject, entry.as_ref()?)))
    }

    /// The subjects of the facts that are withheld.
    pub(super) fn withheld(&self) -> impl Iterator<Item = &source::Subject> {
        self.0.iter().filter(|(_, entry)| entry.is_none()).map(|(subject, _)| subject)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
