//! Values of settings, and parsing of values according to their declared types.

use std::{net, path, time};

use super::{error, key};

/// A value that matches the type and range of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// Value of a [`Type::Text`](super::Type::Text) or [`Type::Choice`](super::Type::Choice) key.
    Text(String),
    /// Value of a [`Type::Flag`](super::Type::Flag) key; `yes` is true.
    Flag(bool),
    /// Value of a [`Type::Count`](super::Type::Count) key, or size in bytes of a
    /// [`Type::Bytes`](super::Type::Bytes) or [`Type::BytesOrDefault`](super::Type::BytesOrDefault)
    /// key.
    Count(u64),
    /// Value of a [`Type::Duration`](super::Type::Duration) key.
    Duration(time::Duration),
    /// Value of a [`Type::Address`](super::Type::Address) key.
    Address(net::SocketAddr),
    /// Value of a [`Type::Path`](super::Type::Path) key.
    Path(path::PathBuf),
}

/// Parses `text` as a value of type `ty`.
pub(super) fn parse(ty: &key::Type, text: &str) -> Result<Value, error::FaultKind> {
    let text = text.trim();
    let invalid = || error::FaultKind::Invalid { found: text.to_owned(), expected: ty.to_string() };
    let checked = |value, is_valid: bool| if is_valid { Ok(value) } else { Err(invalid()) };
    match ty {
        key::Type::Text => checked(Value::Text(text.to_owned()), !text.is_empty()),
        key::Type::Flag => match text {
            "yes" => Ok(Value::Flag(true)),
            "no" => Ok(Value::Flag(false)),
            _ => Err(invalid()),
        },
        key::Type::Count { min, max } | key::Type::Bytes { min, max } => {
            let count = text.parse().map_err(|_| invalid())?;
            checked(Value::Count(count), (*min..=*max).contains(&count))
        }
        key::Type::BytesOrDefault { min, max } => {
            let count = text.parse().map_err(|_| invalid())?;
            checked(Value::Count(count), count == 0 || (*min..=*max).contains(&count))
        }
        key::Type::Duration { min, max } => {
            let duration = humantime::parse_duration(text).map_err(|_| invalid())?;
            checked(Value::Duration(duration), (*min..=*max).contains(&duration))
        }
        key::Type::Address => text.parse().map(Value::Address).map_err(|_| invalid()),
        key::Type::Path => checked(Value::Path(path::PathBuf::from(text)), !text.is_empty()),
        key::Type::Choice(words) => checked(Value::Text(text.to_owned()), words.contains(&text)),
    }
}
