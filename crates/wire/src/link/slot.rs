//! Use of a peer's warm-up slots.
//!
//! Slots limit the requests in progress at a replica that has started recently. They are divided
//! among the nodes that may route to it, and a node without a free slot borrows one from a peer.

use std::time;

use corneltrestle_policy::id;

use super::{Result, check, error, generated};
use crate::link;

/// Asks for one of the answering node's warm-up slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The calling node.
    pub node: id::Node,
    /// The replica that the caller wants to send a request to.
    pub replica: id::Replica,
    /// Epoch of the replica as the caller knows it.
    pub epoch: u64,
    /// Start id of the replica's head VM as the caller knows it.
    pub start: u64,
    /// Longest time that the caller uses the slot; encoded in whole milliseconds.
    pub left: time::Duration,
}

/// Number of a lent slot, with which the caller returns it; `None` if no slot is free.
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
