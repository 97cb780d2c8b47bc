//! Encoding of a note as text.

use std::fmt::{self, Write};

use corneltrestle_policy::{
    changeset,
    release::{self, Service},
};

/// Encodes a note with the changes in their order.
///
/// Decoding the text gives the same id, base and changes; line numbers and digest are those of the
/// new text. The line numbers and the digest in `changeset` are ignored.
pub fn encode(changeset: &changeset::Changeset) -> String {
    let mut out = String::new();
    // Writing to a String never fails.
    let _ = write_all(&mut out, changeset);
    out
}

fn write_all(out: &mut String, changeset: &changeset::Changeset) -> fmt::Result {
    writeln!(out, "[note]\nid = {}\nbase = {}", changeset.id, changeset.base)?;
    changeset.changes.iter().try_for_each(|change| section(out, change))
}

fn section(out: &mut String, change: &changeset::Change) -> fmt::Result {
    let (kind, name) = match &change.item {
        changeset::Item::Organisation(name, _) => ("organisation", name.as_str()),
        changeset::Item::Service(name, _) => ("service", name.as_str()),
        changeset::Item::ReplicaSet(name, _) => ("group", name.as_str()),
        changeset::Item::Zone(name, _) => ("zone", name.as_str()),
    };
    let action = match change.action {
        changeset::Action::Add => "add",
        changeset::Action::Change => "change",
        changeset::Action::Withdraw => "withdraw",
    };
    writeln!(out, "\n[{kind} {name}]\nchange = {action}")?;
    match &change.item {
        changeset::Item::Organisation(_, Some(value)) => organisation(out, value),
        changeset::Item::Service(_, Some(value)) => service(out, value),
        changeset::Item::ReplicaSet(_, Some(value)) => replica_set(out, value),
        changeset::Item::Zone(_, Some(value)) => zone(out, *value),
        _ => Ok(()),
    }
}

fn organisation(out: &mut String, value: &release::Organisation) -> fmt::Result {
    let release::Organisation { key_hash, weight, rate, concurrency } = value;
    writeln!(out, "key-hash = {key_hash}\nweight = {weight}")?;
    writeln!(out, "rate = {rate}\nconcurrency = {concurrency}")
}

fn service(out: &mut String, value: &Service) -> fmt::Result {
    match &value.kind {
        release::Kind::Model { model } => writeln!(out, "kind = model\nmodel = {model}")?,
        release::Kind::Plain(value) => plain(out, value)?,
    }
    let targets = &value.targets;
    writeln!(out, "timeout = {}", humantime::format_duration(value.timeout))?;
    writeln!(out, "target-whole = {}", targets.whole)?;
    let first = humantime::format_duration(targets.first_token);
    writeln!(out, "target-first-token = {first}")?;
    let between = humantime::format_duration(targets.between_tokens);
    writeln!(out, "target-between-tokens = {between}")?;
    writeln!(out, "target-orders = {}", targets.orders)
}

fn plain(out: &mut String, value: &release::Plain) -> fmt::Result {
    let upstreams: Vec<_> =
        value.upstreams.iter().map(|(zone, address)| format!("{zone} {address}")).collect();
    let repeatable: Vec<_> =
        value.repeatable.iter().map(|p| format!("{} {}", p.method, p.path)).collect();
    writeln!(out, "kind = plain\nprefix = {}", value.prefix)?;
    writeln!(out, "upstreams = {}", upstreams.join(", "))?;
    writeln!(out, "repeatable = {}", repeatable.join(", "))?;
    writeln!(out, "require-key = {}", if value.require_key { "yes" } else { "no" })
}

fn replica_set(out: &mut String, value: &release::ReplicaSet) -> fmt::Result {
    let fencing = match value.fencing {
        release::Fencing::Checked => "checked",
        release::Fencing::Ignored => "ignored",
    };
    writeln!(out, "service = {}\nzone = {}", value.service, value.zone)?;
    writeln!(out, "vms = {}\nreplicas = {}", value.vms, value.replicas)?;
    writeln!(out, "model = {}\nadapter = {}", value.model, value.adapter)?;
    writeln!(out, "version = {}\nfencing = {fencing}", value.version)?;
    writeln!(out, "cold-limit = {}", value.cold_limit)
}

fn zone(out: &mut String, value: release::ZoneState) -> fmt::Result {
    let state = match value {
        release::ZoneState::In => "in",
        release::ZoneState::Out => "out",
    };
    writeln!(out, "state = {state}")
}
