//! News that cannot wait for the next pull.

use corneltrestle_policy::id;

use super::{
    Result, check,
    error::{self, Kind},
    generated,
};
use crate::link;

/// News for a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The node that sends it.
    pub node: id::Node,
    /// The news.
    pub kind: UpdateKind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// A release was accepted.
    Revision {
        /// Its revision.
        revision: u64,
    },
    /// A member VM of a replica was lost.
    Loss {
        /// The VM's zone.
        zone: id::Zone,
        /// The VM.
        vm: id::Vm,
        /// The replica of which it was a member.
        replica: id::Replica,
        /// The epoch of that membership.
        epoch: u64,
    },
    /// A node drains and then leaves.
    Drain {
        /// The node.
        node: id::Node,
        /// Random identifier of its start.
        boot: u64,
    },
}

/// The answer to news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ack {
    /// Whether the receiver did not know the news before.
    pub is_fresh: bool,
}

impl From<Update> for generated::News {
    fn from(news: Update) -> Self {
        use generated::news::Kind;
        let kind = match news.kind {
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
        Self { version: link::VERSION, node: news.node.to_string(), kind: Some(kind) }
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
            // A newer node may have sent a kind that this version does not know.
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
