//! Fault `slow`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static SLOW: fault::Fault = fault::Fault {
    name: "slow",
    help: "Each response, and each token after the first, is delayed; value: milliseconds.",
    default: 500,
    apply: |state, switch| state.delay = switch.duration(),
};
