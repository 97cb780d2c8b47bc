//! Guards against requests in progress whose end is not recorded, and against a replica's failure
//! that is cleared too early or never.

use corneltrestle_node::tables::dispatched::Dispatched;
use corneltrestle_policy::{Moment, id};

fn replica() -> id::Replica {
    id::Replica { set: "a".into(), index: 0 }
}

#[test]
fn dispatches_recorded_out_of_order_all_end() {
    let (mut table, replica) = (Dispatched::default(), replica());
    let moments = [50, 20, 40, 20, 30].map(Moment::from_millis);
    moments.iter().for_each(|sent| table.begin(&replica, *sent));
    assert!(table.in_progress(&replica).is_sorted());
    moments.iter().for_each(|sent| table.end(&replica, *sent));
    assert!(table.in_progress(&replica).is_empty(), "{:?}", table.in_progress(&replica));
}

#[test]
fn failure_is_kept_until_the_next_dispatch() {
    let (mut table, replica, failed) = (Dispatched::default(), replica(), Moment::from_millis(10));
    assert_eq!(table.last_failure(&replica), None);
    table.record_failure(&replica, failed);
    assert_eq!(table.last_failure(&replica), Some(failed));
    table.begin(&replica, Moment::from_millis(20));
    assert_eq!(table.last_failure(&replica), None);
}
