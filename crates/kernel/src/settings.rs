//! Settings from an INI file, checked against the sections and keys that plug-ins declare.
//!
//! A declaration ([`Section`], [`Key`]) states the type, unit, range and default of each key.
//! Loading reports all faults at once; after it, [`Settings`] holds only valid, typed values.

mod error;
mod key;
mod reference;
mod value;

use std::{collections, fs, net, path, time};

use crate::{ini, plugin};

pub use error::{Error, Fault, FaultKind};
pub use key::{Key, Section, Type};
pub use reference::reference;
pub use value::Value;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Valid settings, with defaults for absent keys.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    values: collections::BTreeMap<(&'static str, &'static str), Value>,
}

/// Typed access to the settings of one section.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    settings: &'a Settings,
    section: &'static str,
}

/// The sections that registered plug-ins declare, sorted by name and without duplicates.
pub fn sections() -> Vec<&'static Section> {
    let mut all: Vec<_> = plugin::ordered().iter().filter_map(|plugin| plugin.section).collect();
    all.sort_by_key(|section| section.name);
    all.dedup_by_key(|section| section.name);
    all
}

impl Settings {
    /// Reads a file and checks it against the declared sections.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or parsed, or else with all faults in it.
    pub fn load(path: &path::Path, sections: &[&'static Section]) -> Result<Self> {
        let file = path.display().to_string();
        let bytes = fs::read(path)
            .map_err(|source| Error::Read { file: file.clone(), message: source.to_string() })?;
        let text = String::from_utf8(bytes).map_err(|_| Error::Read {
            file: file.clone(),
            message: "not UTF-8 text".to_owned(),
        })?;
        Self::parse(&file, &text, sections)
    }

    /// Checks a text against the declared sections; `file` is the name shown in errors.
    ///
    /// # Errors
    ///
    /// When the text cannot be parsed, or else with all faults in it.
    pub fn parse(file: &str, text: &str, sections: &[&'static Section]) -> Result<Self> {
        let doc = ini::Document::parse(text).map_err(|e| Error::Syntax {
            file: file.to_owned(),
            line: e.line,
            message: e.message,
        })?;
        let mut settings = Self::default();
        let mut faults = Vec::new();
        faults.extend(unknown_sections(&doc, sections));
        for section in sections {
            let found: Vec<_> = doc.named(section.name).collect();
            faults.extend(unknown_keys(section, &found));
            for key in section.keys {
                match read_key(section, key, &found) {
                    Ok(Some(value)) => {
                        settings.values.insert((section.name, key.name), value);
                    }
                    Ok(None) => {}
                    Err(fault) => faults.push(fault),
                }
            }
        }
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Faults { file: file.to_owned(), faults })
        }
    }

    /// The keys whose values differ from those in `other`, each as `[section] key`.
    pub fn changed(&self, other: &Self) -> Vec<String> {
        let keys: collections::BTreeSet<_> =
            self.values.keys().chain(other.values.keys()).collect();
        keys.into_iter()
            .filter(|key| self.values.get(*key) != other.values.get(*key))
            .map(|(section, key)| format!("[{section}] {key}"))
            .collect()
    }

