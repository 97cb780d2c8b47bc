//! Validates item values, references between items, and values that must be distinct.

use std::collections;

use super::error;
use crate::{
    changeset, id,
    release::{self, Service},
};

/// Paths of the model API; prefixes of plain services must not overlap them.
const RESERVED: [&str; 3] = ["/v1/chat/completions", "/v1/completions", "/v1/models"];

/// Limit on the length of a name, which keeps keys in the store short.
const MAX_NAME_BYTES: usize = 64;

/// Whether `name` can be part of a key in the store, where `/` separates the parts.
pub(super) fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

/// Checks the name and the value of one item.
pub(super) fn values(change: &changeset::Change, faults: &mut Vec<error::Fault>) {
    let mut sink = FaultSink { change, faults };
    if !is_name(change.item.name()) {
        sink.add(error::FaultKind::Name);
    }
    match &change.item {
        changeset::Item::Organisation(_, Some(value)) => organisation(value, &mut sink),
        changeset::Item::Service(_, Some(value)) => service(value, &mut sink),
        changeset::Item::ReplicaSet(_, Some(value)) => replica_set(value, &mut sink),
        _ => {}
    }
}

/// Adds the faults of one change to the list of the note.
struct FaultSink<'a> {
    change: &'a changeset::Change,
    faults: &'a mut Vec<error::Fault>,
}

impl FaultSink<'_> {
    fn add(&mut self, kind: error::FaultKind) {
        let changeset::Change { line, item, .. } = self.change;
        self.faults.push(error::Fault { line: *line, item: item.label(), kind });
    }

    fn invalid(&mut self, field: &'static str, found: &str, expected: &'static str) {
        self.add(error::FaultKind::Invalid { field, found: found.to_owned(), expected });
    }

    fn positive(&mut self, field: &'static str, value: u32) {
        if value == 0 {
            self.invalid(field, "0", "at least 1");
        }
    }
}

fn organisation(value: &release::Organisation, sink: &mut FaultSink<'_>) {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if value.key_hash.len() != 64 || !value.key_hash.bytes().all(hex) {
        sink.invalid("key-hash", &value.key_hash, "64 lower-case hexadecimal digits of SHA-256");
    }
    sink.positive("weight", value.weight);
    sink.positive("rate", value.rate);
    sink.positive("concurrency", value.concurrency);
}

fn replica_set(value: &release::ReplicaSet, sink: &mut FaultSink<'_>) {
    sink.positive("vms", value.vms.into());
    sink.positive("replicas", value.replicas.into());
    sink.positive("cold-limit", value.cold_limit);
    for (field, text) in [("model", &value.model), ("version", &value.version)] {
        if text.is_empty() {
            sink.invalid(field, "", "a name");
        }
    }
}

fn service(value: &Service, sink: &mut FaultSink<'_>) {
    let targets = &value.targets;
    for (field, fraction) in [("target-whole", targets.whole), ("target-orders", targets.orders)] {
        if !(0.0..=1.0).contains(&fraction) {
            sink.invalid(field, &fraction.to_string(), "a fraction from 0 to 1");
        }
    }
    for (field, time) in [
        ("timeout", value.timeout),
        ("target-first-token", targets.first_token),
        ("target-between-tokens", targets.between_tokens),
    ] {
        if time.is_zero() {
            sink.invalid(field, "0 s", "a time above zero");
        }
    }
    match &value.kind {
        release::Kind::Model { model } if model.is_empty() => sink.invalid("model", "", "a name"),
        release::Kind::Model { .. } => {}
        release::Kind::Plain(plain) => plain_service(plain, sink),
    }
}

fn plain_service(plain: &release::Plain, sink: &mut FaultSink<'_>) {
    if !is_path(&plain.prefix) || plain.prefix.contains('*') {
        sink.invalid("prefix", &plain.prefix, "a path such as /orders, without a trailing slash");
    } else if RESERVED.iter().any(|path| paths_overlap(path, &plain.prefix)) {
        sink.invalid("prefix", &plain.prefix, "a path outside the model calls under /v1");
    }
    if plain.upstreams.is_empty() {
        sink.invalid("upstreams", "", "at least one upstream");
    }
    for (n, (_, address)) in plain.upstreams.iter().enumerate() {
        if plain.upstreams[..n].iter().any(|(_, other)| other == address) {
            sink.invalid("upstreams", &address.to_string(), "each upstream once");
        }
    }
    for (n, pattern) in plain.repeatable.iter().enumerate() {
        let text = || format!("{} {}", pattern.method, pattern.path);
        if let Some(expected) = pattern_fault(pattern) {
            sink.invalid("repeatable", &text(), expected);
        } else if plain.repeatable[..n].contains(pattern) {
            sink.invalid("repeatable", &text(), "each pattern once");
        }
    }
}

fn pattern_fault(pattern: &release::Pattern) -> Option<&'static str> {
    let upper = |b: u8| b.is_ascii_uppercase();
    if pattern.method.is_empty() || !pattern.method.bytes().all(upper) {
        return Some("an HTTP method in upper case, then a path pattern");
    }
    if pattern.path != "/" && !is_path(&pattern.path) {
        return Some("a path pattern such as /orders/*/status, without empty segments");
    }
    let partial = |segment: &str| segment.len() > 1 && segment.contains('*');
    pattern.path.split('/').any(partial).then_some("* only as a whole segment")
}

fn is_path(path: &str) -> bool {
    let segment =
        |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_graphic() && !b"?#".contains(&b));
    path.strip_prefix('/').is_some_and(|rest| rest.split('/').all(segment))
}

