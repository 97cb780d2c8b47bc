//! Updates that a node pushes to peers at once, because they cannot wait for the next pull.

use corneltrestle_policy::id;

use super::{
    Result, check,
    error::{self, Kind},
    generated,
};
use crate::link;

/// An update pushed to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The node that sends it; not always the one that learned it first.
    pub node: id::Node,
    /// What happened.
    pub kind: UpdateKind,
}

/// The event that an update reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// A new release was accepted.
    Revision {
        /// Revision of the release.
        revision: u64,
    },
    /// A member VM of a replica was lost.
    Loss {
        /// Zone of the VM.
        zone: id::Zone,
        /// The lost VM.
        vm: id::Vm,
        /// The replica that the VM was a member of.
        replica: id::Replica,
        /// Epoch of the replica when the VM was a member.
        epoch: u64,
    },
    /// A node is draining: it takes no new requests and stops when those in progress end.
    Drain {
        /// The draining node.
        node: id::Node,
        /// Random number drawn at the start of its process.
        boot: u64,
    },
}

/// The reply to an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ack {
    /// Whether the update was new to the receiver.
    pub is_fresh: bool,
}

impl From<Update> for generated::News {
    fn from(update: Update) -> Self {
        use generated::news::Kind;
        let kind = match update.kind {
            UpdateKind::Revision { revision } => {
                Kind::Revision(generated::NewRevision { revision })
            }
            UpdateKind::Loss { zone, vm, replica, epoch } => Kind::Loss(generated::VmLoss {
                zone: zone.to_string(),
                vm: vm.to_string(),
                set: replica.set.to_string(),
                index: u32::from(replica.index),
                epoch,
            }),
            UpdateKind::Drain { node, boot } => {
                Kind::Drain(generated::NodeDrain { node: node.to_string(), boot })
            }
        };
        Self { version: link::VERSION, node: update.node.to_string(), kind: Some(kind) }
    }
}

impl TryFrom<generated::News> for Update {
    type Error = error::Error;

    fn try_from(news: generated::News) -> Result<Self> {
        use generated::news;
        let kind = match news.kind {
            Some(news::Kind::Revision(new)) => UpdateKind::Revision { revision: new.revision },
            Some(news::Kind::Loss(loss)) => decode_loss(&loss)?,
            Some(news::Kind::Drain(drain)) => UpdateKind::Drain {
                node: check::name("drain.node", &drain.node)?,
                boot: drain.boot,
            },
            // Either no kind, or one of a newer version that this one does not know.
            None => return Err(error::Error { field: "news.kind", kind: Kind::Missing }),
        };
        Ok(Self { node: check::name("news.node", &news.node)?, kind })
    }
}

fn decode_loss(loss: &generated::VmLoss) -> Result<UpdateKind> {
    let index = u16::try_from(loss.index)
        .map_err(|_| error::Error::invalid("loss.index", "a number of 16 bits"))?;
    Ok(UpdateKind::Loss {
        zone: check::name("loss.zone", &loss.zone)?,
        vm: check::name("loss.vm", &loss.vm)?,
        replica: id::Replica { set: check::name("loss.set", &loss.set)?, index },
        epoch: loss.epoch,
    })
}

impl From<Ack> for generated::Ack {
    fn from(ack: Ack) -> Self {
        Self { version: link::VERSION, fresh: ack.is_fresh }
    }
}

impl From<generated::Ack> for Ack {
    fn from(ack: generated::Ack) -> Self {
        Self { is_fresh: ack.fresh }
    }
}
