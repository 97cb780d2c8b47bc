//! Errors in settings, each with file, line, section and key.

use std::fmt;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The file cannot be read.
    Read {
        /// The file.
        file: String,
        /// The cause.
        message: String,
    },
    /// The file is not an INI document.
    Syntax {
        /// The file.
        file: String,
        /// Line of the fault, from 1.
        line: usize,
        /// What is wrong.
        message: String,
    },
    /// Sections, keys or values are wrong.
    Faults {
        /// The file.
        file: String,
        /// Every fault.
        faults: Vec<Fault>,
    },
}

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// The section.
    pub section: String,
    /// The key; empty if the fault concerns the section.
    pub key: String,
    /// What is wrong.
    pub kind: FaultKind,
}

/// What is wrong with a section, key or value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// The section is not declared.
    UnknownSection {
        /// The declared sections.
        known: Vec<&'static str>,
    },
    /// The key is not declared in its section.
    UnknownKey {
        /// The declared keys.
        known: Vec<&'static str>,
    },
    /// The key appears twice.
    Repeated,
    /// The key is required.
    Missing {
        /// What would be right.
        expected: String,
    },
    /// The value has the wrong type, unit or range.
    Invalid {
        /// The value.
        found: String,
        /// What would be right.
        expected: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, message } => write!(f, "{file}: {message}"),
            Self::Syntax { file, line, message } => {
                write!(
                    f,
                    "{file}:{line}: not an INI line: {message}; expected [section] or key = value"
                )
            }
            Self::Faults { file, faults } => {
                for (n, fault) in faults.iter().enumerate() {
                    if n > 0 {
                        writeln!(f)?;
                    }
                    write!(f, "{file}:{fault}")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.line, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.kind)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownSection { known } => {
                write!(f, "unknown section; known are {}", known.join(", "))
            }
            Self::UnknownKey { known } => write!(f, "unknown key; known are {}", known.join(", ")),
            Self::Repeated => f.write_str("the key appears twice; keep one"),
            Self::Missing { expected } => write!(f, "missing; expected {expected}"),
            Self::Invalid { found, expected } => write!(f, "found {found:?}; expected {expected}"),
        }
    }
}
