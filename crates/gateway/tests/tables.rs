//! The tables of a node when its sources of facts lag, fail or contradict each other.

use std::{collections, sync, time::Duration};

use corneltrestle_gateway::{
    source::{Change, Changes, Fact, Holder, Node, Subject},
    tables::{
        activity::{Activity, Reporter},
        catalog::{Catalog, Update},
        demand::Demand,
        pauses::Pauses,
        peers, stalls,
    },
};
use corneltrestle_policy::{Moment, cost, deployment, id, revision, upstream};
use corneltrestle_wire::mesh;
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

/// A revision of a store that does not name its eras.
fn rev(number: u64) -> revision::Revision {
    revision::Revision { era: 0, number }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn vm(name: &str) -> upstream::Upstream {
    upstream::Upstream {
        id: name.into(),
        service: "orders".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "zone-1".into(),
        version: "1".to_owned(),
        slots: 4,
        state: upstream::State::Ready,
        cold_left: Duration::ZERO,
        incarnation: 1,
        engine: None,
    }
}

fn added(revision: u64, name: &str) -> Change {
    let fact = Fact::Upstream(sync::Arc::new(vm(name)));
    Change { revision, subject: Subject::Upstream(name.into()), fact: Some(fact) }
}

fn removed(revision: u64, name: &str) -> Change {
    Change { revision, subject: Subject::Upstream(name.into()), fact: None }
}

fn changes(changes: Vec<Change>) -> Changes {
    Changes {
        revision: rev(changes.iter().map(|change| change.revision).max().unwrap_or(0)),
        changes,
    }
}

fn known(catalog: &Catalog) -> Vec<String> {
    let snapshot = catalog.current().load_full();
    snapshot.fleet.all().map(|upstream| upstream.id.to_string()).collect()
}

fn catalog(names: &[&str]) -> Catalog {
    let mut catalog = Catalog::default();
    let all = names.iter().enumerate().map(|(n, name)| added(n as u64 + 1, name)).collect();
    catalog.replace(changes(all), at(0));
    catalog
}

/// Guards against an upstream that still gets requests after its registration has lapsed while the
/// store is reachable.
#[test]
fn removal_takes_effect_at_once() {
    let mut catalog = catalog(&["a", "b"]);
    catalog.apply(changes(vec![removed(5, "a")]), at(10));
    assert_eq!(known(&catalog), ["b"]);
}

/// Guards against a snapshot for each of the many datagrams that the changes of a large group take.
#[test]
fn changes_of_several_datagrams_are_published_together() {
    let mut catalog = catalog(&["a", "b"]);
    let before = catalog.current().load_full();
    catalog.receive(rev(2), changes(vec![removed(5, "a")]), at(10));
    catalog.receive(rev(5), changes(vec![added(6, "c")]), at(10));
    assert!(sync::Arc::ptr_eq(&before, &catalog.current().load_full()));
    catalog.publish();
    assert_eq!(known(&catalog), ["b", "c"]);
    let published = catalog.current().load_full();
    catalog.publish();
    assert!(sync::Arc::ptr_eq(&published, &catalog.current().load_full()), "nothing has changed");
}

/// Guards against a node that fetches all facts from a peer since datagrams have overtaken each other
/// on their way through two nodes.
#[test]
fn changes_that_overtook_others_are_applied_in_order() {
    let mut catalog = catalog(&["a", "b"]);
    catalog.receive(rev(7), changes(vec![removed(8, "c")]), at(10));
    catalog.receive(rev(5), changes(vec![added(7, "c"), removed(6, "b")]), at(10));
    assert_eq!(catalog.revision(), rev(2), "what follows a gap does not count");
    catalog.receive(rev(2), changes(vec![removed(5, "a")]), at(11));
    catalog.receive(rev(2), changes(vec![removed(5, "a")]), at(12));
    catalog.publish();
    assert_eq!((catalog.revision(), known(&catalog)), (rev(8), Vec::new()));
}

/// Guards against upstreams that are removed because they could not renew their registration while
/// the store was unreachable.
#[test]
fn removals_after_an_outage_wait_for_renewals() {
    let mut catalog = catalog(&["a", "b"]);
    catalog.mark_unreachable();
    catalog.replace(Changes { revision: rev(5), changes: Vec::new() }, at(5_000));
    assert_eq!(known(&catalog), ["a", "b"]);
    catalog.apply(changes(vec![added(9, "a")]), at(6_000));
    assert_eq!(catalog.end_retention(at(6_500)), 0);
    assert_eq!(catalog.end_retention(at(8_000)), 1);
    assert_eq!(known(&catalog), ["a"]);
}

/// Guards against a late change that undoes a newer one.
#[test]
fn older_change_is_ignored() {
    let mut catalog = catalog(&["a"]);
    catalog.apply(changes(vec![added(9, "b")]), at(10));
    catalog.apply(changes(vec![removed(7, "b")]), at(20));
    assert_eq!(known(&catalog), ["a", "b"]);
}

fn held(revision: u64, node: Option<&str>) -> Change {
    let fact = node.map(|node| Fact::Coordinator(Holder { node: node.into(), boot: 1 }));
    Change { revision, subject: Subject::Coordinator, fact }
}

/// Guards against an upstream that gets requests although it is gone, and against a lease that no node
/// tries to acquire, as the answer to a poll was given before newer changes and arrived after them.
#[test]
fn removal_is_not_undone_by_an_earlier_poll() {
    let mut catalog = catalog(&["a"]);
    catalog.receive(rev(1), changes(vec![added(2, "b"), held(3, Some("n"))]), at(10));
    catalog.receive(rev(3), changes(vec![removed(4, "b"), held(5, None)]), at(11));
    catalog.publish();
    // Asked at revision 1, and answered at revision 3.
    catalog.apply(changes(vec![added(2, "b"), held(3, Some("n"))]), at(12));
    assert_eq!((catalog.revision(), known(&catalog)), (rev(5), vec!["a".to_owned()]));
    assert_eq!(catalog.current().load().coordinator, None);
}

/// A request for facts in progress, with the answer that will arrive.
enum Request {
    Poll(Changes),
    Load(Changes),
    Peer(Update),
}

/// The upstreams that are registered at a revision.
fn registered_at(history: &[Change], revision: u64) -> Vec<String> {
    let mut names = collections::BTreeSet::new();
    for change in history.iter().take_while(|change| change.revision <= revision) {
        let Subject::Upstream(id) = &change.subject else { continue };
        match change.fact {
            Some(_) => names.insert(id.to_string()),
            None => names.remove(id.as_str()),
        };
    }
    names.into_iter().collect()
}

/// Guards against any order of polls, datagrams and facts from peers after which a node does not have
/// the facts of the revision that it says it has. One request for facts is in progress at a time. A
/// load of all facts that is answered before newer changes arrive takes the node back; it then has to
/// have the latest facts after the next poll.
#[test_case(false; "without loads")]
#[test_case(true; "with loads")]
fn facts_are_those_of_the_revision(has_loads: bool) {
    const NAMES: [&str; 4] = ["a", "b", "c", "d"];
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut history: Vec<Change> = vec![added(1, "a")];
        let between = |history: &[Change], after: u64, to: u64| Changes {
            revision: rev(to),
            changes: history[after as usize..to as usize].to_vec(),
        };
        let all = |history: &[Change], revision: u64| {
            let names = registered_at(history, revision);
            let is_present = |change: &&Change| {
                matches!(&change.subject, Subject::Upstream(id) if names.contains(&id.to_string()))
                    && change.fact.is_some()
            };
            let changes = history[..revision as usize].iter().filter(is_present).cloned().collect();
            Changes { revision: rev(revision), changes }
        };
        let mut catalog = catalog(&["a"]);
        let mut peer = Catalog::default();
        peer.replace(between(&history, 0, 1), at(0));
        let mut request = None;
        // Datagrams that have not arrived.
        let mut datagrams = Vec::new();
        for step in 0..200 {
            let (latest, after) = (history.len() as u64, catalog.revision().number);
            match rng.random_range(0..if has_loads { 8 } else { 7 }) {
                0 | 1 => {
                    let name = NAMES[rng.random_range(0..NAMES.len())];
                    let is_known = registered_at(&history, latest).iter().any(|id| id == name);
                    let next = if is_known { removed } else { added };
                    history.push(next(latest + 1, name));
                    datagrams.push((latest, between(&history, latest, latest + 1)));
                }
                2 | 3 if !datagrams.is_empty() => {
                    let position = rng.random_range(0..datagrams.len());
                    let (after, changes) = datagrams.swap_remove(position);
                    catalog.receive(rev(after), changes, at(step));
                    catalog.publish();
                }
                4 => match request.take() {
                    Some(Request::Poll(changes)) => catalog.apply(changes, at(step)),
                    Some(Request::Load(changes)) => catalog.replace(changes, at(step)),
                    Some(Request::Peer(update)) if update.changes.revision.number < after => {}
                    Some(Request::Peer(Update { changes, complete: true, .. })) => {
                        catalog.replace(changes, at(step));
                    }
                    Some(Request::Peer(update)) => catalog.apply(update.changes, at(step)),
                    None => {}
                },
                5 if request.is_none() => {
                    let to = rng.random_range(after..=latest);
                    request = Some(Request::Poll(between(&history, after, to)));
                }
                6 if request.is_none() => {
                    peer.apply(between(&history, peer.revision().number, latest), at(step));
                    request = Some(Request::Peer(peer.update_since(rev(after))));
                }
                7 if request.is_none() => request = Some(Request::Load(all(&history, latest))),
                _ => {}
            }
            if !has_loads {
                let expected = registered_at(&history, catalog.revision().number);
                assert_eq!(known(&catalog), expected, "seed {seed}, step {step}");
            }
        }
        let latest = history.len() as u64;
        catalog.apply(between(&history, catalog.revision().number, latest), at(200));
        assert_eq!(known(&catalog), registered_at(&history, latest), "seed {seed}, at the end");
    }
}

