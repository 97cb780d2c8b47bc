//! Which facts a node uses once the store has come back from an earlier copy of itself.

use std::{collections, sync, time::Duration};

use corneltrestle_gateway::{
    source::{Change, Changes, Fact, Holder, Node, Subject},
    tables::{catalog::Catalog, peers},
};
use corneltrestle_policy::{Moment, deployment, revision::Revision, upstream};
use proptest::prelude::*;
use test_case::test_case;

/// Time after a return at which all that was lost has been written again.
const SETTLED_MS: u64 = 4_000;

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn rev(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

fn vm(state: upstream::State, incarnation: u64, cold_s: u64) -> upstream::Upstream {
    upstream::Upstream {
        id: "vm".into(),
        service: "orders".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "zone-1".into(),
        version: "1".to_owned(),
        slots: 4,
        state,
        cold_left: Duration::from_secs(cold_s),
        incarnation,
        engine: None,
    }
}

fn member(epoch: u64) -> upstream::Upstream {
    let member = upstream::Member {
        group: "group".into(),
        epoch,
        rank: 0,
        state: upstream::MemberState::Open,
    };
    let engine = upstream::Engine { member: Some(member), ..upstream::Engine::default() };
    upstream::Upstream { engine: Some(engine), ..vm(upstream::State::Ready, 1, 0) }
}

fn registered(revision: u64, vm: upstream::Upstream) -> Change {
    let subject = Subject::Upstream(vm.id.clone());
    Change { revision, subject, fact: Some(Fact::Upstream(sync::Arc::new(vm))) }
}

fn ready(revision: u64) -> Change {
    registered(revision, vm(upstream::State::Ready, 1, 0))
}

fn removed(revision: u64) -> Change {
    Change { revision, subject: Subject::Upstream("vm".into()), fact: None }
}

fn declared(revision: u64, version: u64) -> Change {
    let deployment = deployment::Deployment { version, ..deployment::Deployment::default() };
    let fact = Some(Fact::Deployment(deployment.into()));
    Change { revision, subject: Subject::Deployment, fact }
}

fn evacuated(revision: u64) -> Change {
    let subject = Subject::Evacuation("zone-1".into());
    Change { revision, subject, fact: Some(Fact::Evacuated) }
}

fn node(revision: u64, boot: u64) -> Change {
    let address = ([127, 0, 0, 1], 70).into();
    let node = Node { zone: "zone-1".into(), address, boot, memory: 512 };
    Change { revision, subject: Subject::Node("node".into()), fact: Some(Fact::Node(node)) }
}

fn holder(revision: u64) -> Change {
    let fact = Some(Fact::Coordinator(Holder { node: "node".into(), boot: 7 }));
    Change { revision, subject: Subject::Coordinator, fact }
}

/// A catalog that has loaded `copied`, then received `later`, and then loaded the copy in a new era.
fn returned(copied: Vec<Change>, later: Vec<Change>) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.replace(Changes { revision: rev(1, 10), changes: copied.clone() }, at(0));
    for change in later {
        let revision = rev(1, change.revision);
        catalog.apply(Changes { revision, changes: vec![change] }, at(100));
    }
    catalog.replace(Changes { revision: rev(2, 10), changes: copied }, at(1_000));
    catalog
}

/// What a node uses of the upstream: its state and incarnation, and whether it is cold at a time.
fn used(catalog: &Catalog, now: Moment) -> Option<(upstream::State, u64, bool)> {
    let snapshot = catalog.current().load_full();
    let found = snapshot.fleet.get("vm")?;
    let is_cold = snapshot.cold.get("vm").is_some_and(|until| now < *until);
    Some((found.state, found.incarnation, is_cold))
}

