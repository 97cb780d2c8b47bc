//! Guards against requests in progress that are never counted as ended.

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
