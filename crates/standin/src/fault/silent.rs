//! Fault `silent`.

use corneltrestle_kernel::linkme::distributed_slice;

use super::{FAULTS, Fault};

#[distributed_slice(FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static SILENT: Fault = Fault {
    name: "silent",
    help: "Connections that are open now fall silent for good; new ones work.",
    default: 0,
    apply: |knobs, switch| knobs.silenced += u64::from(switch.on),
};
