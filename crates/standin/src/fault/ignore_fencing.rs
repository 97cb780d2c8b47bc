//! Fault `ignore-fencing`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static IGNORE_FENCING: fault::Fault = fault::Fault {
    name: "ignore-fencing",
    help: "The engine accepts orders with an old fencing token.",
    default: 0,
    apply: |state, switch| state.unfenced = switch.on,
};