/// Guards against requests to an upstream that is known to be gone or to drain, or more than it bears,
/// as the copy of the store is from before, and against one that is lost, as it has registered since.
#[test_case(vec![ready(1)], vec![removed(20)], None; "removed")]
#[test_case(vec![ready(1)], vec![registered(20, vm(upstream::State::Draining, 1, 0))], Some((upstream::State::Draining, 1, false)); "draining")]
#[test_case(vec![ready(1)], vec![registered(20, vm(upstream::State::Ready, 1, 30))], Some((upstream::State::Ready, 1, true)); "cold again")]
#[test_case(vec![ready(1)], vec![registered(20, vm(upstream::State::Ready, 2, 30))], Some((upstream::State::Ready, 2, true)); "restarted")]
#[test_case(vec![], vec![ready(20)], Some((upstream::State::Ready, 1, false)); "registered since")]
fn upstream_is_used_as_it_was_known(
    copied: Vec<Change>,
    later: Vec<Change>,
    expected: Option<(upstream::State, u64, bool)>,
) {
    let mut catalog = returned(copied.clone(), later);
    assert_eq!(used(&catalog, at(1_100)), expected);
    // A second return from the same copy, before anything was written again.
    catalog.replace(Changes { revision: rev(3, 10), changes: copied }, at(1_500));
    assert_eq!(used(&catalog, at(1_600)), expected);
    // What is written in the new era applies at once.
    let written = Changes { revision: rev(3, 12), changes: vec![ready(12)] };
    catalog.apply(written, at(1_700));
    assert_eq!(used(&catalog, at(1_700)), Some((upstream::State::Ready, 1, false)));
}

/// Guards against requests to an upstream that drains or is cold, but cannot write that again.
#[test_case(vm(upstream::State::Draining, 1, 0), Some((upstream::State::Draining, 1, false)); "draining")]
#[test_case(vm(upstream::State::Ready, 1, 30), Some((upstream::State::Ready, 1, true)); "cold")]
#[test_case(vm(upstream::State::Ready, 2, 30), Some((upstream::State::Ready, 2, true)); "restarted")]
fn restraint_of_an_upstream_outlasts_the_grace(
    later: upstream::Upstream,
    expected: Option<(upstream::State, u64, bool)>,
) {
    let mut catalog = returned(vec![ready(1)], vec![registered(20, later)]);
    catalog.end_retention(at(SETTLED_MS));
    assert_eq!(used(&catalog, at(SETTLED_MS)), expected);
}

/// Guards against a VM that is ordered to join a group while it is a member of another one, as the copy
/// of the store is from before it joined that, and against a member that has left. After the grace, a
/// VM that did not write it again keeps its membership only if the epochs tell that it is the later one.
#[test_case(member(5), member(9), member(9); "of a later epoch")]
#[test_case(vm(upstream::State::Ready, 1, 0), member(9), vm(upstream::State::Ready, 1, 0); "joined")]
#[test_case(member(5), vm(upstream::State::Ready, 1, 0), member(5); "left")]
fn membership_outlasts_a_return(
    copied: upstream::Upstream,
    later: upstream::Upstream,
    settled: upstream::Upstream,
) {
    let mut catalog = returned(vec![registered(1, copied)], vec![registered(20, later.clone())]);
    let engine = |catalog: &Catalog| {
        catalog.current().load().fleet.get("vm").and_then(|vm| vm.engine.clone())
    };
    assert_eq!(engine(&catalog), later.engine);
    catalog.end_retention(at(SETTLED_MS));
    assert_eq!(engine(&catalog), settled.engine);
}

/// Guards against a copy of the store that is ignored where it is the later one, as the node was cut
/// off from the store before it was taken.
#[test_case(registered(5, vm(upstream::State::Draining, 1, 0)); "draining")]
#[test_case(registered(5, vm(upstream::State::Ready, 2, 30)); "restarted")]
#[test_case(registered(5, member(9)); "of a later epoch")]
fn later_copy_is_used(copied: Change) {
    let mut catalog = Catalog::default();
    let known = registered(1, member(5));
    catalog.replace(Changes { revision: rev(1, 1), changes: vec![known] }, at(0));
    let Some(Fact::Upstream(expected)) = copied.fact.clone() else { panic!("an upstream") };
    catalog.replace(Changes { revision: rev(2, 10), changes: vec![copied] }, at(1_000));
    assert_eq!(catalog.current().load().fleet.get("vm"), Some(&*expected));
}

