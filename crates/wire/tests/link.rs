//! Guards against link messages that lose information or exceed the budget of control traffic, and
//! against fields beyond their limits that are accepted or cause a panic.

use std::time::Duration;

use corneltrestle_kernel::lifecycle::Stage;
use corneltrestle_policy::id;
use corneltrestle_policy::report::Load;
use corneltrestle_wire::link::{
    Count, Counts, CountsReply, Digest, Document, FetchRequest, Heartbeat, KnownReports,
    KnownRoster, Member, MemberView, Members, PullRequest, Ratio, ReplicaLoad, Reports, Roster,
    StatusReply, Update, UpdateKind, Value, generated,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use prost::Message;
use test_case::test_case;

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

/// Members of a zone with a demand of ten organisations; heartbeat 172,800 is reached after a day.
fn members(count: u64, heartbeat: u64) -> Vec<Member> {
    let member = |n: u64| Member {
        id: format!("entry-{n:03}").as_str().into(),
        boot: u64::MAX - n,
        heartbeat: heartbeat + n,
        age: Duration::from_millis(50 * (n % 60)),
        state: Stage::Ready,
        address: ([10, 0, 1, n as u8], 7_443).into(),
        demand: (0..10).map(|o| (format!("organisation-{o}").as_str().into(), 20)).collect(),
    };
    (0..count).map(member).collect()
}

/// Borrows the members; their demands last changed at the heartbeat `changed`.
fn views(members: &[Member], changed: u64) -> Vec<MemberView<'_>> {
    members.iter().map(|member| MemberView { changed, ..member.view() }).collect()
}

fn replicas(count: u32, load: u32) -> Vec<ReplicaLoad> {
    let load = Load { running: load, waiting: load / 4, finished: 1_000_000 + u64::from(load) };
    (0..count).map(|n| ReplicaLoad { start: u64::MAX - u64::from(n), load }).collect()
}

fn digest(rosters: Vec<Roster>, reports: Vec<Reports>) -> Digest {
    let watch_age = Duration::from_millis(800);
    Digest { node: "entry-001".into(), revision: 4_000, watch_age, rosters, reports }
}

/// Encoded sizes in bytes of a pull request and its reply in a zone of 43 members and 75 VMs, where
/// the demand of `changed` members is new.
fn sizes(replica_count: u32, is_first: bool, changed: usize) -> (usize, usize) {
    let zone: id::Zone = "tallinn-a".into();
    let (before, now) = (members(43, 172_800), members(43, 172_804));
    let (before, mut now) = (views(&before, 0), views(&now, 0));
    now.iter_mut().take(changed).for_each(|member| member.changed = member.heartbeat);
    let ages = vec![Some(Duration::from_millis(700)); 75];
    let (old, new) = (replicas(replica_count, 40), replicas(replica_count, 44));
    let known = if is_first { &before[..0] } else { &before[..] };
    let roster = KnownRoster::new(&zone, known);
    let old = if is_first { &old[..0] } else { &old[..] };
    let reports = KnownReports::new(&zone, 9_000, old, 70_000);
    let reply = digest(
        vec![Roster::answer(&zone, &now, &roster)],
        vec![Reports::answer(&zone, 9_000, &ages, &new, &reports)],
    );
    let request =
        PullRequest { node: "entry-000".into(), rosters: vec![roster], reports: vec![reports] };
    let request = generated::PullRequest::from(request).encoded_len();
    (request, generated::Digest::from(reply).encoded_len())
}

/// Control traffic may take 2 KB a second at two pulls a second, so 1 KB a pull. About half of that
/// is left for headers, frames and other zones.
#[test_case(4, false, 0, 512; "replicas of 16 VMs with every heartbeat and load newer")]
#[test_case(4, false, 4, 768; "demand of four members changed too")]
fn pull_stays_within_its_share_of_the_control_budget(
    replicas: u32,
    is_first: bool,
    changed: usize,
    limit: usize,
) {
    let (request, answer) = sizes(replicas, is_first, changed);
    assert!(request + answer <= limit, "{request} + {answer} bytes");
}

#[test]
fn documented_sizes_are_the_measured_ones() {
    let measured = [sizes(4, false, 0), sizes(4, false, 4), sizes(75, false, 0), sizes(4, true, 0)];
    assert_eq!(measured, [(203, 258), (203, 521), (274, 686), (64, 2_974)]);
}

