//! Declarations of sections and keys.

use std::{fmt, time};

/// A declared section.
#[derive(Debug)]
pub struct Section {
    /// Name in the section header, without brackets.
    pub name: &'static str,
    /// Description for the reference page.
    pub help: &'static str,
    /// All keys that the section may contain.
    pub keys: &'static [Key],
}

/// A declared key.
#[derive(Debug)]
pub struct Key {
    /// Name of the key, unique in its section.
    pub name: &'static str,
    /// Type, unit and range of the value.
    pub ty: Type,
    /// Value of an absent key, in the notation of the file. It is checked like a value from the
    /// file. `None` for required and optional keys.
    pub default: Option<&'static str>,
    /// Whether an absent key without default is an error.
    pub required: bool,
    /// Description for the reference page.
    pub help: &'static str,
}

/// Type, unit and range of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Type {
    /// A non-empty text.
    Text,
    /// `yes` or `no`.
    Flag,
    /// A whole number within a range.
    Count {
        /// Smallest valid value.
        min: u64,
        /// Largest valid value.
        max: u64,
    },
    /// A size within a range, as a whole number of bytes.
    Bytes {
        /// Smallest valid size in bytes.
        min: u64,
        /// Largest valid size in bytes.
        max: u64,
    },
    /// A size within a range, as a whole number of bytes, or 0 for a default that the program
    /// determines at start.
    BytesOrDefault {
        /// Smallest valid size in bytes, apart from 0.
        min: u64,
        /// Largest valid size in bytes.
        max: u64,
    },
    /// A duration within a range, with its unit, such as `250ms`.
    Duration {
        /// Shortest valid duration.
        min: time::Duration,
        /// Longest valid duration.
        max: time::Duration,
    },
    /// An IP address with a port.
    Address,
    /// The path of a file, which need not exist.
    Path,
    /// One of the listed words.
    Choice(&'static [&'static str]),
}

impl Key {
    /// A key that must be present.
    pub const fn required(name: &'static str, ty: Type, help: &'static str) -> Self {
        Self { name, ty, default: None, required: true, help }
    }

    /// A key that may be absent and has no default.
    pub const fn optional(name: &'static str, ty: Type, help: &'static str) -> Self {
        Self { name, ty, default: None, required: false, help }
    }

    /// A key with a default.
    pub const fn new(
        name: &'static str,
        ty: Type,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self { name, ty, default: Some(default), required: false, help }
    }
}

impl Type {
    /// A [`Type::Duration`] with bounds in milliseconds.
    pub const fn millis(min: u64, max: u64) -> Self {
        Self::Duration {
            min: time::Duration::from_millis(min),
            max: time::Duration::from_millis(max),
        }
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text => f.write_str("text"),
            Self::Flag => f.write_str("yes or no"),
            Self::Count { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::Bytes { min, max } => write!(f, "a size in bytes from {min} to {max}"),
            Self::BytesOrDefault { min, max } => {
                write!(f, "a size in bytes from {min} to {max}, or 0")
            }
            Self::Duration { min, max } => write!(
                f,
                "a time with its unit from {} to {}, such as 250ms or 3s",
                humantime::format_duration(*min),
                humantime::format_duration(*max)
            ),
            Self::Address => f.write_str("an IP address with a port, such as 10.0.0.1:8080"),
            Self::Path => f.write_str("the path of a file"),
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
        }
    }
}
