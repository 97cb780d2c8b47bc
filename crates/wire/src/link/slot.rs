//! Loans of warm-up slots.

use std::time;

use corneltrestle_policy::id;

use super::{Result, check, error, generated};
use crate::link;

/// A request for the use of one of the answering node's warm-up slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The calling node.
    pub node: id::Node,
    /// The replica.
    pub replica: id::Replica,
    /// Its epoch.
    pub epoch: u64,
    /// Start id of its head VM.
    pub start: u64,
    /// Longest use; in whole milliseconds on the wire.
    pub left: time::Duration,
}

/// The number of a loan, or `None` if the answering node has no free slot.
pub type Loan = Option<u64>;

impl From<SlotRequest> for generated::SlotRequest {
    fn from(request: SlotRequest) -> Self {
        Self {
            version: link::VERSION,
            node: request.node.to_string(),
            set: request.replica.set.to_string(),
            index: request.replica.index.into(),
            epoch: request.epoch,
            start: request.start,
            left_ms: u64::from(check::millis(request.left)),
        }
    }
}

impl TryFrom<generated::SlotRequest> for SlotRequest {
    type Error = error::Error;

    fn try_from(request: generated::SlotRequest) -> Result<Self> {
        let index = u16::try_from(request.index)
            .map_err(|_| error::Error::invalid("slot.index", "a number of 16 bits"))?;
        Ok(Self {
            node: check::name("slot.node", &request.node)?,
            replica: id::Replica { set: check::name("slot.set", &request.set)?, index },
            epoch: request.epoch,
            start: request.start,
            left: time::Duration::from_millis(request.left_ms),
        })
    }
}
