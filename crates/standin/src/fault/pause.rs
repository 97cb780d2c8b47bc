//! Fault `pause`.

use corneltrestle_kernel::linkme::distributed_slice;

use super::{FAULTS, Fault};

#[distributed_slice(FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static PAUSE: Fault = Fault {
    name: "pause",
    help: "Nothing is answered until it is switched off; a replica with a paused VM is dead.",
    default: 0,
    apply: |knobs, switch| knobs.paused = switch.on,
};
