//! Values of settings and their parsing.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::error::FaultKind;
use super::key::Type;

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
    Span(Duration),
    /// A socket address.
    Address(SocketAddr),
    /// A path.
    Path(PathBuf),
}

/// Parses `text` as a value of type `ty`.
pub(super) fn parse(ty: &Type, text: &str) -> Result<Value, FaultKind> {
    let text = text.trim();
    let invalid = || FaultKind::Invalid { found: text.to_owned(), expected: ty.to_string() };
    let checked = |value, inside: bool| if inside { Ok(value) } else { Err(invalid()) };
    match ty {
        Type::Text => checked(Value::Text(text.to_owned()), !text.is_empty()),
        Type::Flag => match text {
            "yes" => Ok(Value::Flag(true)),
            "no" => Ok(Value::Flag(false)),
            _ => Err(invalid()),
        },
        Type::Count { min, max } | Type::Bytes { min, max } => {
            let count = text.parse().map_err(|_| invalid())?;
            checked(Value::Count(count), (*min..=*max).contains(&count))
        }
        Type::Span { min, max } => {
            let span = humantime::parse_duration(text).map_err(|_| invalid())?;
            checked(Value::Span(span), (*min..=*max).contains(&span))
        }
        Type::Address => text.parse().map(Value::Address).map_err(|_| invalid()),
        Type::Path => checked(Value::Path(PathBuf::from(text)), !text.is_empty()),
        Type::Choice(words) => checked(Value::Text(text.to_owned()), words.contains(&text)),
    }
}
