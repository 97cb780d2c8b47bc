//! Choice of the hubs of a zone, when hubs are lost, cut off or return, and after pauses.

use std::{collections::BTreeMap, time::Duration};

use corneltrestle_policy::{Moment, hubs};

const ZONE: &str = "zone-1";

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

/// Nodes that choose hubs, and hear from those that are up.
struct Zone {
    nodes: Vec<String>,
    hubs: BTreeMap<String, hubs::Hubs>,
    heard: BTreeMap<(String, String), Moment>,
    now: Moment,
}

impl Zone {
    fn open(nodes: usize) -> Self {
        let nodes: Vec<_> = (0..nodes).map(|node| format!("node-{node}")).collect();
        let hubs = nodes.iter().map(|node| (node.clone(), hubs::Hubs::default())).collect();
        Self { nodes, hubs, heard: BTreeMap::new(), now: at(0) }
    }

    /// Lets time pass. All nodes that `is_up` choose; nodes hear from their hubs that are up, if
    /// `reaches` says so.
    fn run(
        &mut self,
        millis: u64,
        is_up: impl Fn(&str) -> bool,
        reaches: impl Fn(&str, &str) -> bool,
    ) {
        for _ in 0..millis / 80 {
            self.now = self.now + Duration::from_millis(80);
            for own in self.nodes.iter().filter(|node| is_up(node)) {
                let candidates: Vec<_> = self
                    .nodes
                    .iter()
                    .map(|node| {
                        let heard = self.heard.get(&(own.clone(), node.clone())).copied();
                        hubs::Candidate { node, is_large: !node.ends_with('3'), heard }
                    })
                    .collect();
                let hubs = self.hubs.get_mut(own).unwrap();
                hubs.choose(ZONE, own, &candidates, None, self.now);
            }
            for (from, hubs) in &self.hubs {
                if is_up(from) && hubs.place(from).is_some() {
                    for to in self.nodes.iter().filter(|to| *to != from && reaches(from, to)) {
                        self.heard.insert((to.clone(), from.clone()), self.now);
                    }
                }
            }
        }
    }

    fn chosen(&self, node: &str) -> Vec<String> {
        self.hubs[node].chosen().iter().map(ToString::to_string).collect()
    }

    /// The hubs on which all nodes that `is_up` agree.
    fn agreed(&self, is_up: impl Fn(&str) -> bool) -> Vec<String> {
        let mut up = self.nodes.iter().filter(|node| is_up(node));
        let first = self.chosen(up.next().unwrap());
        for node in up {
            assert_eq!(self.chosen(node), first, "{node} chooses other hubs");
        }
        first
    }
}

/// Guards against nodes that report to different hubs, so that no hub knows the whole load.
#[test]
fn all_nodes_choose_the_same_large_hubs() {
    let mut zone = Zone::open(60);
    zone.run(2_000, |_| true, |_, _| true);
    let hubs = zone.agreed(|_| true);
    assert_eq!(hubs.len(), hubs::COUNT);
    assert!(hubs.iter().all(|hub| !hub.ends_with('3')), "{hubs:?}");
}

/// Guards against a zone whose nodes do not know its load for seconds after the loss of a hub, or of
/// both.
#[test]
fn lost_hubs_are_replaced_within_a_second() {
    let mut zone = Zone::open(60);
    zone.run(2_000, |_| true, |_, _| true);
    let lost = zone.agreed(|_| true);
    let is_up = |node: &str| !lost.iter().any(|hub| hub == node);
    zone.run(960, is_up, |_, _| true);
    let hubs = zone.agreed(is_up);
    assert!(hubs.iter().all(|hub| is_up(hub)), "{hubs:?} of which {lost:?} are lost");
}

/// Guards against a hub that is not used again after it has returned, and against one that all nodes
/// try again at the cost of the view of the load.
#[test]
fn returned_hub_is_chosen_again_by_all() {
    let mut zone = Zone::open(60);
    zone.run(2_000, |_| true, |_, _| true);
    let before = zone.agreed(|_| true);
    let lost = before[0].clone();
    zone.run(5_040, |node| node != lost, |_, _| true);
    zone.run(4_000, |_| true, |_, _| true);
    assert_eq!(zone.agreed(|_| true), before);
}

/// Guards against a node that is cut off and disturbs the choice of the others.
#[test]
fn node_that_is_cut_off_chooses_alone() {
    let mut zone = Zone::open(60);
    zone.run(2_000, |_| true, |_, _| true);
    let before = zone.agreed(|_| true);
    let cut = zone.nodes.iter().find(|node| !before.contains(node)).unwrap().clone();
    zone.run(3_040, |_| true, |from, to| from != cut && to != cut);
    assert_eq!(zone.agreed(|node| node != cut), before);
    zone.run(4_000, |_| true, |_, _| true);
    assert_eq!(zone.agreed(|_| true), before);
}

/// Guards against a node that takes hubs for lost because it was paused itself.
#[test]
fn silence_during_an_own_pause_does_not_count() {
    let names = ["a", "b", "c", "d"];
    let heard = Some(at(0));
    let candidates = names.map(|node| hubs::Candidate { node, is_large: true, heard });
    let mut hubs = hubs::Hubs::default();
    let before = hubs.choose(ZONE, "d", &candidates, None, at(10)).to_vec();
    let after = hubs.choose(ZONE, "d", &candidates, Some(at(4_990)), at(5_000)).to_vec();
    assert_eq!(before, after);
    let later = hubs.choose(ZONE, "d", &candidates, Some(at(4_990)), at(5_500)).to_vec();
    assert!(later.iter().all(|hub| hub.as_str() == "d" || !before.contains(hub)), "{later:?}");
}
