//! Decoding the keys of one section.

use corneltrestle_kernel::ini;

use super::{error, value};

/// Decodes the values of one section and collects its faults.
pub(super) struct Reader<'a> {
    section: &'a ini::Section,
    faults: &'a mut Vec<error::Fault>,
    /// Whether absent keys are faults; false if it is unknown which keys are required.
    reports_missing: bool,
}

impl<'a> Reader<'a> {
    pub(super) fn new(section: &'a ini::Section, faults: &'a mut Vec<error::Fault>) -> Self {
        Self { section, faults, reports_missing: true }
    }

    /// From now on, reports only faults of keys that are given.
    pub(super) fn ignore_missing(&mut self) {
        self.reports_missing = false;
    }

    /// Reports a fault of the whole section.
    pub(super) fn fault(&mut self, kind: error::FaultKind) {
        self.push(self.section.line, "", kind);
    }

    /// Reports a fault for each occurrence of `key`.
    pub(super) fn forbid(&mut self, key: &str, kind: &error::FaultKind) {
        let section = self.section;
        for entry in section.entries.iter().filter(|entry| entry.key == key) {
            self.push(entry.line, key, kind.clone());
        }
    }

    /// Reports a fault for each key; used for keys that precede the first section.
    pub(super) fn forbid_all(&mut self) {
        let section = self.section;
        for entry in &section.entries {
            self.push(entry.line, &entry.key, error::FaultKind::NoSection);
        }
    }

    /// Reports a fault for each key but the first `change`; used if the item is withdrawn.
    pub(super) fn forbid_others(&mut self) {
        let section = self.section;
        let mut has_change = false;
        for entry in &section.entries {
            if entry.key != "change" {
                self.push(entry.line, &entry.key, error::FaultKind::Withdrawn);
            } else if std::mem::replace(&mut has_change, true) {
                self.push(entry.line, &entry.key, error::FaultKind::RepeatedKey);
            }
        }
    }

    /// Reports a fault for each key that is unknown or repeated.
    pub(super) fn check_keys(&mut self, known: &'static [&'static str]) {
        let section = self.section;
        for (n, entry) in section.entries.iter().enumerate() {
            if !known.contains(&entry.key.as_str()) {
                self.push(entry.line, &entry.key, error::FaultKind::UnknownKey { known });
            } else if section.entries[..n].iter().any(|earlier| earlier.key == entry.key) {
                self.push(entry.line, &entry.key, error::FaultKind::RepeatedKey);
            }
        }
    }

    /// Decodes the value of `key`; returns `absent` if the key is not given, and reports a fault if
    /// that is `None` too.
    pub(super) fn value<T>(
        &mut self,
        key: &str,
        form: &value::Form<T>,
        absent: Option<T>,
    ) -> Option<T> {
        let Some(entry) = self.section.entry(key) else {
            if absent.is_none() && self.reports_missing {
                let kind = error::FaultKind::Missing { expected: form.expected };
                self.push(self.section.line, key, kind);
            }
            return absent;
        };
        let found = entry.value.trim();
        let value = (form.parse)(found);
        if value.is_none() {
            let kind =
                error::FaultKind::Invalid { found: found.to_owned(), expected: form.expected };
            self.push(entry.line, key, kind);
        }
        value
    }

    fn push(&mut self, line: usize, key: &str, kind: error::FaultKind) {
        let section = self.section.name.clone();
        self.faults.push(error::Fault { line, section, key: key.to_owned(), kind });
    }
}
