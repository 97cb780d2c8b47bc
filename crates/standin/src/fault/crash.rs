//! Fault `crash`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static CRASH: fault::Fault = fault::Fault {
    name: "crash",
    help: "The VM is down: its port and connections are closed; off: it starts again without any state.",
    default: 0,
    apply: |state, switch| {
        if switch.on && !state.crashed {
            state.disconnects += 1;
        } else if !switch.on && state.crashed {
            state.resets += 1;
        }
        state.crashed = switch.on;
    },
};
