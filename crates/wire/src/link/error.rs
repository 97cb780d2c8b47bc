//! Messages that cannot be used.

use std::fmt;

/// A message with a field that is out of its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The field, for example `roster.members`.
    pub field: &'static str,
    /// What is wrong.
    pub kind: Kind,
}

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// It has too many elements or bytes.
    TooLong {
        /// The number found.
        found: usize,
        /// The most that are allowed.
        max: usize,
    },
    /// It does not have the number of elements that another field requires.
    Length {
        /// The number found.
        found: usize,
        /// The number required.
        expected: usize,
    },
    /// It is required.
    Missing,
    /// Its value is wrong.
    Invalid {
        /// What would be right.
        expected: &'static str,
    },
}

impl Error {
    pub(super) fn invalid(field: &'static str, expected: &'static str) -> Self {
        Self { field, kind: Kind::Invalid { expected } }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = self.field;
        match self.kind {
            Kind::TooLong { found, max } => {
                write!(f, "{field}: length {found}; at most {max} is allowed")
            }
            Kind::Length { found, expected } => {
                write!(f, "{field}: length {found}; expected {expected}")
            }
            Kind::Missing => write!(f, "{field}: missing"),
            Kind::Invalid { expected } => write!(f, "{field}: expected {expected}"),
        }
    }
}

impl std::error::Error for Error {}
