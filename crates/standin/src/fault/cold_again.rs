//! Fault `cold-again`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static COLD_AGAIN: fault::Fault = fault::Fault {
    name: "cold-again",
    help: "The engine restarts: new start id, empty cache, the model still loaded.",
    default: 0,
    apply: |state, switch| {
        if switch.on {
            state.restarts += 1;
            state.disconnects += 1;
        }
    },
};
