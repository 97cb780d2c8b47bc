//! Fault `truncate`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static TRUNCATE: fault::Fault = fault::Fault {
    name: "truncate",
    help: "Response bodies are cut in the middle; value: complete frames that a stream sends first.",
    default: 1,
    apply: |state, switch| state.cut_after = switch.enabled_value(),
};
