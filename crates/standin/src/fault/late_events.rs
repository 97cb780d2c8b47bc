//! Fault `late-events`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static LATE_EVENTS: fault::Fault = fault::Fault {
    name: "late-events",
    help: "Cache events become visible late; value: milliseconds.",
    default: 1000,
    apply: |state, switch| state.event_delay = switch.duration(),
};
