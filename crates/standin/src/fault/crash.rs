//! Fault `crash`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static CRASH: fault::Fault = fault::Fault {
    name: "crash",
    help: "The VM is gone: its port is closed and its connections break; off: it starts again, empty.",
    default: 0,
    apply: |knobs, switch| {
        if switch.on && !knobs.crashed {
            knobs.broken += 1;
        } else if !switch.on && knobs.crashed {
            knobs.wipes += 1;
        }
        knobs.crashed = switch.on;
    },
};
