//! Faults of a release note, each with its line, section and key.

use std::fmt;

/// A note cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Every fault of the text, in the order of the lines.
    pub faults: Vec<Fault>,
}

/// One fault of a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line number, from 1.
    pub line: usize,
    /// Name of the section, for example `group g1`; empty if the fault is outside of any.
    pub section: String,
    /// The key; empty if the fault concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub kind: FaultKind,
}

/// What is wrong with a section, key or value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// The text is longer than [`MAX_BYTES`](super::MAX_BYTES).
    TooLarge {
        /// Size of the text.
        bytes: usize,
    },
    /// The text is not an INI document.
    Syntax {
        /// Message of the INI parser.
        message: String,
    },
    /// The key precedes the first section.
    NoSection,
    /// The section's kind is unknown.
    UnknownSection,
    /// The name after the section's kind is missing or not a name.
    SectionName,
    /// The key is unknown in its section.
    UnknownKey {
        /// Keys that the section may have.
        known: &'static [&'static str],
    },
    /// The section appears twice.
    RepeatedSection,
    /// The key appears twice.
    RepeatedKey,
    /// The section or key is required.
    Missing {
        /// Description of what is required.
        expected: &'static str,
    },
    /// The value has the wrong form, unit or range.
    Invalid {
        /// The value as given.
        found: String,
        /// Description of the allowed values.
        expected: &'static str,
    },
    /// The section changes an item that the current release does not declare.
    NotDeclared,
    /// The key is given although the item is withdrawn.
    Withdrawn,
    /// The key belongs to another kind of service.
    OtherKind {
        /// The kind of the service that has the key.
        kind: &'static str,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.faults.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}:", self.line)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if !(self.section.is_empty() && self.key.is_empty()) {
            f.write_str(":")?;
        }
        write!(f, " {}", self.kind)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes } => {
                write!(f, "{bytes} bytes; at most {} are allowed", super::MAX_BYTES)
            }
            Self::Syntax { message } => {
                write!(f, "not an INI line: {message}; expected [kind NAME] or key = value")
            }
            Self::NoSection => f.write_str("before the first section; expected [note] above it"),
            Self::UnknownSection => f.write_str(
                "unknown section; expected [note], [organisation NAME], [service NAME], \
                 [group NAME] or [zone NAME]",
            ),
            Self::SectionName => {
                write!(f, "expected one name after the kind: {}", super::value::NAME.expected)
            }
            Self::UnknownKey { known } => write!(f, "unknown key; known are {}", known.join(", ")),
            Self::RepeatedSection => f.write_str("the section appears twice; keep one"),
            Self::RepeatedKey => f.write_str("the key appears twice; keep one"),
            Self::Missing { expected } => write!(f, "missing; expected {expected}"),
            Self::Invalid { found, expected } => write!(f, "found {found:?}; expected {expected}"),
            Self::NotDeclared => {
                f.write_str("the current release does not declare it; expected change = add")
            }
            Self::Withdrawn => f.write_str("not used with change = withdraw; remove the key"),
            Self::OtherKind { kind } => {
                write!(f, "used only with kind = {kind}; remove the key")
            }
        }
    }
}
