//! Fault `lease-lapse`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static LEASE_LAPSE: fault::Fault = fault::Fault {
    name: "lease-lapse",
    help: "All leases expire at once and their keys are deleted.",
    default: 0,
    apply: |state, switch| state.lease_expiries += u64::from(switch.on),
};