/// Whether the paths are equal or one lies below the other.
fn paths_overlap(a: &str, b: &str) -> bool {
    let below =
        |a: &str, b: &str| a.strip_prefix(b).is_some_and(|r| r.is_empty() || r.starts_with('/'));
    below(a, b) || below(b, a)
}

/// Checks that everything a changed item refers to exists in the resulting release, and that
/// nothing else refers to a withdrawn item.
pub(super) fn references(
    next: &release::Release,
    changes: &[changeset::Change],
    faults: &mut Vec<error::Fault>,
) {
    for change in changes {
        let mut sink = FaultSink { change, faults };
        match &change.item {
            changeset::Item::ReplicaSet(_, Some(set)) => set_references(next, set, &mut sink),
            changeset::Item::Service(name, value) => {
                let plain = value.as_ref().and_then(|value| value.plain());
                plain.inspect(|plain| zone_references(next, plain, &mut sink));
                if change.action == changeset::Action::Withdraw || plain.is_some() {
                    set_users(next, changes, |set| set.service == *name, &mut sink);
                }
            }
            changeset::Item::Zone(name, _) if change.action == changeset::Action::Withdraw => {
                set_users(next, changes, |set| set.zone == *name, &mut sink);
                service_users(next, changes, name, &mut sink);
            }
            _ => {}
        }
    }
}

fn zone_references(next: &release::Release, plain: &release::Plain, sink: &mut FaultSink<'_>) {
    for (zone, _) in plain.upstreams.iter().filter(|(zone, _)| !next.zones.contains_key(zone)) {
        sink.add(error::FaultKind::Unknown { reference: format!("zone {zone}") });
    }
}

fn set_references(next: &release::Release, set: &release::ReplicaSet, sink: &mut FaultSink<'_>) {
    match next.services.get(&set.service).map(|service| &service.kind) {
        None => {
            sink.add(error::FaultKind::Unknown { reference: format!("service {}", set.service) })
        }
        Some(release::Kind::Plain(_)) => {
            sink.add(error::FaultKind::PlainService { service: set.service.to_string() })
        }
        Some(release::Kind::Model { .. }) => {}
    }
    if !next.zones.contains_key(&set.zone) {
        sink.add(error::FaultKind::Unknown { reference: format!("zone {}", set.zone) });
    }
}

/// Reports the replica sets for which `uses` holds, except those that the note itself changes: the
/// checks of their own sections report them.
fn set_users(
    next: &release::Release,
    changes: &[changeset::Change],
    uses: impl Fn(&release::ReplicaSet) -> bool,
    sink: &mut FaultSink<'_>,
) {
    for name in next.sets.iter().filter(|(_, set)| uses(set)).map(|(name, _)| name) {
        let named = |c: &changeset::Change| matches!(&c.item, changeset::Item::ReplicaSet(other, _) if other == name);
        if !changes.iter().any(named) {
            sink.add(error::FaultKind::InUse { user: format!("group {name}") });
        }
    }
}

/// Reports the plain services with upstreams in a withdrawn zone, except those that the note
/// changes.
fn service_users(
    next: &release::Release,
    changes: &[changeset::Change],
    zone: &id::Zone,
    sink: &mut FaultSink<'_>,
) {
    for (name, service) in &next.services {
        let named = |c: &changeset::Change| matches!(&c.item, changeset::Item::Service(other, _) if other == name);
        let uses = |plain: &release::Plain| plain.upstreams.iter().any(|(other, _)| other == zone);
        if service.plain().is_some_and(uses) && !changes.iter().any(named) {
            sink.add(error::FaultKind::InUse { user: format!("service {name}") });
        }
    }
}

/// Checks that key hashes, model names and path prefixes are distinct.
pub(super) fn conflicts(
    next: &release::Release,
    lines: &collections::BTreeMap<String, usize>,
    faults: &mut Vec<error::Fault>,
) {
    let keys: Vec<_> = (next.organisations.iter())
        .map(|(name, value)| (format!("organisation {name}"), value.key_hash.as_str()))
        .collect();
    report_conflicts("key-hash", &keys, |a, b| a == b, lines, faults);
    let (mut models, mut prefixes) = (Vec::new(), Vec::new());
    for (name, service) in &next.services {
        match &service.kind {
            release::Kind::Model { model } => {
                models.push((format!("service {name}"), model.as_str()))
            }
            release::Kind::Plain(plain) => {
                prefixes.push((format!("service {name}"), plain.prefix.as_str()))
            }
        }
    }
    report_conflicts("model", &models, |a, b| a == b, lines, faults);
    report_conflicts("prefix", &prefixes, paths_overlap, lines, faults);
}

/// Reports each pair of values for which `conflicts` holds, at the later section if the note
/// changes both items. Pairs that the note does not touch are skipped.
fn report_conflicts(
    field: &'static str,
    values: &[(String, &str)],
    conflicts: impl Fn(&str, &str) -> bool,
    lines: &collections::BTreeMap<String, usize>,
    faults: &mut Vec<error::Fault>,
) {
    for (n, a) in values.iter().enumerate() {
        for b in values[n + 1..].iter().filter(|b| conflicts(a.1, b.1)) {
            let (line_a, line_b) = (lines.get(&a.0), lines.get(&b.0));
            let (own, other) = if line_a > line_b { (a, b) } else { (b, a) };
            let Some(line) = line_a.max(line_b) else { continue };
            let kind = error::FaultKind::Conflict {
                field,
                found: own.1.to_owned(),
                other: other.0.clone(),
            };
            faults.push(error::Fault { line: *line, item: own.0.clone(), kind });
        }
    }
}
