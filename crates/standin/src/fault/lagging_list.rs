//! Fault `lagging-list`.

use std::time;

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static LAGGING_LIST: fault::Fault = fault::Fault {
    name: "lagging-list",
    help: "Changes of the VM list become visible late; value: milliseconds.",
    default: 5000,
    apply: |state, switch| state.list_lag = switch.enabled_value().map(time::Duration::from_millis),
};
