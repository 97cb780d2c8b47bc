//! Parsers of the values in a note, each with a description of the values that it accepts.

use std::{collections, net, time};

use corneltrestle_policy::{changeset, id, release};

/// Limit on the length of a name; names are parts of store keys and of metric labels.
const MAX_NAME_BYTES: usize = 64;

/// Limit on the length of a text, a path or the path of a pattern.
const MAX_TEXT_BYTES: usize = 256;

const MIN_TIME: time::Duration = time::Duration::from_millis(1);
const MAX_TIME: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// The form of a value.
pub(super) struct Form<T> {
    /// Describes the accepted values; used in faults.
    pub(super) expected: &'static str,
    /// Parses a trimmed value; `None` if it does not have this form.
    pub(super) parse: fn(&str) -> Option<T>,
}

pub(super) const NAME: Form<String> = Form {
    expected: "letters, digits, -, _ and ., at most 64 bytes and first a letter or digit",
    parse: |text| is_name(text).then(|| text.to_owned()),
};

pub(super) const REVISION: Form<u64> =
    Form { expected: "a revision as a whole number", parse: |text| text.parse().ok() };

pub(super) const ACTION: Form<changeset::Action> = Form {
    expected: "add, change or withdraw",
    parse: |text| match text {
        "add" => Some(changeset::Action::Add),
        "change" => Some(changeset::Action::Change),
        "withdraw" => Some(changeset::Action::Withdraw),
        _ => None,
    },
};

pub(super) const KEY_HASH: Form<String> = Form {
    expected: "a SHA-256 hash as 64 lower-case hexadecimal digits",
    parse: |text| {
        let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        (text.len() == 64 && text.bytes().all(is_hex)).then(|| text.to_owned())
    },
};

pub(super) const COUNT: Form<u32> = Form {
    expected: "a whole number from 1 to 1000000",
    parse: |text| text.parse().ok().filter(|n| (1..=1_000_000).contains(n)),
};

pub(super) const VMS: Form<u16> = Form {
    expected: "a whole number from 1 to 256",
    parse: |text| text.parse().ok().filter(|n| (1..=256).contains(n)),
};

pub(super) const REPLICAS: Form<u16> =
    Form { expected: "a whole number from 0 to 65535", parse: |text| text.parse().ok() };

pub(super) const KIND: Form<ServiceKind> = Form {
    expected: "model or plain",
    parse: |text| match text {
        "model" => Some(ServiceKind::Model),
        "plain" => Some(ServiceKind::Plain),
        _ => None,
    },
};

pub(super) const TEXT: Form<String> = Form {
    expected: "1 to 256 bytes without spaces, quotes and control characters",
    parse: |text| (!text.is_empty() && is_text(text)).then(|| text.to_owned()),
};

pub(super) const ADAPTER: Form<String> = Form {
    expected: "nothing, or up to 256 bytes without spaces, quotes and control characters",
    parse: |text| is_text(text).then(|| text.to_owned()),
};

pub(super) const PREFIX: Form<String> = Form {
    expected: "a path such as /desk, with a leading and without a trailing slash",
    parse: |text| (is_path(text) && !text.contains('*')).then(|| text.to_owned()),
};

pub(super) const UPSTREAMS: Form<Vec<(id::Zone, net::SocketAddr)>> = Form {
    expected: "a list of a zone and an address, such as a 10.0.0.1:80, b 10.0.0.2:80, \
               with each address once",
    parse: |text| {
        let upstreams = list(text, upstream)?;
        let addresses: collections::BTreeSet<_> =
            upstreams.iter().map(|(_, address)| address).collect();
        (!upstreams.is_empty() && addresses.len() == upstreams.len()).then_some(upstreams)
    },
};

pub(super) const REPEATABLE: Form<Vec<release::Pattern>> = Form {
    expected: "a list of a method and a path below the prefix, such as GET /orders/*/status, \
               where * stands for one whole segment",
    parse: |text| list(text, pattern),
};

pub(super) const FLAG: Form<bool> = Form {
    expected: "yes or no",
    parse: |text| match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    },
};

pub(super) const TIME: Form<time::Duration> = Form {
    expected: "a time with its unit from 1ms to 24h, such as 1500ms",
    parse: |text| {
        humantime::parse_duration(text).ok().filter(|t| (MIN_TIME..=MAX_TIME).contains(t))
    },
};

pub(super) const FRACTION: Form<f64> = Form {
    expected: "a fraction above 0 and below 1, such as 0.999",
    parse: |text| text.parse().ok().filter(|f| *f > 0.0 && *f < 1.0),
};

pub(super) const FENCING: Form<release::Fencing> = Form {
    expected: "checked or ignored",
    parse: |text| match text {
        "checked" => Some(release::Fencing::Checked),
        "ignored" => Some(release::Fencing::Ignored),
        _ => None,
    },
};

pub(super) const STATE: Form<release::ZoneState> = Form {
    expected: "in or out",
    parse: |text| match text {
        "in" => Some(release::ZoneState::In),
        "out" => Some(release::ZoneState::Out),
        _ => None,
    },
};

/// The value of a service's key `kind`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServiceKind {
    Model,
    Plain,
}

pub(super) fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(char::is_alphanumeric)
        && text.chars().all(|c| c.is_alphanumeric() || "-_.".contains(c))
}

fn is_text(text: &str) -> bool {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && !"\"'".contains(c);
    text.len() <= MAX_TEXT_BYTES && text.chars().all(is_plain)
}

/// Whether `text` is an absolute path whose segments are neither empty nor relative.
fn is_path(text: &str) -> bool {
    let is_segment = |s: &str| {
        !matches!(s, "" | "." | "..")
            && !s.contains(['?', '#', ','])
            && (s == "*" || !s.contains('*'))
    };
    is_text(text) && text.strip_prefix('/').is_some_and(|rest| rest.split('/').all(is_segment))
}

/// Parses the parts of a comma-separated list; an empty text is an empty list.
fn list<T>(text: &str, parse: fn(&str) -> Option<T>) -> Option<Vec<T>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    text.split(',').map(|part| parse(part.trim())).collect()
}

fn upstream(text: &str) -> Option<(id::Zone, net::SocketAddr)> {
    let (zone, address) = text.split_once(char::is_whitespace)?;
    let address = address.trim().parse().ok()?;
    is_name(zone).then(|| (zone.into(), address))
}

fn pattern(text: &str) -> Option<release::Pattern> {
    let (method, path) = text.split_once(char::is_whitespace)?;
    let path = path.trim();
    let is_method = (1..=16).contains(&method.len())
        && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
    (is_method && (path == "/" || is_path(path)))
        .then(|| release::Pattern { method: method.to_owned(), path: path.to_owned() })
}
