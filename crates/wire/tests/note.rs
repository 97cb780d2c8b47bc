//! Guards against accepting invalid notes, against faults that do not say where they are and what is
//! expected, and against values that change when they are encoded and decoded again.

use std::time::Duration;

use corneltrestle_policy::changeset::{Action, Change, Changeset, Item};
use corneltrestle_policy::release::{
    Fencing, Kind, Organisation, Pattern, Plain, Release, ReplicaSet, Service, Targets, ZoneState,
};
use corneltrestle_wire::note;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use test_case::test_case;

const HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

fn config() -> Config {
    Config {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

fn decode(text: &str, present: &Release) -> Result<Changeset, String> {
    note::decode(&format!("[note]\nid = n1\nbase = 3\n{text}"), present).map_err(|e| e.to_string())
}

fn present() -> Release {
    let set = ReplicaSet {
        service: "verse".into(),
        zone: "a".into(),
        vms: 2,
        replicas: 3,
        model: "m".to_owned(),
        adapter: "ad".to_owned(),
        version: "1".to_owned(),
        fencing: Fencing::Checked,
        cold_limit: 4,
    };
    let plain = Plain {
        prefix: "/desk".to_owned(),
        upstreams: vec![("a".into(), "127.0.0.1:80".parse().unwrap())],
        repeatable: vec![Pattern { method: "GET".to_owned(), path: "/orders/*/status".to_owned() }],
        require_key: false,
    };
    let timeout = Duration::from_secs(30);
    let desk = Service { kind: Kind::Plain(plain), timeout, targets: Targets::default() };
    let mut release = Release { revision: 3, ..Release::default() };
    release.sets.insert("g1".into(), set);
    release.services.insert("desk".into(), desk);
    release
}

#[test_case("[organisation a]\nchange = add\nkey-hash = x\nrate = 1\nconcurrency = 1\n", "line 6: [organisation a] key-hash: found \"x\"; expected a SHA-256 hash"; "bad hash")]
#[test_case("[organisation a]\nchange = add\nrate = 1\nconcurrency = 1\n", "line 4: [organisation a] key-hash: missing; expected a SHA-256 hash"; "missing key")]
#[test_case("[organisation a]\nkey-hash = x\n", "line 4: [organisation a] change: missing; expected add, change or withdraw"; "missing change")]
#[test_case("[organisation a]\nchange = add\nrate = 0\n", "line 6: [organisation a] rate: found \"0\"; expected a whole number from 1"; "out of range")]
#[test_case("[organisation a]\nchange = change\n", "line 4: [organisation a]: the current release does not declare it; expected change = add"; "change of an absent item")]
#[test_case("[group g1]\nchange = withdraw\nvms = 2\n", "line 6: [group g1] vms: not used with change = withdraw; remove the key"; "key with withdraw")]
#[test_case("[group g1]\nchange = withdraw\nchange = add\n", "line 6: [group g1] change: the key appears twice"; "repeated change with withdraw")]
#[test_case("[group g1]\nchange = change\nvms = 2\nvms = 3\n", "line 7: [group g1] vms: the key appears twice; keep one"; "repeated key")]
#[test_case("[group g1]\nchange = change\n[group  g1]\nchange = change\n", "line 6: [group  g1]: the section appears twice; keep one"; "repeated section")]
#[test_case("[group g1]\nchange = change\nvm = 2\n", "line 6: [group g1] vm: unknown key; known are change, service, zone, vms"; "unknown key")]
#[test_case("[groups g1]\nchange = change\n", "line 4: [groups g1]: unknown section; expected [note], [organisation NAME]"; "unknown section")]
#[test_case("[group]\nchange = withdraw\n", "line 4: [group]: expected one name after the kind"; "missing name")]
#[test_case("[group a/b]\nchange = withdraw\n", "line 4: [group a/b]: expected one name after the kind"; "slash in a name")]
#[test_case("[zone a]\nchange = add\nstate = off\n", "line 6: [zone a] state: found \"off\"; expected in or out"; "unknown state")]
#[test_case("[service desk]\nchange = change\ntimeout = 30\n", "line 6: [service desk] timeout: found \"30\"; expected a time with its unit"; "unit missing")]
#[test_case("[service desk]\nchange = change\ntarget-whole = 99.9\n", "line 6: [service desk] target-whole: found \"99.9\"; expected a fraction above 0 and below 1"; "percent instead of fraction")]
#[test_case("[service desk]\nchange = change\ntarget-orders = NaN\n", "line 6: [service desk] target-orders: found \"NaN\""; "not a number")]
#[test_case("[service desk]\nchange = change\nmodel = m\n", "line 6: [service desk] model: used only with kind = model; remove the key"; "key of another kind")]
#[test_case("[service desk]\nchange = change\nkind = model\n", "line 4: [service desk] model: missing"; "kind changed without its key")]
#[test_case("[service desk]\nchange = change\nupstreams = a 127.0.0.1\n", "line 6: [service desk] upstreams: found \"a 127.0.0.1\"; expected a list"; "port missing")]
#[test_case("[service desk]\nchange = change\nupstreams = a 127.0.0.1:80, b 127.0.0.1:80\n", "each address once"; "repeated upstream")]
#[test_case("[service desk]\nchange = change\nrepeatable = GET /a*\n", "line 6: [service desk] repeatable: found \"GET /a*\""; "star within a segment")]
#[test_case("[service desk]\nchange = change\nprefix = /desk/\n", "line 6: [service desk] prefix: found \"/desk/\""; "trailing slash")]
#[test_case("[note]\nid = n2\n", "line 4: [note]: the section appears twice"; "repeated note")]
#[test_case("[zone a\n", "line 4: not an INI line"; "unclosed section")]
fn fault_names_line_section_key_and_expected_value(text: &str, expected: &str) {
    let error = decode(text, &present()).unwrap_err();
    assert!(error.contains(expected), "{error}");
}

#[test_case("", "line 1: [note]: missing; expected this section with id and base"; "empty text")]
#[test_case("x = 1\n", "line 1: x: before the first section; expected [note] above it"; "key before the first section")]
#[test_case("[note]\nid = a/b\nbase = -1\n", "line 3: [note] base: found \"-1\"; expected a revision"; "bad base")]
fn fault_of_the_note_section_is_listed(text: &str, expected: &str) {
    let error = note::decode(text, &Release::default()).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn every_fault_is_listed_in_line_order() {
    let text = "[group g1]\nchange = change\nvms = x\nzone = a b\n[zone]\nchange = add\n[y z]\n";
    let error = decode(text, &present()).unwrap_err();
    let lines: Vec<_> = error.lines().map(|l| l.split(':').next().unwrap()).collect();
    assert_eq!(lines, ["line 6", "line 7", "line 8", "line 8", "line 10"], "{error}");
}

#[test]
fn oversized_text_is_refused_with_one_fault() {
    let error = note::decode(&"[a\n".repeat(note::MAX_BYTES), &Release::default()).unwrap_err();
    assert_eq!(error.faults.len(), 1);
    assert!(error.to_string().contains("at most 262144 are allowed"));
}

#[test]
fn absent_keys_keep_the_current_value() {
    let text = "[group g1]\nchange = change\nreplicas = 9\nadapter =\n";
    let changeset = decode(text, &present()).unwrap();
    let before = present().sets.remove("g1").unwrap();
    let expected = ReplicaSet { replicas: 9, adapter: String::new(), ..before };
    assert_eq!(changeset.changes[0].item, Item::ReplicaSet("g1".into(), Some(expected)));
    assert_eq!((changeset.changes[0].line, changeset.base), (4, 3));
}

#[test]
fn identity_is_read_from_a_note_whose_changes_no_longer_fit() {
    let text = "[note]\nid = n1\nbase = 3\n[group gone]\nchange = change\n";
    let identity = note::identify(text).unwrap();
    assert_eq!((identity.id.as_str(), identity.base), ("n1", 3));
    assert_eq!(identity.digest, note::digest(text));
    assert!(note::decode(text, &Release::default()).is_err());
}

fn names() -> impl Strategy<Value = String> {
    "[a-z0-9é][a-z0-9é._-]{0,9}"
}

fn times() -> impl Strategy<Value = Duration> {
    (1_000_u64..86_400_000_000).prop_map(Duration::from_micros)
}

fn services() -> impl Strategy<Value = Service> {
    let upstreams = prop::collection::btree_map(any::<(std::net::IpAddr, u16)>(), names(), 1..4);
    let patterns = prop::collection::vec(("[A-Z]{1,8}", "(/[a-z]{1,5}|/\\*){1,3}"), 0..3);
    let plain = ("/[a-z/]{0,5}[a-z]", upstreams, patterns, any::<bool>())
        .prop_filter("empty segment", |(prefix, ..)| !prefix.contains("//"))
        .prop_map(|(prefix, upstreams, patterns, require_key)| {
            let upstreams =
                upstreams.iter().map(|(a, zone)| (zone.as_str().into(), (*a).into())).collect();
            let pattern = |(method, path)| Pattern { method, path };
            let repeatable = patterns.into_iter().map(pattern).collect();
            Kind::Plain(Plain { prefix, upstreams, repeatable, require_key })
        });
    let kind = prop_oneof!["[#;=:a-z/]{1,9}".prop_map(|model| Kind::Model { model }), plain];
    (kind, times(), times(), times(), 0.000_001..1.0, 0.000_001..1.0).prop_map(
        |(kind, timeout, first_token, between_tokens, whole, orders)| {
            let targets = Targets { whole, first_token, between_tokens, orders };
            Service { kind, timeout, targets }
        },
    )
}

fn items() -> impl Strategy<Value = Item> {
    let organisation = (names(), 1..1_000_000_u32, 1..9_u32).prop_map(|(name, rate, weight)| {
        let key_hash = HASH.to_owned();
        let value = Organisation { key_hash, weight, rate, concurrency: 5 };
        Item::Organisation(name.as_str().into(), Some(value))
    });
    let service = (names(), services())
        .prop_map(|(name, value)| Item::Service(name.as_str().into(), Some(value)));
    let set = (names(), 1..=256_u16, any::<u16>(), "[a-z]{0,4}", any::<bool>()).prop_map(
        |(name, vms, replicas, adapter, is_checked)| {
            let fencing = if is_checked { Fencing::Checked } else { Fencing::Ignored };
            let before = present().sets.remove("g1").unwrap();
            let value = ReplicaSet { vms, replicas, adapter, fencing, ..before };
            Item::ReplicaSet(name.as_str().into(), Some(value))
        },
    );
    let withdrawn = names().prop_map(|name| Item::Service(name.as_str().into(), None));
    let zone = (names(), any::<bool>()).prop_map(|(name, is_in)| {
        let state = if is_in { ZoneState::In } else { ZoneState::Out };
        Item::Zone(name.as_str().into(), Some(state))
    });
    prop_oneof![organisation, service, set, withdrawn, zone]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn encoded_note_is_decoded_unchanged(item in items(), id in names(), base in any::<u64>()) {
        let is_withdrawn = matches!(item, Item::Service(_, None));
        let action = if is_withdrawn { Action::Withdraw } else { Action::Add };
        let changes = vec![Change { line: 5, action, item }];
        let text = note::encode(&Changeset { id: id.clone(), base, digest: 0, changes: changes.clone() });
        let read = note::decode(&text, &Release::default()).map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert_eq!(&read.changes, &changes);
        prop_assert_eq!((&read.id, read.base, read.digest), (&id, base, note::digest(&text)));
        prop_assert_eq!(note::encode(&read), text);
    }

    #[test]
    fn random_text_never_panics(text in "\\PC{0,200}", lines in "([\\[\\]a-z =\n\"']){0,200}") {
        prop_assert!(note::decode(&text, &present()).is_err());
        let _ = note::decode(&lines, &present());
        let faults = decode(&lines, &present()).err().map_or(0, |error| error.lines().count());
        prop_assert!(faults <= lines.len() + 1);
    }
}