/// Takes over what a peer has, as a node does that asks it.
fn fetch(catalog: &mut Catalog, update: Update, now: Moment) {
    if update.changes.revision < catalog.revision() {
    } else if update.complete {
        catalog.replace(update.changes, now);
    } else {
        catalog.apply(update.changes, now);
    }
}

/// Guards against an upstream that gets requests for as long as it runs although it is gone: a node
/// that defers its removal after an outage passed all its facts on, the removed one among them, to a
/// peer that never hears of the removal again.
#[test_case(false; "to a peer without an outage")]
#[test_case(true; "to a peer that defers the removal as well")]
fn upstream_whose_removal_is_deferred_is_not_passed_on(has_outage: bool) {
    let (mut catalog, mut peer) = (catalog(&["a", "b"]), catalog(&["a", "b"]));
    catalog.mark_unreachable();
    if has_outage {
        peer.mark_unreachable();
    }
    // The history of the store is gone, and all facts are loaded.
    catalog.replace(changes(vec![added(1, "a"), added(7, "c")]), at(5_000));
    assert_eq!(known(&catalog), ["a", "b", "c"], "the removal is deferred");
    let after = peer.revision();
    fetch(&mut peer, catalog.update_since(after), at(5_010));
    fetch(&mut catalog, peer.update_since(rev(0)), at(5_020));
    for node in [&mut catalog, &mut peer] {
        node.end_retention(at(9_000));
        assert_eq!(known(node), ["a", "c"]);
    }
}

