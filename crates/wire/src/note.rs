//! Release notes: INI texts in which operators declare changes of the release.
//!
//! The section `[note]` has the keys `id` and `base`. Each other section `[kind NAME]` changes one
//! item by `change = add`, `change = change` or `change = withdraw`; with `change = change`, absent
//! keys keep their current values. Decoding lists all faults of a text and not only the first, so
//! that an operator can correct them together.

mod encode;
mod error;
mod item;
mod section;
mod value;

use std::collections;

use corneltrestle_kernel::ini;
use corneltrestle_policy::{changeset, release};
use xxhash_rust::xxh3;

pub use encode::encode;
pub use error::{Error, Fault, FaultKind};

/// Size limit of the text of a note; the complete declared state stays below it too.
pub const MAX_BYTES: usize = 256 * 1024;

/// The result of decoding a note.
pub type Result<T> = std::result::Result<T, Error>;

/// Identifies a note; can be read without the release that the note is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Identifier that the operator chose.
    pub id: String,
    /// Revision of the release that the changes are based on.
    pub base: u64,
    /// Hash of the text, see [`digest`]; tells apart notes with the same id.
    pub digest: u64,
}

/// Computes the hash of a note's text.
pub fn digest(text: &str) -> u64 {
    xxh3::xxh3_64(text.as_bytes())
}

/// Decodes only the section `[note]`.
///
/// This recognises a note that was accepted before, even if its changes no longer fit the current
/// release.
///
/// # Errors
///
/// Every fault of that section, or only the first line that is not INI.
pub fn identify(text: &str) -> Result<Identity> {
    let mut faults = Vec::new();
    let found = identity(&parse(text)?, &mut faults);
    finish(faults, found.map(|(id, base)| Identity { id, base, digest: digest(text) }))
}

/// Decodes a note; the current release supplies the keys that a change leaves out.
///
/// # Errors
///
/// Every fault of the text with its line, section, key and the expected value.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::release::Release;
/// use corneltrestle_wire::note;
///
/// let text = "[note]\nid = n1\nbase = 0\n[zone a]\nchange = change\nstate = out\n";
/// let changeset = note::decode(text, &Release::default()).unwrap();
/// assert_eq!(changeset.changes.len(), 1);
///
/// let error = note::decode("[note]\nid = n1\nbase = x\n", &Release::default()).unwrap_err();
/// assert_eq!(error.faults[0].line, 3);
/// ```
pub fn decode(text: &str, current: &release::Release) -> Result<changeset::Changeset> {
    let doc = parse(text)?;
    let mut faults = Vec::new();
    let identity = identity(&doc, &mut faults);
    let mut seen = collections::BTreeSet::new();
    let mut changes = Vec::new();
    for section in &doc.sections {
        let (kind, name) = split_name(&section.name);
        if !seen.insert((kind, name)) {
            section::Reader::new(section, &mut faults).fault(FaultKind::RepeatedSection);
        }
        if kind != "note" {
            changes.extend(decode_section(section, current, &mut faults));
        }
    }
    let digest = digest(text);
    finish(faults, identity.map(|(id, base)| changeset::Changeset { id, base, digest, changes }))
}

fn parse(text: &str) -> Result<ini::Document> {
    let fault = |line, kind| {
        let fault = Fault { line, section: String::new(), key: String::new(), kind };
        Error { faults: vec![fault] }
    };
    if text.len() > MAX_BYTES {
        return Err(fault(1, FaultKind::TooLarge { bytes: text.len() }));
    }
    ini::Document::parse(text).map_err(|e| fault(e.line, FaultKind::Syntax { message: e.message }))
}

/// Returns the value if there is no fault, else the faults in the order of their lines.
fn finish<T>(mut faults: Vec<Fault>, value: Option<T>) -> Result<T> {
    match value {
        Some(value) if faults.is_empty() => Ok(value),
        _ => {
            faults.sort_by_key(|fault| fault.line);
            Err(Error { faults })
        }
    }
}

