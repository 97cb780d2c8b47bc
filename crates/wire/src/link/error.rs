//! Errors of decoding a link message.

use std::fmt;

/// A message has a field that is missing, too long or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The field as `message.field`, for example `roster.members`.
    pub field: &'static str,
    /// What is wrong with the field.
    pub kind: Kind,
}

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// It has too many elements or bytes.
    TooLong {
        /// Number of elements or bytes found.
        found: usize,
        /// Number of elements or bytes allowed.
        max: usize,
    },
    /// It does not have the number of elements that another field requires.
    Length {
        /// Number of elements found; of a list of pairs or tuples, those left over.
        found: usize,
        /// Number of elements required.
        expected: usize,
    },
    /// It is required and absent or empty.
    Missing,
    /// Its value is not allowed.
    Invalid {
        /// Description of the allowed values.
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
