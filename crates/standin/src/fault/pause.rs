//! Fault `pause`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static PAUSE: fault::Fault = fault::Fault {
    name: "pause",
    help: "Nothing is answered until it is switched off; a replica with a paused VM is dead.",
    default: 0,
    apply: |state, switch| state.paused = switch.on,
};