/// Guards against any order of outages, loads and facts from peers after which a node uses an upstream
/// that is gone, or has lost one that is registered, once the changes are known and no removal is
/// deferred.
#[test]
fn nodes_agree_with_the_store_after_outages() {
    const NAMES: [&str; 4] = ["a", "b", "c", "d"];
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut history: Vec<Change> = vec![added(1, "a")];
        let since = |history: &[Change], after: u64| Changes {
            revision: rev(history.len() as u64),
            changes: history[after as usize..].to_vec(),
        };
        let mut nodes = [catalog(&["a"]), catalog(&["a"]), catalog(&["a"])];
        let mut now = at(0);
        for _ in 0..60 {
            now = now + Duration::from_millis(rng.random_range(1..1_500));
            let (index, other) = (rng.random_range(0..3), rng.random_range(0..3));
            let after = nodes[index].revision().number;
            match rng.random_range(0..6) {
                0 | 1 => {
                    let (next, name) =
                        (history.len() as u64 + 1, NAMES[rng.random_range(0..NAMES.len())]);
                    let is_known = registered_at(&history, next).iter().any(|id| id == name);
                    history.push(if is_known { removed(next, name) } else { added(next, name) });
                }
                2 => drop(nodes[index].mark_unreachable()),
                3 => nodes[index].apply(since(&history, after), now),
                4 => {
                    let names = registered_at(&history, history.len() as u64);
                    let mut latest = collections::BTreeMap::new();
                    for change in &history {
                        latest.insert(change.subject.clone(), change.clone());
                    }
                    let is_present = |change: &Change| match &change.subject {
                        Subject::Upstream(id) => names.iter().any(|name| name == id.as_str()),
                        _ => false,
                    };
                    let changes = latest.into_values().filter(is_present).collect();
                    nodes[index]
                        .replace(Changes { revision: rev(history.len() as u64), changes }, now);
                }
                _ => {
                    let update = nodes[other].update_since(rev(after));
                    fetch(&mut nodes[index], update, now);
                }
            }
            nodes[index].end_retention(now);
        }
        for node in &mut nodes {
            node.apply(since(&history, node.revision().number), now);
            node.end_retention(now + Duration::from_secs(5));
            let expected = registered_at(&history, history.len() as u64);
            assert_eq!(known(node), expected, "seed {seed}");
        }
    }
}

