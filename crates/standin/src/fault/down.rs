//! Fault `down`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static DOWN: fault::Fault = fault::Fault {
    name: "down",
    help: "Every call fails; value: the HTTP status, or 0 to close the port and all connections.",
    default: 503,
    apply: |state, switch| {
        let refusing = switch.enabled_value() == Some(0);
        state.disconnects += u64::from(refusing);
        state.refusing = refusing;
        state.status = switch.enabled_value().filter(|v| *v != 0).map(|v| {
            u16::try_from(v)
                .ok()
                .and_then(|v| hyper::StatusCode::from_u16(v).ok())
                .unwrap_or(hyper::StatusCode::SERVICE_UNAVAILABLE)
        });
    },
};
