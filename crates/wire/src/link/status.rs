//! State of nodes, shown to operators.

use std::time;

use corneltrestle_kernel::lifecycle;
use corneltrestle_policy::id;

use super::{Result, check, error, generated, roster};
use crate::link;

/// Asks a node for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusRequest {
    /// Whether the node also asks the other nodes of its zone and includes their state.
    pub is_zone: bool,
}

/// The state of one node, or of the nodes of its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReply {
    /// The answering node first.
    pub nodes: Vec<NodeStatus>,
}

/// The state of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The node.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// Whether the node answered; if not, `stage` is the last known one and the numbers are 0.
    pub is_reached: bool,
    /// Stage of its process.
    pub stage: lifecycle::Stage,
    /// Revision of the release that it uses.
    pub revision: u64,
    /// Time since the store, directly or through peers, last confirmed that no newer revision
    /// exists; encoded in whole milliseconds.
    pub watch_age: time::Duration,
    /// Number of replicas in its zone.
    pub replicas: u32,
    /// Number of those that may take requests.
    pub serving: u32,
}

impl From<StatusRequest> for generated::StatusRequest {
    fn from(request: StatusRequest) -> Self {
        Self { version: link::VERSION, zone: request.is_zone }
    }
}

impl From<generated::StatusRequest> for StatusRequest {
    fn from(request: generated::StatusRequest) -> Self {
        Self { is_zone: request.zone }
    }
}

impl From<StatusReply> for generated::StatusReply {
    fn from(reply: StatusReply) -> Self {
        let encode = |node: NodeStatus| generated::NodeStatus {
            node: node.node.to_string(),
            zone: node.zone.to_string(),
            reached: node.is_reached,
            stage: roster::state_number(node.stage),
            revision: node.revision,
            watch_age_ms: check::millis(node.watch_age),
            replicas: node.replicas,
            serving: node.serving,
        };
        Self { version: link::VERSION, nodes: reply.nodes.into_iter().map(encode).collect() }
    }
}

impl TryFrom<generated::StatusReply> for StatusReply {
    type Error = error::Error;

    fn try_from(reply: generated::StatusReply) -> Result<Self> {
        let decode = |node: generated::NodeStatus| {
            Ok(NodeStatus {
                node: check::name("status.node", &node.node)?,
                zone: check::name("status.zone", &node.zone)?,
                is_reached: node.reached,
                stage: roster::state(node.stage),
                revision: node.revision,
                watch_age: time::Duration::from_millis(u64::from(node.watch_age_ms)),
                replicas: node.replicas,
                serving: node.serving,
            })
        };
        Ok(Self { nodes: check::list("status.nodes", reply.nodes, link::MAX_MEMBERS, decode)? })
    }
}
