//! Guards against a relay that loses, repeats or cuts off events, and against a load that does not
//! reach both relays.

use std::time::Duration;

use corneltrestle_measure::scenario::{Options, relay};

#[test]
fn both_relays_answer_every_stream_completely() {
    let sizes =
        relay::Sizes { rounds: 1, duration: Duration::from_millis(50), requests: 10, events: 50 };
    let report = relay::run(&Options { seed: 1, progress: false }, &sizes).unwrap();
    let goal = report.goals.iter().find(|goal| goal.name == "every answer whole").unwrap();
    assert!(goal.met, "{}", goal.found);
    for figure in report.figures.iter().filter(|figure| figure.unit == "events/s") {
        assert!(figure.value > 0.0 && figure.baseline.unwrap() > 0.0, "{figure:?}");
    }
}