/// Guards against facts that never grow old because nodes pass their confirmation back and forth,
/// each time with an age that is slightly too small.
#[test]
fn confirmation_counts_once() {
    let mut catalog = catalog(&["a"]);
    let confirmation = |boot, number| mesh::Confirmation { boot, number };
    catalog.confirm(confirmation(1, 5), at(100));
    assert_eq!(catalog.confirmed_at(), Some(at(100)));
    for late in 0..50 {
        catalog.confirm(confirmation(1, 5), at(110 + late * 10));
        catalog.confirm(confirmation(2, 9), at(50));
        catalog.confirm(confirmation(1, 4), at(115 + late * 10));
    }
    assert_eq!(catalog.confirmed_at(), Some(at(100)));
    catalog.confirm(confirmation(1, 6), at(700));
    assert_eq!(
        (catalog.confirmed_at(), catalog.confirmation()),
        (Some(at(700)), Some(confirmation(1, 6)))
    );
}

/// Guards against an outage that is taken as over because a peer repeats an old confirmation.
#[test]
fn outage_is_not_ended_by_an_old_confirmation() {
    let mut catalog = catalog(&["a"]);
    let confirmation = mesh::Confirmation { boot: 1, number: 5 };
    catalog.confirm(confirmation, at(100));
    assert!(catalog.mark_unreachable());
    catalog.confirm(confirmation, at(101));
    assert!(catalog.is_unreachable());
}

fn declared(revision: u64, version: u64) -> Change {
    let deployment = deployment::Deployment { version, ..deployment::Deployment::default() };
    let fact = Fact::Deployment(deployment.into());
    Change { revision, subject: Subject::Deployment, fact: Some(fact) }
}

/// Guards against a configuration that is replaced by an earlier version.
#[test]
fn lower_version_is_not_adopted() {
    let mut catalog = Catalog::default();
    catalog.replace(changes(vec![declared(1, 7)]), at(0));
    catalog.apply(changes(vec![declared(2, 6)]), at(10));
    let version = |catalog: &Catalog| {
        catalog.current().load().deployment.as_ref().map(|declared| declared.version)
    };
    assert_eq!(version(&catalog), Some(7));
    catalog.apply(changes(vec![declared(3, 12)]), at(20));
    assert_eq!(version(&catalog), Some(12));
}

