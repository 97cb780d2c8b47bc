//! Guards against requests in progress that are never counted as ended, and against a failure of a
//! replica that is forgotten or never forgotten.

use corneltrestle_node::tables::dispatched::Dispatched;
use corneltrestle_policy::{Moment, id};

fn replica() -> id::Replica {
    id::Replica { set: "a".into(), index: 0 }
}

#[test]
fn dispatches_that_are_counted_out_of_order_all_end() {
    let (mut table, replica) = (Dispatched::default(), replica());
    let moments = [50, 20, 40, 20, 30].map(Moment::from_millis);
    moments.iter().for_each(|sent| table.begin(&replica, *sent));
    assert!(table.of(&replica).is_sorted());
    moments.iter().for_each(|sent| table.end(&replica, *sent));
    assert!(table.of(&replica).is_empty(), "{:?}", table.of(&replica));
}

#[test]
fn doubt_lasts_until_the_next_dispatch() {
    let (mut table, replica, failed) = (Dispatched::default(), replica(), Moment::from_millis(10));
    assert_eq!(table.doubt_of(&replica), None);
    table.doubt(&replica, failed);
    assert_eq!(table.doubt_of(&replica), Some(failed));
    table.begin(&replica, Moment::from_millis(20));
    assert_eq!(table.doubt_of(&replica), None);
}
