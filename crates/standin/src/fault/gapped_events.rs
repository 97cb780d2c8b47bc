//! Fault `gapped-events`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static GAPPED_EVENTS: fault::Fault = fault::Fault {
    name: "gapped-events",
    help: "Cache events whose number is a multiple of the value are missing.",
    default: 2,
    apply: |state, switch| state.event_gap = switch.value_or_zero(),
};
