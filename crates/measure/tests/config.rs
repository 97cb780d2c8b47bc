//! Guards against a revision that does not reach every node or is lost again.

use corneltrestle_measure::scenario::config::{self, Case, Trouble};
use test_case::test_case;

#[test_case(Trouble::None, 3; "without trouble")]
#[test_case(Trouble::LostWatcher, 2; "after the loss of a watcher")]
fn accepted_note_reaches_every_reachable_node(trouble: Trouble, reachable: usize) {
    let case = Case { name: "small", zones: &[3], notes: 1, trouble };
    let found = config::measure(1, &case).unwrap();
    assert_eq!(found.times.len(), reachable);
    assert_eq!((found.missed, found.reverted), (0, 0));
}