#[test]
fn only_newer_heartbeats_and_changed_demands_are_sent() {
    let zone: id::Zone = "a".into();
    let (caller, mut own) = (members(3, 10), members(3, 10));
    own[0].heartbeat += 2;
    own[2].heartbeat += 5;
    own[1].heartbeat -= 1;
    own[2].demand.truncate(1);
    let mut views = views(&own, 0);
    views[2].changed = own[2].heartbeat;
    let known = KnownRoster::new(&zone, &caller.iter().map(Member::view).collect::<Vec<_>>());
    let answer = Roster::answer(&zone, &views, &known);
    let heartbeat = |position, advance, age, demand| {
        let age = Some(Duration::from_millis(age));
        Heartbeat { position, advance, age, demand }
    };
    let demand = Some(vec![("organisation-0".into(), 20)]);
    let newer = Members::Newer(vec![heartbeat(0, 2, 0, None), heartbeat(2, 5, 100, demand)]);
    assert_eq!(answer.members, newer);
    let decoded = round_trip(digest(vec![answer.clone()], Vec::new()));
    assert_eq!(decoded.rosters, [answer]);
}

#[test_case(|m| m.boot += 1; "restarted")]
#[test_case(|m| m.state = Stage::Draining; "draining")]
#[test_case(|m| m.address.set_port(1); "moved")]
#[test_case(|m| m.id = "other".into(); "another node")]
fn all_members_are_sent_when_one_changed(change: fn(&mut Member)) {
    let zone: id::Zone = "a".into();
    let mut own = members(3, 10);
    let known = KnownRoster::new(&zone, &views(&own, 0));
    change(&mut own[1]);
    let answer = Roster::answer(&zone, &views(&own, 0), &known);
    assert_eq!(answer.members, Members::All(own));
    assert_eq!(round_trip(digest(vec![answer.clone()], Vec::new())).rosters, [answer]);
}

#[test_case(7, 1, None; "same starts and one new load")]
#[test_case(8, 3, Some(3); "another assignment")]
fn only_changed_loads_and_starts_are_sent(version: u64, loads: usize, starts: Option<usize>) {
    let zone: id::Zone = "a".into();
    let mut own = replicas(3, 8);
    let known = KnownReports::new(&zone, 7, &own, 1);
    own[1].load.waiting += 1;
    let ages = [Some(Duration::from_millis(150)), None, Some(Duration::ZERO)];
    let answer = Reports::answer(&zone, version, &ages, &own, &known);
    assert_eq!((answer.loads.len(), answer.starts.as_ref().map(Vec::len)), (loads, starts));
    assert_eq!(round_trip(digest(Vec::new(), vec![answer.clone()])).reports, [answer]);
}

#[test]
fn new_start_id_is_always_sent() {
    let zone: id::Zone = "a".into();
    let mut own = replicas(3, 8);
    let known = KnownReports::new(&zone, 7, &own, 1);
    own[2].start = 5;
    let answer = Reports::answer(&zone, 7, &[], &own, &known);
    assert_eq!(answer.starts.map(|starts| starts[2]), Some(5));
}

fn round_trip(digest: Digest) -> Digest {
    let bytes = generated::Digest::from(digest).encode_to_vec();
    Digest::try_from(generated::Digest::decode(&bytes[..]).unwrap()).unwrap()
}

#[test]
fn messages_are_decoded_unchanged() {
    let loss = UpdateKind::Loss {
        zone: "a".into(),
        vm: "vm-1".into(),
        replica: id::Replica { set: "g".into(), index: 3 },
        epoch: 8,
    };
    let drain = UpdateKind::Drain { node: "n".into(), boot: 1 };
    for kind in [UpdateKind::Revision { revision: 5 }, loss, drain] {
        let update = Update { node: "n1".into(), kind };
        assert_eq!(Update::try_from(generated::News::from(update.clone())).unwrap(), update);
    }
    for document in [Document::Release, Document::Assignment("a".into())] {
        let request = FetchRequest { document, known: 4 };
        let decoded = FetchRequest::try_from(generated::FetchRequest::from(request.clone()));
        assert_eq!(decoded.unwrap(), request);
    }
    let row = |service: &str, organisation: &str, good| Count {
        service: service.into(),
        organisation: organisation.into(),
        minute: 29_000_000,
        counts: Counts { orders: Ratio { good, all: 9 }, ..Counts::default() },
    };
    let rows = vec![row("s1", "a", 1), row("s2", "a", 2), row("s1", "b", 3)];
    let reply = CountsReply { node: "n1".into(), rows };
    assert_eq!(CountsReply::try_from(generated::CountsReply::from(reply.clone())).unwrap(), reply);
}

fn roster(change: fn(&mut generated::Roster)) -> generated::Digest {
    let mut roster = generated::Roster {
        zone: "a".to_owned(),
        newer: vec![0b101],
        advances: vec![1, 1],
        ages: vec![0, 0],
        ..generated::Roster::default()
    };
    change(&mut roster);
    let node = "n".to_owned();
    generated::Digest { node, rosters: vec![roster], ..generated::Digest::default() }
}

fn member(change: fn(&mut generated::Member)) -> generated::Digest {
    let mut digest = roster(|r| r.newer.clear());
    let member = Member { demand: Vec::new(), ..members(1, 1).remove(0) };
    let zone = KnownRoster { zone: "a".into(), hash: 0, heartbeats: Vec::new() };
    let all = Roster::answer(&zone.zone, &[member.view()], &zone);
    let whole = Digest { node: "n".into(), ..self::digest(vec![all], Vec::new()) };
    digest.rosters = generated::Digest::from(whole).rosters;
    change(&mut digest.rosters[0].members[0]);
    digest
}