/// Decodes the id and base of the note.
fn identity(doc: &ini::Document, faults: &mut Vec<Fault>) -> Option<(String, u64)> {
    let Some(section) = doc.named("note").next() else {
        faults.push(Fault {
            line: 1,
            section: "note".to_owned(),
            key: String::new(),
            kind: FaultKind::Missing { expected: "this section with id and base" },
        });
        return None;
    };
    let mut reader = section::Reader::new(section, faults);
    reader.check_keys(item::NOTE_KEYS);
    let id = reader.value("id", &value::NAME, None);
    let base = reader.value("base", &value::REVISION, None);
    Some((id?, base?))
}

/// Splits a section name into the kind and the name of an item.
fn split_name(section: &str) -> (&str, &str) {
    let section = section.trim();
    let (kind, name) = section.split_once(char::is_whitespace).unwrap_or((section, ""));
    (kind, name.trim())
}

/// Decodes the section of an item; `None` if it has a fault.
fn decode_section(
    section: &ini::Section,
    current: &release::Release,
    faults: &mut Vec<Fault>,
) -> Option<changeset::Change> {
    let (kind, name) = split_name(&section.name);
    let mut reader = section::Reader::new(section, faults);
    let (keys, is_declared) = match kind {
        "organisation" => (item::ORGANISATION_KEYS, current.organisations.contains_key(name)),
        "service" => (item::SERVICE_KEYS, current.services.contains_key(name)),
        "group" => (item::GROUP_KEYS, current.sets.contains_key(name)),
        "zone" => (item::ZONE_KEYS, true),
        "" => {
            reader.forbid_all();
            return None;
        }
        _ => {
            reader.fault(FaultKind::UnknownSection);
            return None;
        }
    };
    if !value::is_name(name) {
        reader.fault(FaultKind::SectionName);
    }
    let action = reader.value("change", &value::ACTION, None);
    if action == Some(changeset::Action::Withdraw) {
        reader.forbid_others();
    } else {
        reader.check_keys(keys);
    }
    match action {
        Some(changeset::Action::Change) if !is_declared => {
            reader.fault(FaultKind::NotDeclared);
            reader.ignore_missing();
        }
        None => reader.ignore_missing(),
        _ => {}
    }
    let item = decode_item(&mut reader, kind, name, action, current)?;
    Some(changeset::Change { line: section.line, action: action?, item })
}

/// Decodes the item of a section with its complete new value.
fn decode_item(
    reader: &mut section::Reader<'_>,
    kind: &str,
    name: &str,
    action: Option<changeset::Action>,
    current: &release::Release,
) -> Option<changeset::Item> {
    let is_change = action == Some(changeset::Action::Change);
    let is_withdrawn = action == Some(changeset::Action::Withdraw);
    Some(match kind {
        "organisation" => {
            let before = current.organisations.get(name).filter(|_| is_change);
            let value = unless_withdrawn(is_withdrawn, || item::organisation(reader, before))?;
            changeset::Item::Organisation(name.into(), value)
        }
        "service" => {
            let before = current.services.get(name).filter(|_| is_change);
            let value = unless_withdrawn(is_withdrawn, || item::service(reader, before))?;
            changeset::Item::Service(name.into(), value)
        }
        "group" => {
            let before = current.sets.get(name).filter(|_| is_change);
            let value = unless_withdrawn(is_withdrawn, || item::replica_set(reader, before))?;
            changeset::Item::ReplicaSet(name.into(), value)
        }
        _ => changeset::Item::Zone(
            name.into(),
            unless_withdrawn(is_withdrawn, || item::zone(reader))?,
        ),
    })
}

/// Reads the value of an item: `Some(None)` if the item is withdrawn, `None` if a key has a fault.
fn unless_withdrawn<T>(is_withdrawn: bool, read: impl FnOnce() -> Option<T>) -> Option<Option<T>> {
    if is_withdrawn { Some(None) } else { read().map(Some) }
}
