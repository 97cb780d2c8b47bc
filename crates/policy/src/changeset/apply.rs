//! Applies a changeset to a release.

use std::collections;

use super::{
    check,
    error::{self, Result},
};
use crate::{changeset, release};

/// Returns the release that results from applying `changeset` to `release`.
///
/// # Errors
///
/// Fails if the note was accepted before, if its id or base does not fit `release`, or if its
/// content is invalid; the error then lists all faults.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::changeset::{self, Action, Change, Changeset, Item, Kind};
/// use corneltrestle_policy::release::{Release, ZoneState};
///
/// let item = Item::Zone("bilbao".into(), Some(ZoneState::Out));
/// let changes = vec![Change { line: 4, action: Action::Add, item }];
/// let note = Changeset { id: "n-1".to_owned(), base: 0, digest: 7, changes };
/// let next = changeset::apply(&Release::default(), &note)?;
/// assert!(!next.accepts_work("bilbao"));
/// assert_eq!(changeset::apply(&next, &note).unwrap_err().kind, Kind::AlreadyAccepted(1));
/// # Ok::<(), changeset::Error>(())
/// ```
pub fn apply(
    release: &release::Release,
    changeset: &changeset::Changeset,
) -> Result<release::Release> {
    let fail = |kind| Err(error::Error { note: changeset.id.clone(), kind });
    if let Some(note) = release.notes.iter().rev().find(|note| note.id == changeset.id) {
        return fail(if note.digest == changeset.digest {
            error::Kind::AlreadyAccepted(note.revision)
        } else {
            error::Kind::IdReused { revision: note.revision }
        });
    }
    if changeset.base != release.revision {
        return fail(error::Kind::BaseMismatch {
            base: changeset.base,
            revision: release.revision,
        });
    }
    let mut faults = Vec::new();
    let mut next = release.clone();
    check_note(changeset, &mut faults);
    let mut lines = collections::BTreeMap::new();
    for change in &changeset.changes {
        let label = change.item.label();
        let fault = if let Some(first) = lines.get(&label) {
            Some(error::FaultKind::Repeated { first: *first })
        } else {
            lines.insert(label.clone(), change.line);
            apply_change(&mut next, change)
        };
        faults.extend(fault.map(|kind| error::Fault { line: change.line, item: label, kind }));
    }
    for change in &changeset.changes {
        check::values(change, &mut faults);
    }
    check::references(&next, &changeset.changes, &mut faults);
    check::conflicts(&next, &lines, &mut faults);
    if !faults.is_empty() {
        faults.sort_by_key(|fault| fault.line);
        return fail(error::Kind::Faults(faults));
    }
    next.revision += 1;
    next.notes.push_back(release::Note {
        id: changeset.id.clone(),
        revision: next.revision,
        digest: changeset.digest,
    });
    while next.notes.len() > release::Release::MAX_NOTES {
        next.notes.pop_front();
    }
    Ok(next)
}

fn check_note(changeset: &changeset::Changeset, faults: &mut Vec<error::Fault>) {
    let mut add = |kind| faults.push(error::Fault { line: 0, item: "note".to_owned(), kind });
    if !check::is_name(&changeset.id) {
        add(error::FaultKind::Name);
    }
    if changeset.changes.is_empty() {
        add(error::FaultKind::Empty);
    }
}

fn apply_change(
    next: &mut release::Release,
    change: &changeset::Change,
) -> Option<error::FaultKind> {
    match &change.item {
        changeset::Item::Organisation(name, value) => {
            apply_item(&mut next.organisations, change.action, name, value.as_ref())
        }
        changeset::Item::Service(name, value) => {
            apply_item(&mut next.services, change.action, name, value.as_ref())
        }
        changeset::Item::ReplicaSet(name, value) => {
            apply_item(&mut next.sets, change.action, name, value.as_ref())
        }
        changeset::Item::Zone(name, value) => {
            apply_item(&mut next.zones, change.action, name, value.as_ref())
        }
    }
}

/// Applies a change as far as possible even if it is faulty, so that later checks do not report
/// faults that only follow from this one.
fn apply_item<K: Ord + Clone, V: Clone>(
    items: &mut collections::BTreeMap<K, V>,
    action: changeset::Action,
    name: &K,
    value: Option<&V>,
) -> Option<error::FaultKind> {
    let exists = items.contains_key(name);
    if let (changeset::Action::Add | changeset::Action::Change, Some(value)) = (action, value) {
        items.insert(name.clone(), value.clone());
    }
    if action == changeset::Action::Withdraw {
        items.remove(name);
    }
    match (action, exists) {
        (changeset::Action::Add, true) => Some(error::FaultKind::Exists),
        (changeset::Action::Change | changeset::Action::Withdraw, false) => {
            Some(error::FaultKind::Missing)
        }
        _ if (action == changeset::Action::Withdraw) == value.is_some() => {
            Some(error::FaultKind::ValueMismatch)
        }
        _ => None,
    }
}
