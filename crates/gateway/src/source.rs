//! Facts of the platform and where they come from: the configuration, evacuations, registrations
//! and the holder of the coordinator's lease.

use std::{net, sync, time};

use corneltrestle_infra::store;
use corneltrestle_policy::{deployment, id, revision, upstream};

/// The result of a call to the source.
pub type Result<T> = store::Result<T>;

/// What a fact is about; there is at most one fact per subject.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// The configuration of the deployment.
    Deployment,
    /// Whether an availability zone is evacuated.
    Evacuation(id::Zone),
    /// The registration of an upstream.
    Upstream(id::Vm),
    /// The registration of an entry node.
    Node(id::Node),
    /// The coordinator of serving groups.
    Coordinator,
}

/// One entry of the platform's state.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fact {
    /// The configuration of the deployment.
    Deployment(sync::Arc<deployment::Deployment>),
    /// The zone is evacuated: no new requests may be sent to it.
    Evacuated,
    /// An upstream as it registered itself.
    Upstream(sync::Arc<upstream::Upstream>),
    /// A node as it registered itself.
    Node(Node),
    /// The holder of the coordinator's lease.
    Coordinator(Holder),
    /// What has changed in the configuration since its previous version. Only between nodes.
    Patch(sync::Arc<deployment::Patch>),
}

/// The holder of the coordinator's lease. The fencing token follows from the revision at which it
/// was written, see [`revision::Revision::token`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Holder {
    /// Name of the node.
    pub node: id::Node,
    /// Random identifier of the node's process.
    pub boot: u64,
}

/// The registration of an entry node.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Node {
    /// Availability zone in which it runs.
    pub zone: id::Zone,
    /// UDP address on which it receives datagrams of other nodes.
    pub address: net::SocketAddr,
    /// Random identifier of its process.
    pub boot: u64,
    /// Memory of its VM in MiB; 0 if unknown. VMs with more memory have more processor time as
    /// well.
    #[serde(default)]
    pub memory: u64,
}

/// A change of one fact.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// Its revision within the era of the [`Changes`] that it belongs to; increases with each change
    /// of any fact.
    pub revision: u64,
    /// The fact's subject.
    pub subject: Subject,
    /// The new fact; `None` if it was removed, or its new value is invalid.
    pub fact: Option<Fact>,
}

/// Changes of one era up to a revision.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Changes {
    /// Revision up to which the changes are complete, and from which to go on.
    #[serde(rename = "at")]
    pub revision: revision::Revision,
    /// The changes in the order of their revisions.
    pub changes: Vec<Change>,
}

/// The store from which facts are read and followed.
pub trait Source: Send + Sync + 'static {
    /// Loads all facts, each as a change, and the revision from which to follow them.
    fn load(&self) -> impl Future<Output = Result<Changes>> + Send;

    /// Waits for changes after revision `after`. Returns when there is one, or without changes
    /// after `wait`. Changes of a later era than that of `after` do not follow on it: all facts then
    /// have to be loaded again.
    ///
    /// # Errors
    ///
    /// [`store::Kind::Compacted`] when the store no longer keeps these changes; all facts then have
    /// to be loaded again.
    fn changes(
        &self,
        after: revision::Revision,
        wait: time::Duration,
    ) -> impl Future<Output = Result<Changes>> + Send;

    /// Key under which a node registers itself; its value is the JSON form of [`Node`].
    fn node_key(id: &id::Node) -> String;

    /// Key of the coordinator's lease; its value is the JSON form of [`Holder`].
    fn coordinator_key() -> &'static str;
}

/// Encodes a value that this system writes to the store, as JSON.
pub(crate) fn encode(step: &'static str, value: &impl serde::Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|e| store::Error {
        kind: store::Kind::NotSent,
        step,
        peer: "this node".to_owned(),
        cause: e.to_string(),
    })
}
