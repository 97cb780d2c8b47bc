//! Guards against a revision that does not reach every node, or that a node loses again.

use corneltrestle_measure::scenario::config::{self, Case, Fault};
use test_case::test_case;

#[test_case(Fault::None, 3; "without a fault")]
#[test_case(Fault::LostWatcher, 2; "after the loss of a watcher")]
fn accepted_note_reaches_every_reachable_node(fault: Fault, reachable: usize) {
    let case = Case { name: "small", zones: &[3], notes: 1, fault };
    let found = config::measure(1, &case).unwrap();
    assert_eq!(found.node_times.len(), reachable);
    assert_eq!((found.missed, found.reverted), (0, 0));
}
