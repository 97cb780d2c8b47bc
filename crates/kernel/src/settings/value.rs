//! Values of settings and their parsing.

use std::{net, path, time};

use super::{error, key};

/// A checked value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A text or a choice.
    Text(String),
    /// A flag.
    Flag(bool),
    /// A count, or a size in bytes.
    Count(u64),
    /// A span of time.
    Duration(time::Duration),
    /// A socket address.
    Address(net::SocketAddr),
    /// A path.
    Path(path::PathBuf),
}

/// Parses `text` as a value of type `ty`.
pub(super) fn parse(ty: &key::Type, text: &str) -> Result<Value, error::FaultKind> {
    let text = text.trim();
    let invalid = || error::FaultKind::Invalid { found: text.to_owned(), expected: ty.to_string() };
    let checked = |value, inside: bool| if inside { Ok(value) } else { Err(invalid()) };
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
        key::Type::Duration { min, max } => {
            let span = humantime::parse_duration(text).map_err(|_| invalid())?;
            checked(Value::Duration(span), (*min..=*max).contains(&span))
        }
        key::Type::Address => text.parse().map(Value::Address).map_err(|_| invalid()),
        key::Type::Path => checked(Value::Path(path::PathBuf::from(text)), !text.is_empty()),
        key::Type::Choice(words) => checked(Value::Text(text.to_owned()), words.contains(&text)),
    }
}
