//! Fault `wrong-id`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static WRONG_ID: fault::Fault = fault::Fault {
    name: "wrong-id",
    help: "Responses carry another request's id; value: index of the first event that does, 0 for headers too.",
    default: 0,
    apply: |state, switch| state.wrong_id = switch.enabled_value(),
};
