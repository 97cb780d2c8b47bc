//! Decoding the items of a release from the sections of a note.

use corneltrestle_policy::release::{self, Service};

use super::{error, section, value};

/// Requests in progress that a replica may have right after a cold start, if the note has no
/// `cold-limit`.
const DEFAULT_COLD_LIMIT: u32 = 2;

pub(super) const NOTE_KEYS: &[&str] = &["id", "base"];
pub(super) const ORGANISATION_KEYS: &[&str] =
    &["change", "key-hash", "weight", "rate", "concurrency"];
pub(super) const SERVICE_KEYS: &[&str] = &[
    "change",
    "kind",
    "model",
    "prefix",
    "upstreams",
    "repeatable",
    "require-key",
    "timeout",
    "target-whole",
    "target-first-token",
    "target-between-tokens",
    "target-orders",
];
pub(super) const GROUP_KEYS: &[&str] = &[
    "change",
    "service",
    "zone",
    "vms",
    "replicas",
    "model",
    "adapter",
    "version",
    "fencing",
    "cold-limit",
];
pub(super) const ZONE_KEYS: &[&str] = &["change", "state"];

pub(super) fn organisation(
    reader: &mut section::Reader<'_>,
    current: Option<&release::Organisation>,
) -> Option<release::Organisation> {
    let hash = current.map(|p| p.key_hash.clone());
    let key_hash = reader.value("key-hash", &value::KEY_HASH, hash);
    let weight = reader.value("weight", &value::COUNT, Some(current.map_or(1, |p| p.weight)));
    let rate = reader.value("rate", &value::COUNT, current.map(|p| p.rate));
    let concurrency = reader.value("concurrency", &value::COUNT, current.map(|p| p.concurrency));
    Some(release::Organisation {
        key_hash: key_hash?,
        weight: weight?,
        rate: rate?,
        concurrency: concurrency?,
    })
}

pub(super) fn service(
    reader: &mut section::Reader<'_>,
    current: Option<&Service>,
) -> Option<Service> {
    let kind = kind(reader, current.map(|p| &p.kind));
    let timeout = reader.value("timeout", &value::TIME, current.map(|p| p.timeout));
    let targets = targets(reader, current.map(|p| p.targets).unwrap_or_default());
    Some(Service { kind: kind?, timeout: timeout?, targets: targets? })
}

fn kind(
    reader: &mut section::Reader<'_>,
    current: Option<&release::Kind>,
) -> Option<release::Kind> {
    let before = current.map(|kind| match kind {
        release::Kind::Model { .. } => value::ServiceKind::Model,
        release::Kind::Plain(_) => value::ServiceKind::Plain,
    });
    match reader.value("kind", &value::KIND, before) {
        Some(value::ServiceKind::Model) => {
            for key in ["prefix", "upstreams", "repeatable", "require-key"] {
                reader.forbid(key, &error::FaultKind::OtherKind { kind: "plain" });
            }
            model(reader, current)
        }
        Some(value::ServiceKind::Plain) => {
            reader.forbid("model", &error::FaultKind::OtherKind { kind: "model" });
            plain(reader, current)
        }
        None => {
            reader.ignore_missing();
            model(reader, current);
            plain(reader, current);
            None
        }
    }
}

fn model(
    reader: &mut section::Reader<'_>,
    current: Option<&release::Kind>,
) -> Option<release::Kind> {
    let before = match current {
        Some(release::Kind::Model { model }) => Some(model.clone()),
        _ => None,
    };
    reader.value("model", &value::TEXT, before).map(|model| release::Kind::Model { model })
}

fn plain(
    reader: &mut section::Reader<'_>,
    current: Option<&release::Kind>,
) -> Option<release::Kind> {
    let before = match current {
        Some(release::Kind::Plain(plain)) => Some(plain),
        _ => None,
    };
    let prefix = reader.value("prefix", &value::PREFIX, before.map(|p| p.prefix.clone()));
    let upstreams = before.map(|p| p.upstreams.clone());
    let upstreams = reader.value("upstreams", &value::UPSTREAMS, upstreams);
    let repeatable = before.map(|p| p.repeatable.clone()).unwrap_or_default();
    let repeatable = reader.value("repeatable", &value::REPEATABLE, Some(repeatable));
    let required = before.is_none_or(|p| p.require_key);
    let require_key = reader.value("require-key", &value::FLAG, Some(required));
    Some(release::Kind::Plain(release::Plain {
        prefix: prefix?,
        upstreams: upstreams?,
        repeatable: repeatable?,
        require_key: require_key?,
    }))
}

fn targets(reader: &mut section::Reader<'_>, before: release::Targets) -> Option<release::Targets> {
    let whole = reader.value("target-whole", &value::FRACTION, Some(before.whole));
    let first = reader.value("target-first-token", &value::TIME, Some(before.first_token));
    let between = reader.value("target-between-tokens", &value::TIME, Some(before.between_tokens));
    let orders = reader.value("target-orders", &value::FRACTION, Some(before.orders));
    Some(release::Targets {
        whole: whole?,
        first_token: first?,
        between_tokens: between?,
        orders: orders?,
    })
}

pub(super) fn replica_set(
    reader: &mut section::Reader<'_>,
    current: Option<&release::ReplicaSet>,
) -> Option<release::ReplicaSet> {
    let service = current.map(|p| p.service.to_string());
    let service = reader.value("service", &value::NAME, service);
    let zone = reader.value("zone", &value::NAME, current.map(|p| p.zone.to_string()));
    let vms = reader.value("vms", &value::VMS, current.map(|p| p.vms));
    let replicas = reader.value("replicas", &value::REPLICAS, current.map(|p| p.replicas));
    let model = reader.value("model", &value::TEXT, current.map(|p| p.model.clone()));
    let adapter = current.map(|p| p.adapter.clone()).unwrap_or_default();
    let adapter = reader.value("adapter", &value::ADAPTER, Some(adapter));
    let version = reader.value("version", &value::TEXT, current.map(|p| p.version.clone()));
    // The default is safe for all engines: it waits for a confirmed release even if the engine
    // checks fencing tokens itself.
    let fencing = current.map_or(release::Fencing::Ignored, |p| p.fencing);
    let fencing = reader.value("fencing", &value::FENCING, Some(fencing));
    let limit = current.map_or(DEFAULT_COLD_LIMIT, |p| p.cold_limit);
    let cold_limit = reader.value("cold-limit", &value::COUNT, Some(limit));
    Some(release::ReplicaSet {
        service: service?.as_str().into(),
        zone: zone?.as_str().into(),
        vms: vms?,
        replicas: replicas?,
        model: model?,
        adapter: adapter?,
        version: version?,
        fencing: fencing?,
        cold_limit: cold_limit?,
    })
}

pub(super) fn zone(reader: &mut section::Reader<'_>) -> Option<release::ZoneState> {
    reader.value("state", &value::STATE, None)
}
