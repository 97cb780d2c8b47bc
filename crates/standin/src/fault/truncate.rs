//! Fault `truncate`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static TRUNCATE: fault::Fault = fault::Fault {
    name: "truncate",
    help: "A body is cut in its middle; value: number of frames that a stream sends before.",
    default: 1,
    apply: |state, switch| state.cut_after = switch.enabled_value(),
};
