//! Guards against a second run of an order, a false `not-run` and a burst of calls when the store
//! recovers.

use std::time::Duration;

use corneltrestle_measure::scenario::{Options, store_outage};

#[test]
fn orders_run_at_most_once_around_outages() {
    let time = Duration::from_millis(300);
    let sizes = store_outage::Sizes { baseline: time, outage: time, recovery: time };
    let report = store_outage::run(&Options { seed: 1, progress: false }, &sizes).unwrap();
    for part in ["no key runs twice", "every not-run is true", "no burst on return"] {
        let goal = report.goals.iter().find(|goal| goal.name.starts_with(part)).unwrap();
        assert!(goal.met, "{}: {}", goal.name, goal.found);
    }
}
