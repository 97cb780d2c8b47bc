//! Fault `answer-lost`.

use corneltrestle_kernel::linkme::distributed_slice;

use crate::fault;

#[distributed_slice(fault::FAULTS)]
#[linkme(crate = corneltrestle_kernel::linkme)]
static ANSWER_LOST: fault::Fault = fault::Fault {
    name: "answer-lost",
    help: "A write takes effect, then the connection closes without a response; value: number of writes.",
    default: 1,
    apply: |state, switch| state.lost_responses = switch.value_or_zero(),
};
