//! Parsing of log lines, for tools that read the log.

use std::{collections, time};

/// A parsed log line.
///
/// # Examples
///
/// ```
/// use corneltrestle_kernel::logging;
///
/// let line = "2026-12-04T10:20:30.000500Z WARN  upstream: the registration has ended \
///             upstream=vm-3 revision=70";
/// let entry = logging::Entry::parse(line).unwrap();
/// let found = (entry.level.as_str(), entry.message.as_str());
/// assert_eq!(found, ("WARN", "upstream: the registration has ended"));
/// assert_eq!(entry.field("upstream"), Some("vm-3"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Entry {
    /// When the line was logged, by the wall clock of its VM.
    pub time: time::SystemTime,
    /// Level in capitals, such as `WARN`.
    pub level: String,
    /// The message with the prefix of its component, without the key-value pairs.
    pub message: String,
    /// The key-value pairs, with values unquoted.
    pub fields: collections::BTreeMap<String, String>,
}

impl Entry {
    /// Parses a line; `None` if it does not have the format of this log.
    pub fn parse(line: &str) -> Option<Self> {
        let (time, rest) = line.trim_end().split_once(' ')?;
        let time = humantime::parse_rfc3339(time).ok()?;
        let (level, rest) = rest.trim_start().split_once(' ')?;
        let mut rest = rest.trim();
        let mut fields = collections::BTreeMap::new();
        while let Some((before, name, value)) = last_pair(rest) {
            fields.insert(name.to_owned(), value);
            rest = before.trim_end();
        }
        Some(Self { time, level: level.to_owned(), message: rest.to_owned(), fields })
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Splits the last key-value pair off a line: the text before it, the key and the value.
fn last_pair(text: &str) -> Option<(&str, &str, String)> {
    let (at, value) = if text.ends_with('"') {
        let open = opening_quote(text)?;
        (open, unquote(&text[open + 1..text.len() - 1]))
    } else {
        let at = text.rfind(' ').map_or(0, |space| space + 1);
        let (name, value) = text[at..].split_once('=')?;
        (at + name.len() + 1, value.to_owned())
    };
    let name = text[..at].strip_suffix('=')?;
    let start = name.rfind(' ').map_or(0, |space| space + 1);
    let name = &name[start..];
    let is_name = !name.is_empty() && name.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    is_name.then(|| (&text[..start], name, value))
}

/// Index of the quote that opens the quoted value at the end of `text`: the last unescaped quote
/// that follows a `=`.
fn opening_quote(text: &str) -> Option<usize> {
    let before = &text[..text.len() - 1];
    let mut end = before.len();
    loop {
        let at = before[..end].rfind('"')?;
        let escapes = before[..at].bytes().rev().take_while(|b| *b == b'\\').count();
        if escapes % 2 == 0 && before[..at].ends_with('=') {
            return Some(at);
        }
        end = at;
    }
}

fn unquote(text: &str) -> String {
    let mut plain = String::with_capacity(text.len());
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        match (c, c == '\\') {
            (_, true) => match chars.next() {
                Some('n') => plain.push('\n'),
                Some('t') => plain.push('\t'),
                Some('r') => plain.push('\r'),
                Some(other) => plain.push(other),
                None => {}
            },
            (c, false) => plain.push(c),
        }
    }
    plain
}