/// Guards against a configuration that reverts, a zone that gets requests although it is evacuated, and
/// nodes that no longer know each other, until all of it is written again.
#[test]
fn configuration_evacuations_and_nodes_outlast_a_return() {
    let later = vec![declared(20, 9), evacuated(21), node(22, 5), holder(23)];
    let mut catalog = returned(vec![declared(1, 7), node(2, 4)], later);
    let state = |catalog: &Catalog| {
        let snapshot = catalog.current().load_full();
        let version = snapshot.deployment.as_ref().map(|declared| declared.version);
        let boots: Vec<u64> = snapshot.nodes.values().map(|node| node.boot).collect();
        (version, snapshot.evacuated.len(), boots, snapshot.coordinator.is_some())
    };
    assert_eq!(state(&catalog), (Some(9), 1, vec![5], false));
    assert_eq!(catalog.registered(&"node".into()), Some(4), "as the store has it");
    assert!(!catalog.is_settled(at(1_500)) && catalog.is_settled(at(SETTLED_MS)));
    catalog.end_retention(at(SETTLED_MS));
    assert_eq!(state(&catalog), (Some(9), 0, vec![4], false), "nothing else was written again");
}

/// Guards against a node that is taken back by facts of an earlier era: by an answer that was late, by a
/// peer that was cut off when the store came back, or by changes that seem to follow.
#[test]
fn facts_of_an_earlier_era_are_ignored() {
    let mut catalog = returned(vec![ready(1)], Vec::new());
    let mut peer = Catalog::default();
    peer.replace(Changes { revision: rev(1, 90), changes: vec![evacuated(90)] }, at(0));
    let confirmed = catalog.confirmed_at();
    catalog.replace(peer.update_since(rev(0, 0)).changes, at(5_000));
    catalog.apply(Changes { revision: rev(1, 95), changes: vec![evacuated(95)] }, at(5_000));
    catalog.receive(
        rev(1, 10),
        Changes { revision: rev(1, 96), changes: vec![evacuated(96)] },
        at(5_000),
    );
    catalog.publish();
    assert_eq!((catalog.revision(), catalog.confirmed_at()), (rev(2, 10), confirmed));
    assert!(catalog.current().load().evacuated.is_empty());

    let known = |revision| peers::Peer {
        link: ([127, 0, 0, 1], 80).into(),
        is_local: true,
        revision,
        draining: false,
        last_seen: at(0),
    };
    let mut peers = peers::Peers::default();
    peers.update("cut-off".into(), known(rev(1, 90)));
    assert_eq!(peers.newer(catalog.revision(), true, at(0), &mut rand::rng()), None);
    assert!(catalog.update_since(rev(1, 10)).complete, "the peer needs all facts");
    peers.update("informed".into(), known(rev(2, 10)));
    assert!(peers.newer(peer.revision(), true, at(0), &mut rand::rng()).is_some());
}

/// An event between the store and three nodes.
#[derive(Clone, Debug)]
enum Event {
    /// The operator writes the next version.
    Declare,
    /// The upstream registers, or its registration is removed.
    Toggle,
    /// A copy of the store is taken.
    Copy,
    /// The store comes back from its copy, and the operator writes the newest version again.
    Return,
    /// A node polls the store, whose answer arrives now or at its next poll.
    Poll { node: usize, is_late: bool },
    /// A node fetches what another one knows.
    Fetch { node: usize, from: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Declare),
        3 => Just(Event::Toggle),
        1 => Just(Event::Copy),
        1 => Just(Event::Return),
        5 => (0..3_usize, any::<bool>()).prop_map(|(node, is_late)| Event::Poll { node, is_late }),
        4 => (0..3_usize, 0..3_usize).prop_map(|(node, from)| Event::Fetch { node, from }),
    ]
}

/// The store: its facts by subject, its changes of the present era, and its copy.
#[derive(Clone, Default)]
struct Store {
    revision: Revision,
    facts: collections::BTreeMap<Subject, Change>,
    changes: Vec<Change>,
    copy: Option<Box<Store>>,
}

impl Store {
    fn write(&mut self, change: Change) {
        self.revision.number += 1;
        let change = Change { revision: self.revision.number, ..change };
        self.changes.push(change.clone());
        match change.fact {
            Some(_) => drop(self.facts.insert(change.subject.clone(), change)),
            None => drop(self.facts.remove(&change.subject)),
        }
    }

    fn come_back(&mut self) {
        let Some(copy) = self.copy.clone() else { return };
        let era = self.revision.era + 1;
        let number = copy.revision.number;
        *self = Store { revision: rev(era, number), ..*copy };
        self.changes.clear();
        self.copy = Some(Box::new(self.clone()));
    }

