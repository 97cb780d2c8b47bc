//! Fault `lagging-list`.

use std::time::Duration;

use corneltrestle_kernel::linkme::distributed_slice;

use super::{FAULTS, Fault};

#[distributed_slice(FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static LAGGING_LIST: Fault = Fault {
    name: "lagging-list",
    help: "The VM list lags; value: milliseconds.",
    default: 5000,
    apply: |knobs, switch| knobs.list_lag = switch.given().map(Duration::from_millis),
};
