//! Guards against notes that are accepted although they are invalid, were accepted before, or were
//! written against an older revision.

use std::time::Duration;

use corneltrestle_policy::changeset::{self, Action, Change, Changeset, Item, Kind};
use corneltrestle_policy::release::{
    self, Fencing, Organisation, Pattern, Plain, Release, ReplicaSet, Service, Targets, ZoneState,
};
use test_case::test_case;

fn organisation(name: &str, digit: &str) -> Item {
    let key_hash = digit.repeat(64);
    let value = Organisation { key_hash, weight: 1, rate: 10, concurrency: 4 };
    Item::Organisation(name.into(), Some(value))
}

fn service(name: &str, kind: release::Kind) -> Item {
    let (timeout, targets) = (Duration::from_secs(30), Targets::default());
    Item::Service(name.into(), Some(Service { kind, timeout, targets }))
}

fn model(name: &str) -> Item {
    service(name, release::Kind::Model { model: name.to_owned() })
}

fn plain(name: &str, prefix: &str) -> Item {
    let upstreams = vec![("z1".into(), ([10, 0, 0, 1], 80).into())];
    let repeatable = vec![pattern("GET", "/*/status")];
    let prefix = prefix.to_owned();
    service(name, release::Kind::Plain(Plain { prefix, upstreams, repeatable, require_key: true }))
}

fn pattern(method: &str, path: &str) -> Pattern {
    Pattern { method: method.to_owned(), path: path.to_owned() }
}

fn set(name: &str, service: &str, zone: &str) -> Item {
    let value = ReplicaSet {
        service: service.into(),
        zone: zone.into(),
        vms: 4,
        replicas: 2,
        model: "m".to_owned(),
        adapter: String::new(),
        version: "1".to_owned(),
        fencing: Fencing::Checked,
        cold_limit: 2,
    };
    Item::ReplicaSet(name.into(), Some(value))
}

fn zone(name: &str) -> Item {
    Item::Zone(name.into(), Some(ZoneState::In))
}

/// A note with the given changes, whose sections are at lines 10, 20 and so on.
fn note(id: &str, base: u64, changes: Vec<(Action, Item)>) -> Changeset {
    let change = |(n, (action, item))| Change { line: 10 * (n + 1), action, item };
    let changes = changes.into_iter().enumerate().map(change).collect();
    Changeset { id: id.to_owned(), base, digest: 1, changes }
}

fn added(items: Vec<Item>) -> Vec<(Action, Item)> {
    items.into_iter().map(|item| (Action::Add, item)).collect()
}

/// A release with an organisation, a model service with its replica set, a plain service and a
/// zone.
fn current() -> Release {
    let items = vec![
        organisation("org", "a"),
        model("chat"),
        plain("orders", "/orders"),
        set("set", "chat", "z1"),
        zone("z1"),
    ];
    changeset::apply(&Release::default(), &note("n-1", 0, added(items))).unwrap()
}

fn faults(changes: Vec<(Action, Item)>) -> Vec<String> {
    let error = changeset::apply(&current(), &note("n-2", 1, changes)).unwrap_err();
    let Kind::Faults(faults) = error.kind else { panic!("{error}") };
    faults.iter().map(ToString::to_string).collect()
}

fn with_organisation(change: fn(&mut Organisation)) -> Item {
    let Item::Organisation(name, Some(mut value)) = organisation("new", "b") else { panic!() };
    change(&mut value);
    Item::Organisation(name, Some(value))
}

fn with_set(change: fn(&mut ReplicaSet)) -> Item {
    let Item::ReplicaSet(name, Some(mut value)) = set("new", "chat", "z1") else { panic!() };
    change(&mut value);
    Item::ReplicaSet(name, Some(value))
}

fn with_service(change: fn(&mut Service)) -> Item {
    let Item::Service(name, Some(mut value)) = plain("new", "/new") else { panic!() };
    change(&mut value);
    Item::Service(name, Some(value))
}