/// Guards against a change of a large configuration that nodes have to fetch in full from each other.
#[test]
fn configuration_is_passed_on_as_its_changes() {
    let mut sender = Catalog::default();
    sender.replace(changes(vec![declared(1, 7)]), at(0));
    let mut receiver = Catalog::default();
    receiver.replace(changes(vec![declared(1, 7)]), at(0));
    let sent = sender.with_patches(changes(vec![declared(2, 8), declared(3, 10)]));
    assert!(sent.changes.iter().all(|change| matches!(change.fact, Some(Fact::Patch(_)))));
    receiver.receive(rev(1), sent.clone(), at(10));
    receiver.publish();
    let version = |catalog: &Catalog| catalog.current().load().deployment.clone().unwrap().version;
    assert_eq!(version(&receiver), 10);
    sender.apply(sent, at(10));
    assert_eq!(version(&sender), 10);
    assert_eq!(sender.update_since(rev(2)).changes.changes.len(), 1);
}

/// Guards against a node that goes on with a configuration to which it missed a change.
#[test]
fn patch_of_another_version_leads_to_all_facts() {
    let mut sender = Catalog::default();
    sender.replace(changes(vec![declared(1, 7)]), at(0));
    let sent = sender.with_patches(changes(vec![declared(3, 10)]));
    let mut receiver = Catalog::default();
    receiver.replace(changes(vec![declared(1, 6)]), at(0));
    receiver.receive(rev(1), sent, at(10));
    assert_eq!(receiver.revision(), rev(0), "it has to load all facts");
}

/// Guards against an update that lacks changes which the peer does not have.
#[test_case(0, true; "a node that knows nothing gets everything")]
#[test_case(2, true; "a node that is behind the history")]
#[test_case(3, false; "a node that lacks a change")]
#[test_case(99, true; "a node that is ahead, as after a reset of the store")]
fn update_contains_what_a_peer_lacks(after: u64, complete: bool) {
    let mut catalog = catalog(&["a", "b", "c"]);
    catalog.apply(changes(vec![added(4, "d")]), at(10));
    let update = catalog.update_since(rev(after));
    assert_eq!(update.complete, complete);
    assert_eq!(update.changes.revision, rev(4));
    let revisions: Vec<_> = update.changes.changes.iter().map(|change| change.revision).collect();
    assert!(revisions.contains(&4));
}

/// Guards against a node that is sent what has changed again since.
#[test]
fn update_has_the_latest_change_of_a_fact() {
    let mut catalog = catalog(&["a", "b", "c"]);
    catalog.apply(changes(vec![added(4, "d"), removed(5, "d"), added(6, "a")]), at(10));
    let update = catalog.update_since(rev(3));
    let revisions: Vec<_> = update.changes.changes.iter().map(|change| change.revision).collect();
    assert_eq!((update.complete, revisions), (false, vec![5, 6]));
}

/// Guards against extra work on nodes that have a fraction of the memory of the others.
#[test]
fn small_nodes_do_not_count_as_large() {
    let node = |name: &str, memory| {
        let address = ([127, 0, 0, 1], 80).into();
        let node = Node { zone: "zone-1".into(), address, boot: 1, memory };
        Change { revision: 1, subject: Subject::Node(name.into()), fact: Some(Fact::Node(node)) }
    };
    let mut catalog = Catalog::default();
    catalog.replace(changes(vec![node("small", 160), node("a", 512), node("b", 500)]), at(0));
    let snapshot = catalog.current().load_full();
    let zone: id::Zone = "zone-1".into();
    let large = |name: &str| snapshot.is_large(name, Some(&zone));
    assert!(large("a") && large("b") && !large("small") && !large("unknown"));
}

fn stall(epoch: u64, found: Moment, progress: Option<Moment>) -> stalls::Stall {
    stalls::Stall { epoch, detected: found, progress, is_own: true, has_lost_member: false }
}

/// Guards against requests that count as run although their group had stalled before they arrived.
#[test]
fn request_sent_after_the_latest_event_has_not_begun() {
    let mut stalls = stalls::Stalls::default();
    stalls.insert(&"a".into(), stall(1, at(300), Some(at(100))));
    assert!(stalls.has_begun("a", at(90)));
    assert!(!stalls.has_begun("a", at(150)));
}

