//! Errors in settings, each with its file, line, section and key.

use std::fmt;

/// Why settings cannot be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The file cannot be read.
    Read {
        /// Path of the file.
        file: String,
        /// The operating system's error, or that the file is not UTF-8.
        message: String,
    },
    /// The file is not an INI document.
    Syntax {
        /// Path of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Message of the INI parser.
        message: String,
    },
    /// Sections, keys or values are invalid.
    Faults {
        /// Path of the file.
        file: String,
        /// All faults in the file; at least one.
        faults: Vec<Fault>,
    },
}

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line number, from 1. For a missing key, that of its section's header, or 1 if the section is
    /// missing, too.
    pub line: usize,
    /// Name of the section.
    pub section: String,
    /// Name of the key; empty if the fault concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub kind: FaultKind,
}

/// What is wrong with a section, key or value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// No plug-in declares the section.
    UnknownSection {
        /// Names of the declared sections.
        known: Vec<&'static str>,
    },
    /// The key is not declared in its section.
    UnknownKey {
        /// Names of the keys declared in the section.
        known: Vec<&'static str>,
    },
    /// The key appears more than once in its section.
    Repeated,
    /// A required key is absent.
    Missing {
        /// Type, unit and range of the key.
        expected: String,
    },
    /// The value has the wrong type, unit or range.
    Invalid {
        /// The value in the file.
        found: String,
        /// Type, unit and range of the key.
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
