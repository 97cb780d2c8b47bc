//! Fault `pause`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static PAUSE: fault::Fault = fault::Fault {
    name: "pause",
    help: "No call is answered until switched off; a replica with a paused VM fails its requests.",
    default: 0,
    apply: |state, switch| state.paused = switch.on,
};