fn with_plain(change: fn(&mut Plain)) -> Item {
    let Item::Service(name, Some(mut value)) = plain("new", "/new") else { panic!() };
    let release::Kind::Plain(plain) = &mut value.kind else { panic!() };
    change(plain);
    Item::Service(name, Some(value))
}

fn with_pattern(method: &str, path: &str) -> Item {
    let Item::Service(name, Some(mut value)) = plain("new", "/new") else { panic!() };
    let release::Kind::Plain(plain) = &mut value.kind else { panic!() };
    plain.repeatable.push(pattern(method, path));
    Item::Service(name, Some(value))
}

#[test_case(organisation("org", "b"), "already exists; expected change = change"; "add existing")]
#[test_case(organisation("bad/name", "b"), "invalid name"; "name with a slash")]
#[test_case(organisation("", "b"), "invalid name"; "empty name")]
#[test_case(organisation("new", "a"), "conflicts with organisation org"; "key hash in use")]
#[test_case(with_organisation(|o| o.key_hash = "A".repeat(64)), "key-hash is"; "upper-case hash")]
#[test_case(with_organisation(|o| o.key_hash.truncate(63)), "key-hash is"; "short hash")]
#[test_case(with_organisation(|o| o.weight = 0), "weight is \"0\"; expected at least 1"; "no weight")]
#[test_case(with_organisation(|o| o.rate = 0), "rate is \"0\""; "no rate")]
#[test_case(with_organisation(|o| o.concurrency = 0), "concurrency is \"0\""; "no concurrency")]
#[test_case(set("new", "nowhere", "z1"), "refers to service nowhere"; "unknown service")]
#[test_case(set("new", "orders", "z1"), "service orders is plain"; "plain service for a set")]
#[test_case(set("new", "chat", "z9"), "refers to zone z9"; "unknown zone")]
#[test_case(with_set(|s| s.vms = 0), "vms is \"0\""; "no VMs")]
#[test_case(with_set(|s| s.replicas = 0), "replicas is \"0\""; "no replicas")]
#[test_case(with_set(|s| s.cold_limit = 0), "cold-limit is \"0\""; "no cold limit")]
#[test_case(with_set(|s| s.model.clear()), "model is \"\""; "no model")]
#[test_case(with_service(|s| s.targets.whole = 1.5), "target-whole is \"1.5\""; "target above one")]
#[test_case(with_service(|s| s.targets.orders = f64::NAN), "target-orders is \"NaN\""; "target not a number")]
#[test_case(with_service(|s| s.timeout = Duration::ZERO), "timeout is \"0 s\""; "no timeout")]
#[test_case(with_plain(|p| p.upstreams.clear()), "upstreams is \"\""; "no upstreams")]
#[test_case(with_plain(|p| p.upstreams.push(p.upstreams[0].clone())), "each upstream once"; "upstream twice")]
#[test_case(with_plain(|p| p.upstreams[0].0 = "z9".into()), "refers to zone z9"; "upstream in unknown zone")]
#[test_case(plain("new", "/orders"), "conflicts with service orders"; "same prefix")]
#[test_case(plain("new", "/orders/new"), "conflicts with service orders"; "prefix below another")]
#[test_case(plain("new", "/v1"), "outside the model calls"; "prefix of the model calls")]
#[test_case(plain("new", "/new/"), "prefix is"; "trailing slash")]
#[test_case(plain("new", "new"), "prefix is"; "no leading slash")]
#[test_case(service("new", release::Kind::Model { model: "chat".to_owned() }), "conflicts with service chat"; "model name in use")]
#[test_case(with_pattern("get", "/a"), "an HTTP method in upper case"; "lower-case method")]
#[test_case(with_pattern("GET", "a"), "a path pattern such as"; "relative pattern")]
#[test_case(with_pattern("GET", "/a//b"), "a path pattern such as"; "empty segment")]
#[test_case(with_pattern("GET", "/a*"), "* only as a whole segment"; "partial wildcard")]
#[test_case(with_pattern("GET", "/*/status"), "each pattern once"; "pattern twice")]
fn an_invalid_item_is_rejected_with_what_is_expected(item: Item, expected: &str) {
    let label = item.label();
    let found = faults(vec![(Action::Add, item)]);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with(&format!("10: [{label}]: ")), "{found:?}");
    assert!(found[0].contains(expected), "{found:?}");
}