    /// The settings of a section, which a registered plug-in must declare.
    pub fn section(&self, section: &'static str) -> View<'_> {
        View { settings: self, section }
    }
}

fn unknown_sections(doc: &ini::Document, sections: &[&'static Section]) -> Vec<Fault> {
    doc.sections
        .iter()
        .filter(|found| sections.iter().all(|section| section.name != found.name))
        .map(|found| Fault {
            line: found.line,
            section: found.name.clone(),
            key: String::new(),
            kind: FaultKind::UnknownSection {
                known: sections.iter().map(|section| section.name).collect(),
            },
        })
        .collect()
}

fn unknown_keys(section: &'static Section, found: &[&ini::Section]) -> Vec<Fault> {
    let mut seen = Vec::new();
    let mut faults = Vec::new();
    for entry in found.iter().flat_map(|part| &part.entries) {
        let kind = if section.keys.iter().all(|key| key.name != entry.key) {
            FaultKind::UnknownKey { known: section.keys.iter().map(|key| key.name).collect() }
        } else if seen.contains(&entry.key.as_str()) {
            FaultKind::Repeated
        } else {
            seen.push(entry.key.as_str());
            continue;
        };
        faults.push(Fault {
            line: entry.line,
            section: section.name.to_owned(),
            key: entry.key.clone(),
            kind,
        });
    }
    faults
}

fn read_key(
    section: &'static Section,
    key: &'static Key,
    found: &[&ini::Section],
) -> std::result::Result<Option<Value>, Fault> {
    let entry = found.iter().find_map(|part| part.entry(key.name));
    let line = entry.map_or(found.first().map_or(1, |part| part.line), |entry| entry.line);
    let fault =
        |kind| Fault { line, section: section.name.to_owned(), key: key.name.to_owned(), kind };
    match (entry.map(|entry| entry.value.as_str()).or(key.default), key.required) {
        (Some(text), _) => value::parse(&key.ty, text).map(Some).map_err(fault),
        (None, true) => Err(fault(FaultKind::Missing { expected: key.ty.to_string() })),
        (None, false) => Ok(None),
    }
}

/// Typed access. Each function panics if the key is not declared with that type, or is optional and
/// absent where the function does not say otherwise; that is a bug in the program, not an error in
/// the settings.
impl<'a> View<'a> {
    fn value(&self, key: &'static str) -> Option<&'a Value> {
        self.settings.values.get(&(self.section, key))
    }

    fn type_mismatch(&self, key: &'static str) -> ! {
        panic!("settings key [{}] {key} is not declared with the type requested", self.section)
    }

    /// The value of a [`Type::Text`] or [`Type::Choice`] key; empty if it is optional and absent.
    pub fn text(&self, key: &'static str) -> &'a str {
        match self.value(key) {
            Some(Value::Text(text)) => text,
            None => "",
            Some(_) => self.type_mismatch(key),
        }
    }

    /// The value of a [`Type::Flag`] key; `yes` is true.
    pub fn flag(&self, key: &'static str) -> bool {
        match self.value(key) {
            Some(Value::Flag(flag)) => *flag,
            _ => self.type_mismatch(key),
        }
    }

    /// The value of a [`Type::Count`] key, or the size in bytes of a [`Type::Bytes`] key.
    pub fn count(&self, key: &'static str) -> u64 {
        match self.value(key) {
            Some(Value::Count(count)) => *count,
            _ => self.type_mismatch(key),
        }
    }

    /// The value of a [`Type::Count`] key, or the size in bytes of a [`Type::Bytes`] or
    /// [`Type::BytesOrDefault`] key; `None` if it is absent.
    pub fn optional_count(&self, key: &'static str) -> Option<u64> {
        match self.value(key) {
            Some(Value::Count(count)) => Some(*count),
            None => None,
            Some(_) => self.type_mismatch(key),
        }
    }

    /// The value of a [`Type::Duration`] key.
    pub fn duration(&self, key: &'static str) -> time::Duration {
        match self.value(key) {
            Some(Value::Duration(duration)) => *duration,
            _ => self.type_mismatch(key),
        }
    }

    /// The value of an [`Type::Address`] key.
    pub fn address(&self, key: &'static str) -> net::SocketAddr {
        match self.value(key) {
            Some(Value::Address(address)) => *address,
            _ => self.type_mismatch(key),
        }
    }

    /// The value of an optional [`Type::Address`] key; `None` if it is absent.
    pub fn optional_address(&self, key: &'static str) -> Option<net::SocketAddr> {
        match self.value(key) {
            Some(Value::Address(address)) => Some(*address),
            None => None,
            Some(_) => self.type_mismatch(key),
        }
    }

    /// The value of a [`Type::Path`] key; `None` if it is optional and absent.
    pub fn path(&self, key: &'static str) -> Option<&'a path::PathBuf> {
        match self.value(key) {
            Some(Value::Path(path)) => Some(path),
            None => None,
            Some(_) => self.type_mismatch(key),
        }
    }
}