fn reports(change: fn(&mut generated::Reports)) -> generated::Digest {
    let mut reports = generated::Reports { zone: "a".to_owned(), ..generated::Reports::default() };
    change(&mut reports);
    let node = "n".to_owned();
    generated::Digest { node, reports: vec![reports], ..generated::Digest::default() }
}

#[test_case(roster(|r| r.zone.clear()), "roster.zone: missing"; "no zone")]
#[test_case(roster(|r| r.zone = "z".repeat(257)), "roster.zone: length 257; at most 256 is allowed"; "long name")]
#[test_case(roster(|r| r.advances.truncate(1)), "roster.advances: length 1; expected 2"; "advance missing")]
#[test_case(roster(|r| r.ages.push(0)), "roster.ages: length 3; expected 2"; "age too many")]
#[test_case(roster(|r| r.advances[0] = 0), "roster.advances: expected at least 1 each"; "no advance")]
#[test_case(roster(|r| r.newer = vec![0; 513]), "roster.newer: length 513; at most 512 is allowed"; "too many members")]
#[test_case(roster(|r| r.demands.push(generated::Demand { member: 1, demand: vec![] })), "roster.demands: expected positions of members"; "demand of an absent member")]
#[test_case(roster(|r| r.demands.push(generated::Demand { member: 2, demand: vec![0, 1] })), "demand.demand: expected positions in digest.organisations"; "unknown organisation")]
#[test_case(member(|m| m.address.truncate(5)), "member.address: expected an IP address of 4 or 16 bytes"; "short address")]
#[test_case(member(|m| m.demand.push(1)), "member.demand: length 1; expected 0"; "half a pair")]
#[test_case(reports(|r| r.loads = vec![0; 5]), "reports.loads: length 1; expected 0"; "half a load")]
#[test_case(reports(|r| r.loads = vec![0, 1 << 32, 0, 0]), "reports.loads: expected counts of 32 bits"; "large count")]
#[test_case(reports(|r| r.loads = vec![1 << 20, 0, 0, 0]), "reports.loads: expected positions of replicas"; "large position")]
#[test_case(reports(|r| r.ages = vec![0; 16_385]), "reports.ages: length 16385; at most 16384 is allowed"; "too many VMs")]
fn field_out_of_bounds_is_named(digest: generated::Digest, expected: &str) {
    let error = Digest::try_from(digest).unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn updates_of_an_unknown_kind_and_oversized_documents_are_refused() {
    let news = generated::News { node: "n".to_owned(), ..generated::News::default() };
    assert_eq!(Update::try_from(news).unwrap_err().to_string(), "news.kind: missing");
    let body = Some(vec![0; 1_000_001].into());
    let value = generated::Value { body, ..generated::Value::default() };
    assert!(Value::try_from(value).unwrap_err().to_string().starts_with("value.body: length"));
}

#[test]
fn unknown_fields_and_states_are_accepted() {
    let mut digest = member(|m| m.state = 77);
    let mut bytes = digest.encode_to_vec();
    // Field 1000 as a varint, then field 1001 as a string.
    bytes.extend([0xc0, 0x3e, 1, 0xca, 0x3e, 2, b'o', b'k']);
    let decoded = Digest::try_from(generated::Digest::decode(&bytes[..]).unwrap()).unwrap();
    let Members::All(members) = &decoded.rosters[0].members else { panic!("{decoded:?}") };
    assert_eq!(members[0].state, Stage::Starting);
    digest.rosters.clear();
    assert!(Digest::try_from(digest).is_ok());
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = generated::Digest::decode(&bytes[..]).map(Digest::try_from);
        let _ = generated::PullRequest::decode(&bytes[..]).map(PullRequest::try_from);
        let _ = generated::News::decode(&bytes[..]).map(Update::try_from);
        let _ = generated::FetchRequest::decode(&bytes[..]).map(FetchRequest::try_from);
        let _ = generated::Value::decode(&bytes[..]).map(Value::try_from);
        let _ = generated::CountsReply::decode(&bytes[..]).map(CountsReply::try_from);
        let _ = generated::StatusReply::decode(&bytes[..]).map(StatusReply::try_from);
    }

    #[test]
    fn damaged_digest_never_panics(at in 0..2_000_usize, byte in any::<u8>()) {
        let (zone, own) = ("a".into(), members(8, 5));
        let known = KnownRoster { zone, hash: 0, heartbeats: Vec::new() };
        let roster = Roster::answer(&known.zone, &views(&own, 0), &known);
        let mut bytes = generated::Digest::from(digest(vec![roster], Vec::new())).encode_to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = generated::Digest::decode(&bytes[..]).map(Digest::try_from);
    }
}