/// Guards against the claim that a request has not run when no event of the upstream is known.
#[test]
fn request_may_have_begun_where_no_event_is_known() {
    let mut stalls = stalls::Stalls::default();
    stalls.insert(&"a".into(), stall(1, at(300), None));
    assert!(stalls.has_begun("a", at(150)));
    assert!(stalls.has_begun("unknown", at(150)));
}

/// Guards against an upstream that is avoided because of a stall of its previous group.
#[test]
fn stall_of_an_earlier_epoch_does_not_count() {
    let mut stalls = stalls::Stalls::default();
    stalls.insert(&"a".into(), stall(1, at(0), None));
    assert!(stalls.contains("a", 1) && !stalls.contains("a", 2));
}

/// Guards against a stall that is never dropped although no node confirms it again.
#[test]
fn unconfirmed_stall_is_forgotten() {
    let mut stalls = stalls::Stalls::default();
    stalls.insert(&"a".into(), stall(1, at(0), None));
    stalls.prune(at(1_400));
    assert!(stalls.contains("a", 1));
    stalls.prune(at(1_600));
    assert!(!stalls.contains("a", 1));
    assert!(!stalls.merge(&"a".into(), stall(1, at(0), None), at(1_600)));
}

/// Guards against peers and VMs that are declared lost after this process itself was paused.
#[test]
fn pause_of_this_process_is_noticed() {
    let period = Duration::from_millis(10);
    let mut pauses = Pauses::default();
    assert_eq!(pauses.tick(period, at(0)), None);
    assert_eq!(pauses.tick(period, at(12)), None);
    assert!(!pauses.has_paused(at(0), at(20)));
    assert!(pauses.has_paused(at(0), at(400)));
    assert_eq!(pauses.tick(period, at(400)), Some(Duration::from_millis(388)));
    assert!(pauses.has_paused(at(390), at(405)));
    assert!(!pauses.has_paused(at(401), at(410)));
}

fn work(requests: u32, unread: u64) -> cost::Work {
    cost::Work { requests, unread, ..cost::Work::default() }
}

fn load(nodes: u32, rows: Vec<mesh::Row>) -> mesh::Load {
    mesh::Load { nodes, rows, ..mesh::Load::default() }
}

fn row(upstream: &str, requests: u32, event_age: u32) -> mesh::Row {
    mesh::Row { upstream: mesh::hash(upstream), requests, event_age, ..mesh::Row::default() }
}

fn node(name: &str) -> Reporter {
    Reporter::Node(name.into())
}

fn zone(name: &str) -> Reporter {
    Reporter::Zone(name.into())
}

fn hub(name: &str) -> Reporter {
    Reporter::Hub(name.into())
}

/// Guards against an upstream that looks idle to each of several nodes, so that all of them send
/// requests to it.
#[test]
fn requests_of_peers_count() {
    let mut activity = Activity::default();
    activity.begin(&"a".into(), &work(2, 100), at(0));
    activity.update_peer(&node("node-2"), (1, 1), &load(0, vec![row("a", 5, 0)]), at(0));
    activity.update_peer(&zone("zone-2"), (1, 1), &load(4, vec![row("a", 7, 0)]), at(0));
    assert_eq!(activity.estimated_work("a").requests, 14);
    activity.update_peer(&node("node-2"), (1, 2), &load(0, vec![]), at(10));
    assert_eq!(activity.estimated_work("a").requests, 9);
}

/// Guards against a late datagram that replaces a newer one.
#[test]
fn earlier_heartbeat_is_ignored() {
    let mut activity = Activity::default();
    assert!(activity.update_peer(&node("b"), (1, 5), &load(0, vec![row("a", 5, 0)]), at(0)));
    assert!(!activity.update_peer(&node("b"), (1, 4), &load(0, vec![row("a", 9, 0)]), at(1)));
    assert!(activity.update_peer(&node("b"), (2, 1), &load(0, vec![row("a", 1, 0)]), at(2)));
    assert_eq!(activity.estimated_work("a").requests, 1);
}

/// Guards against requests of a node that is gone and still count for ever.
#[test]
fn silent_peer_is_forgotten() {
    let mut activity = Activity::default();
    activity.update_peer(&node("b"), (1, 1), &load(0, vec![row("a", 5, 0)]), at(0));
    activity.prune(at(5_000));
    assert_eq!(activity.estimated_work("a").requests, 0);
}

