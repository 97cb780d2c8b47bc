//! Fault `slow`.

use corneltrestle_kernel::linkme::distributed_slice;

use super::{FAULTS, Fault};

#[distributed_slice(FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static SLOW: Fault = Fault {
    name: "slow",
    help: "Each answer, and each token after the first, is delayed; value: milliseconds.",
    default: 500,
    apply: |knobs, switch| knobs.delay = switch.millis(),
};
