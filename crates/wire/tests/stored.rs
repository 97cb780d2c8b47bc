//! Guards against stored values that cannot be decoded because a newer node added fields, values
//! larger than the store accepts, and errors that do not name the key.

use corneltrestle_policy::assignment::Assignment;
use corneltrestle_policy::lease;
use corneltrestle_policy::release::Release;
use corneltrestle_wire::stored::{self, Kind};
use corneltrestle_wire::{key, note};
use serde_json::Value;
use test_case::test_case;

const NOTE: &str = "[note]\nid = n1\nbase = 0\n\
    [organisation o]\nchange = add\nrate = 1\nconcurrency = 2\n\
    key-hash = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n\
    [service verse]\nchange = add\nkind = model\nmodel = m\ntimeout = 30s\n\
    [service desk]\nchange = add\nkind = plain\nprefix = /desk\ntimeout = 5s\n\
    upstreams = a 127.0.0.1:80\nrepeatable = GET /stock/*\n\
    [group g]\nchange = add\nservice = verse\nzone = a\nvms = 2\nreplicas = 1\nmodel = m\nversion = 1\n\
    [zone a]\nchange = change\nstate = out\n";

fn release() -> Release {
    use corneltrestle_policy::changeset::Item;
    let mut release = Release { revision: 1, ..Release::default() };
    for change in note::decode(NOTE, &Release::default()).unwrap().changes {
        match change.item {
            Item::Organisation(name, value) => {
                drop(release.organisations.insert(name, value.unwrap()))
            }
            Item::Service(name, value) => drop(release.services.insert(name, value.unwrap())),
            Item::ReplicaSet(name, value) => drop(release.sets.insert(name, value.unwrap())),
            Item::Zone(name, value) => drop(release.zones.insert(name, value.unwrap())),
        }
    }
    release
}

const ASSIGNMENT: &str = r#"{"token":4,"epoch":9,
    "replicas":[{"id":{"set":"g","index":0},"epoch":9,"fabric":"f",
        "vms":[{"id":"vm-1","address":"127.0.0.1:81"}],"phase":"serving","routers":["n1"]}],
    "releasing":[{"vm":{"id":"vm-2","address":"[::1]:82"},"replica":{"set":"g","index":0},"epoch":8}]}"#;

/// Adds an unknown field to every object, except for maps from names to items and for durations.
fn add_fields(value: &mut Value, is_map: bool) {
    match value {
        Value::Object(object) => {
            for (name, inner) in object.iter_mut() {
                let is_names = ["organisations", "services", "sets", "zones", "kind"];
                add_fields(inner, is_names.contains(&name.as_str()));
            }
            if !is_map && !object.contains_key("nanos") {
                object.insert("added-later".to_owned(), Value::from(1));
            }
        }
        Value::Array(array) => array.iter_mut().for_each(|inner| add_fields(inner, false)),
        _ => {}
    }
}

fn assert_ignores_unknown_fields<T: stored::Stored + PartialEq + std::fmt::Debug>(
    key: &str,
    value: &T,
) {
    let encoded = stored::encode(key, value).unwrap();
    assert_eq!(&stored::decode::<T>(key, &encoded).unwrap(), value);
    let mut json: Value = serde_json::from_slice(&encoded).unwrap();
    add_fields(&mut json, false);
    assert_eq!(&stored::decode::<T>(key, json.to_string().as_bytes()).unwrap(), value);
}

#[test]
fn values_are_decoded_unchanged_and_unknown_fields_are_ignored() {
    assert_ignores_unknown_fields(key::head(), &release());
    let assignment: Assignment = stored::decode(&key::groups("a"), ASSIGNMENT.as_bytes()).unwrap();
    assert_eq!(assignment.releasing.len(), 1);
    assert_ignores_unknown_fields(&key::groups("a"), &assignment);
    assert_ignores_unknown_fields(
        &key::lease("a"),
        &lease::Record { holder: "n1".into(), boot: u64::MAX, token: 2 },
    );
}

#[test_case(br#"{"holder":"n1","token":1}"#, "zone/a/lease: .: missing field `boot`"; "missing field")]
#[test_case(br#"{"holder":"n1","boot":-1,"token":1}"#, "zone/a/lease: boot: invalid value"; "wrong type")]
#[test_case(br#"{"holder":"n1","boot":1,"token":1}x"#, "zone/a/lease: .: trailing characters"; "trailing bytes")]
#[test_case(b"\xff\x00", "zone/a/lease: .: "; "random bytes")]
#[test_case(b"", "zone/a/lease: .: EOF"; "empty value")]
fn error_names_key_and_path(value: &[u8], expected: &str) {
    let error = stored::decode::<lease::Record>(&key::lease("a"), value).unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn oversized_value_is_neither_decoded_nor_encoded() {
    let mut release = release();
    let id = "x".repeat(stored::MAX_BYTES);
    release.notes.push_back(corneltrestle_policy::release::Note { id, revision: 1, digest: 0 });
    let written = stored::encode(key::head(), &release).unwrap_err();
    assert!(matches!(written.kind, Kind::TooLarge { bytes } if bytes > stored::MAX_BYTES));
    let read = stored::decode::<Release>(key::head(), &vec![b' '; stored::MAX_BYTES + 1]);
    assert_eq!(
        read.unwrap_err().to_string(),
        "config/head: 1000001 bytes; at most 1000000 are allowed"
    );
}