/// Guards against a zone that reports the requests of another zone as its own.
#[test]
fn zone_rows_cover_only_the_nodes_of_the_zone() {
    let mut activity = Activity::default();
    activity.begin(&"a".into(), &work(1, 0), at(0));
    activity.update_peer(&node("near"), (1, 1), &load(0, vec![row("a", 2, 30)]), at(0));
    activity.update_peer(&zone("far-zone"), (1, 1), &load(9, vec![row("a", 40, 1)]), at(0));
    let sum = activity.zone_load(Vec::new(), false, at(20));
    assert_eq!((sum.nodes, sum.rows.len(), sum.rows[0].requests), (2, 1, 3));
    let event_age = sum.rows[0].event_age;
    assert!(event_age >= 50, "the age of the peer's rows is added: {event_age}");
    let all = activity.zone_load(Vec::new(), true, at(20));
    assert_eq!((all.nodes, all.rows[0].requests), (11, 43));
}

/// Guards against a node that counts the requests of its zone twice: as it hears of them from a hub
/// and from single nodes.
#[test]
fn sum_of_a_hub_replaces_the_loads_that_it_covers() {
    let mut activity = Activity::default();
    activity.update_peer(&node("b"), (1, 1), &load(0, vec![row("a", 5, 0)]), at(0));
    activity.update_peer(&zone("zone-2"), (1, 1), &load(4, vec![row("a", 7, 0)]), at(0));
    activity.update_peer(&hub("h"), (2, 1), &load(60, vec![row("a", 90, 0)]), at(10));
    assert_eq!(activity.estimated_work("a").requests, 90);
    // The other hub knows fewer nodes, as it has just taken over.
    activity.update_peer(&hub("g"), (3, 1), &load(2, vec![row("a", 1, 0)]), at(20));
    assert_eq!(activity.estimated_work("a").requests, 90);
    activity.prune(at(700));
    assert_eq!(activity.estimated_work("a").requests, 12, "no hub was heard from");
}

/// Guards against requests that never end, as two hubs pass them on to each other.
#[test]
fn sum_of_a_hub_does_not_hold_that_of_another() {
    let mut activity = Activity::default();
    activity.begin(&"a".into(), &work(1, 0), at(0));
    activity.update_peer(&hub("h"), (2, 1), &load(60, vec![row("a", 90, 0)]), at(10));
    let sum = activity.zone_load(Vec::new(), true, at(20));
    assert_eq!((sum.nodes, sum.rows[0].requests), (1, 1));
}

/// Guards against a node that takes its own requests, which the hub has summed up, for those of
/// others.
#[test]
fn sum_for_a_node_leaves_out_its_own_load() {
    let mut activity = Activity::default();
    activity.begin(&"a".into(), &work(1, 0), at(0));
    activity.update_peer(&node("b"), (1, 1), &load(0, vec![row("a", 5, 0), row("c", 2, 0)]), at(0));
    activity.update_peer(&node("d"), (1, 1), &load(0, vec![row("a", 3, 0)]), at(0));
    let sum = activity.zone_load(Vec::new(), true, at(10));
    let rest = activity.without(&sum, &"b".into());
    let requests: Vec<_> = rest.rows.iter().map(|row| row.requests).collect();
    assert_eq!((rest.nodes, requests), (2, vec![4, 0]));
}

/// Guards against a datagram that has no room for the upstreams with most requests.
#[test]
fn busiest_upstreams_come_first_in_a_sum() {
    let mut activity = Activity::default();
    let rows = (0..100).map(|n| row(&format!("vm-{n}"), n, 0)).collect();
    activity.update_peer(&node("b"), (1, 1), &load(0, rows), at(0));
    let sum = activity.zone_load(Vec::new(), true, at(10));
    assert!(sum.rows.is_sorted_by_key(|row| std::cmp::Reverse(row.requests)));
}