    /// The changes after a revision of this era; `None` if it does not have them.
    fn since(&self, after: Revision) -> Option<Changes> {
        let first = self.changes.first().map_or(self.revision.number + 1, |first| first.revision);
        let is_known = after.era == self.revision.era
            && (first..=self.revision.number + 1).contains(&(after.number + 1));
        let later = self.changes.iter().filter(|change| change.revision > after.number).cloned();
        is_known.then(|| Changes { revision: self.revision, changes: later.collect() })
    }

    fn all(&self) -> Changes {
        Changes { revision: self.revision, changes: self.facts.values().cloned().collect() }
    }
}

proptest! {
    /// Whatever the order of writes, returns, late answers and exchanges between nodes: no node goes
    /// back to an earlier revision or version, and all agree with the store in the end.
    #[test]
    fn nodes_never_go_back_and_agree_in_the_end(
        events in proptest::collection::vec(event(), 1..60)
    ) {
        let mut store = Store { revision: rev(1, 1), ..Store::default() };
        let mut version = 1;
        store.write(declared(0, version));
        let mut nodes = [Catalog::default(), Catalog::default(), Catalog::default()];
        nodes.iter_mut().for_each(|node| node.replace(store.all(), at(0)));
        let mut late: [Option<Changes>; 3] = Default::default();
        let mut reached = [(rev(0, 0), 0); 3];
        for (step, event) in events.into_iter().enumerate() {
            let now = at(step as u64 * 700);
            match event {
                Event::Declare => {
                    version += 1;
                    store.write(declared(0, version));
                }
                Event::Toggle if store.facts.contains_key(&Subject::Upstream("vm".into())) => {
                    store.write(removed(0));
                }
                Event::Toggle => store.write(ready(0)),
                Event::Copy => store.copy = Some(Box::new(store.clone())),
                Event::Return => {
                    store.come_back();
                    store.write(declared(0, version));
                }
                Event::Poll { node, is_late } => {
                    let answer = store.since(nodes[node].revision());
                    let answers = [late[node].take(), answer.is_none().then(|| store.all())];
                    for all in answers.into_iter().flatten() {
                        nodes[node].replace(all, now);
                    }
                    match answer {
                        Some(_) if is_late => late[node] = Some(store.all()),
                        Some(changes) => nodes[node].apply(changes, now),
                        None => {}
                    }
                }
                Event::Fetch { node, from } => {
                    let update = nodes[from].update_since(nodes[node].revision());
                    if update.changes.revision < nodes[node].revision() {
                    } else if update.complete {
                        nodes[node].replace(update.changes, now);
                    } else {
                        nodes[node].apply(update.changes, now);
                    }
                }
            }
            for (node, reached) in nodes.iter_mut().zip(&mut reached) {
                node.end_retention(now);
                let declared = node.current().load().deployment.clone().expect("a configuration");
                let state = (node.revision(), declared.version);
                prop_assert!(state.0 >= reached.0 && state.1 >= reached.1, "{state:?} after {reached:?}");
                *reached = state;
            }
        }
        let end = at(100_000);
        for node in &mut nodes {
            match store.since(node.revision()) {
                Some(changes) => node.apply(changes, end),
                None => node.replace(store.all(), end),
            }
            node.end_retention(end + Duration::from_millis(SETTLED_MS));
            let snapshot = node.current().load_full();
            prop_assert_eq!(snapshot.deployment.as_ref().map(|declared| declared.version), Some(version));
            let is_registered = store.facts.contains_key(&Subject::Upstream("vm".into()));
            prop_assert_eq!(snapshot.fleet.get("vm").is_some(), is_registered);
        }
    }

    /// Tokens and the epochs that are made from them increase with revisions over all eras.
    #[test]
    fn tokens_increase_with_revisions(
        first in (0_u64..1_000, 0_u64..1 << 23),
        second in (0_u64..1_000, 0_u64..1 << 23),
    ) {
        let (first, second) = (rev(first.0, first.1), rev(second.0, second.1));
        prop_assert_eq!(first.cmp(&second), first.token().cmp(&second.token()));
    }
}