#[test_case(Action::Change, organisation("no", "b"), "does not exist"; "change missing")]
#[test_case(Action::Withdraw, Item::Zone("no".into(), None), "does not exist"; "withdraw missing")]
#[test_case(Action::Withdraw, organisation("org", "a"), "withdraw takes none"; "withdraw with value")]
#[test_case(Action::Change, Item::Zone("z1".into(), None), "complete new value"; "change without value")]
#[test_case(Action::Withdraw, Item::Service("chat".into(), None), "still used by group set"; "service in use")]
#[test_case(Action::Change, plain("chat", "/chat"), "still used by group set"; "service in use turns plain")]
fn a_change_that_does_not_fit_the_release_is_rejected(action: Action, item: Item, expected: &str) {
    let found = faults(vec![(action, item)]);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains(expected), "{found:?}");
}

#[test]
fn every_fault_is_listed_in_the_order_of_the_note() {
    let found = faults(vec![
        (Action::Add, with_organisation(|o| (o.weight, o.rate) = (0, 0))),
        (Action::Withdraw, Item::Zone("z1".into(), None)),
        (Action::Add, organisation("new", "c")),
        (Action::Add, plain("p1", "/p")),
        (Action::Add, plain("p2", "/p/q")),
    ]);
    let lines: Vec<_> = found.iter().map(|fault| fault.split(':').next().unwrap()).collect();
    // Line 20 is reported twice, for the service and the set that use the withdrawn zone. Lines 40
    // and 50 refer to it, and 50 also has a prefix below that of 40.
    assert_eq!(lines, ["10", "10", "20", "20", "30", "40", "50", "50"], "{found:#?}");
}

#[test]
fn a_note_without_changes_is_rejected() {
    assert!(faults(Vec::new())[0].contains("no change"));
}

#[test_case("n-1", 0, 1, Kind::AlreadyAccepted(1); "the same note again")]
#[test_case("n-1", 1, 1, Kind::AlreadyAccepted(1); "the same note whatever its base")]
#[test_case("n-1", 1, 2, Kind::IdReused { revision: 1 }; "another note with a used id")]
#[test_case("n-2", 0, 1, Kind::BaseMismatch { base: 0, revision: 1 }; "an old base")]
#[test_case("n-2", 2, 1, Kind::BaseMismatch { base: 2, revision: 1 }; "a future base")]
fn repeated_and_outdated_notes_are_rejected(id: &str, base: u64, digest: u64, expected: Kind) {
    let changes = added(vec![zone("z2")]);
    let note = Changeset { digest, ..note(id, base, changes) };
    assert_eq!(changeset::apply(&current(), &note).unwrap_err().kind, expected);
}

#[test]
fn a_service_and_its_set_are_withdrawn_together() {
    let changes = vec![
        (Action::Withdraw, Item::Service("chat".into(), None)),
        (Action::Withdraw, Item::ReplicaSet("set".into(), None)),
    ];
    let next = changeset::apply(&current(), &note("n-2", 1, changes)).unwrap();
    assert_eq!((next.revision, next.sets.len(), next.services.len()), (2, 0, 1));
}

#[test]
fn the_history_is_bounded_and_keeps_the_latest() {
    let mut release = Release::default();
    for n in 0..=Release::MAX_NOTES as u64 {
        let changes = added(vec![zone(&format!("z{n}"))]);
        release = changeset::apply(&release, &note(&format!("n-{n}"), n, changes)).unwrap();
    }
    assert_eq!(release.notes.len(), Release::MAX_NOTES);
    assert_eq!(release.notes.back().unwrap().id, format!("n-{}", Release::MAX_NOTES));
}
