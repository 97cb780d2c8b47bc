//! Guards against counters that miss the control work of nodes, and against a wrong fit.

use std::time::Duration;

use corneltrestle_measure::scenario::control::{self, Line, Size};

#[test]
fn control_work_of_a_small_zone_is_counted() {
    let size = Size { nodes: 2, vms: 4, zones: 1 };
    let period = Duration::from_secs(1);
    let found = control::measure(size, period, period).unwrap();
    assert!(found.idle.cpu_percent > 0.0 && found.idle.link_bytes_per_s > 0.0, "{found:?}");
    assert!(found.memory_mb > 0.0, "{found:?}");
}

#[test]
fn fit_minimises_the_squared_distances() {
    // Computed by hand: means 2 and 3, slope 3/2, distances 1/2, 1 and 1/2.
    let line = Line::fit(&[(1.0, 1.0), (2.0, 4.0), (3.0, 4.0)]);
    assert_eq!((line.slope, line.intercept, line.residual), (1.5, 0.0, 1.0));
}
