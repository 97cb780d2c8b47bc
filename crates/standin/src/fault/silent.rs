//! Fault `silent`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static SILENT: fault::Fault = fault::Fault {
    name: "silent",
    help: "Connections that are open now stay open but never respond again; new ones work.",
    default: 0,
    apply: |state, switch| state.silenced += u64::from(switch.on),
};