/// Guards against a stall that is detected although another node still receives events from the
/// upstream.
#[test]
fn latest_event_of_any_node_counts() {
    let mut activity = Activity::default();
    activity.begin(&"a".into(), &work(1, 10), at(0));
    activity.started("a", &work(0, 10), at(50));
    activity.update_peer(&node("b"), (1, 1), &load(0, vec![row("a", 1, 31)]), at(200));
    assert_eq!(activity.progress("a"), Some(at(170)));
}

/// Guards against an upstream that looks stalled, as the caller of its only stream reads slowly.
#[test]
fn stream_whose_caller_has_yet_to_read_does_not_wait() {
    let mut activity = Activity::default();
    activity.begin(&"a".into(), &work(1, 10), at(0));
    activity.started("a", &work(0, 10), at(50));
    assert_eq!(activity.waiting().count(), 1);
    activity.progressed("a", at(60));
    assert_eq!(activity.waiting().count(), 0, "the caller has yet to take the event");
    activity.waits("a", at(900));
    assert_eq!(activity.progress("a"), Some(at(900)));
}

/// Guards against datagrams that are forwarded between zones for ever.
#[test]
fn datagram_is_new_once() {
    let mut peers = peers::Peers::default();
    assert!(peers.is_new(1, 7));
    assert!(!peers.is_new(1, 7));
    assert!(peers.is_new(2, 7));
}

fn peer(revision: u64, heard: Moment) -> peers::Peer {
    peers::Peer {
        link: ([127, 0, 0, 1], 80).into(),
        is_local: true,
        revision: rev(revision),
        draining: false,
        last_seen: heard,
    }
}

/// Guards against a node that takes its number of nodes for the latest one, although the node that it
/// hears has later facts, which may show further nodes.
#[test]
fn only_nodes_without_later_facts_agree() {
    let mut peers = peers::Peers::default();
    assert_eq!(peers.last_agreed(rev(5)), None);
    peers.update("behind".into(), peer(4, at(100)));
    peers.update("same".into(), peer(5, at(200)));
    peers.update("ahead".into(), peer(6, at(300)));
    assert_eq!(peers.last_agreed(rev(5)), Some(at(200)));
}

/// Guards against fetching facts from a node that no longer answers.
#[test]
fn only_live_nodes_are_asked_for_facts() {
    let mut peers = peers::Peers::default();
    peers.update("old".into(), peer(9, at(0)));
    peers.update("live".into(), peer(5, at(2_000)));
    let now = at(2_100);
    let mut rng = rand::rng();
    let newer =
        |revision, is_local, rng: &mut _| peers.newer(revision, is_local, now, rng).cloned();
    assert_eq!(newer(rev(3), true, &mut rng).map(|peer| peer.revision), Some(rev(5)));
    assert_eq!(newer(rev(5), true, &mut rng), None);
    assert_eq!(newer(rev(3), false, &mut rng), None);
    let live: collections::BTreeSet<_> = peers.live(now).map(|(node, _)| node.as_str()).collect();
    assert_eq!(live, ["live"].into());
}

/// Guards against groups for a service that nobody calls, as another one has a model of the same name.
#[test]
fn demand_for_models_of_one_name_is_kept_apart_by_service() {
    let (called, idle): (id::Service, id::Service) = ("drafts".into(), "notes".into());
    let mut demand = Demand::default();
    for n in 0..20 {
        let meter = demand.meter(&called);
        meter.record_request(&"large".into(), 1_000, Duration::from_millis(200), at(n));
    }
    let engine = deployment::Engine {
        slots: 8,
        kv_capacity: 1_590_000,
        pass_steps: 7,
        step_time: Duration::from_millis(6),
        sequence_time: Duration::ZERO,
        context_time: Duration::ZERO,
        prefill_rate: 50_700.0,
        attention_time: Duration::ZERO,
        prefill_chunk: 2_048,
        models: Vec::new(),
        load_limits: deployment::LoadLimits::default(),
        staged_models: 1,
        cross_domain: 1.0,
        open_time: Duration::ZERO,
        mean_prompt: 100,
        mean_answer: 42,
    };
    assert!(demand.of(&called, "large", &engine, at(20)).rate > 3.0);
    assert!(demand.of(&idle, "large", &engine, at(20)).rate <= 0.0);
}
