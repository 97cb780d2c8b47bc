//! Declarations of settings.

use std::{fmt, time};

/// A declared section.
#[derive(Debug)]
pub struct Section {
    /// Name between the brackets.
    pub name: &'static str,
    /// One sentence for the reference page.
    pub help: &'static str,
    /// The keys.
    pub keys: &'static [Key],
}

/// A declared key.
#[derive(Debug)]
pub struct Key {
    /// The key.
    pub name: &'static str,
    /// Type, unit and range of the value.
    pub ty: Type,
    /// The value if the key is absent.
    pub default: Option<&'static str>,
    /// Whether a key without default must be present.
    pub required: bool,
    /// One sentence for the reference page.
    pub help: &'static str,
}

/// Type, unit and range of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Type {
    /// A text that is not empty.
    Text,
    /// `yes` or `no`.
    Flag,
    /// A whole number in a range.
    Count {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A size in bytes in a range.
    Bytes {
        /// Smallest value in bytes.
        min: u64,
        /// Largest value in bytes.
        max: u64,
    },
    /// A span of time with its unit, in a range.
    Duration {
        /// Shortest span.
        min: time::Duration,
        /// Longest span.
        max: time::Duration,
    },
    /// An IP address with a port.
    Address,
    /// The path of a file.
    Path,
    /// One of a few words.
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
    /// A span between two numbers of milliseconds.
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
