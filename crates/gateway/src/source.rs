//! The source of what a deployment declares and of what registers itself.

use std::{net, sync, time};

use corneltrestle_infra::store;
use corneltrestle_policy::{deployment, id, upstream};

/// The result of a call to the source.
pub type Result<T> = store::Result<T>;

/// What a fact is about; there is at most one fact about each subject.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// The declared state.
    Deployment,
    /// The evacuation of an availability zone.
    Evacuation(id::Zone),
    /// An upstream.
    Upstream(id::Vm),
    /// A node of this system.
    Node(id::Node),
    /// The node that forms groups.
    Coordinator,
}

/// A fact.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fact {
    /// The declared state.
    Deployment(Box<deployment::Deployment>),
    /// Nothing new may be sent to the zone.
    Evacuated,
    /// The upstream as it registered itself.
    Upstream(sync::Arc<upstream::Upstream>),
    /// The node as it registered itself.
    Node(Node),
    /// The node that holds the lease of the coordinator.
    Coordinator(Holder),
}

/// The holder of the coordinator's lease. The revision at which it was written is the fencing token.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Holder {
    /// The node.
    pub node: id::Node,
    /// Identifier of its process.
    pub boot: u64,
}

/// A node of this system.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Node {
    /// Availability zone.
    pub zone: id::Zone,
    /// Address on which it hears other nodes.
    pub address: net::SocketAddr,
    /// Random identifier of its process.
    pub boot: u64,
    /// Memory of its VM in MiB; larger VMs have more processor time as well.
    #[serde(default)]
    pub memory: u64,
}

/// A change of one fact.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// Its revision; grows with each change of any fact.
    pub revision: u64,
    /// What it is about.
    pub subject: Subject,
    /// The fact from now on; `None` if there is none any more, or none that can be used.
    pub fact: Option<Fact>,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Changes {
    /// Revision from which to go on.
    #[serde(rename = "at")]
    pub revision: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Where facts come from.
pub trait Source: Send + Sync + 'static {
    /// All present facts, each as a change, and the revision from which to follow them.
    fn load(&self) -> impl Future<Output = Result<Changes>> + Send;

    /// The changes after revision `after`, as soon as there is one and at the latest after `wait`.
    ///
    /// # Errors
    ///
    /// [`store::Kind::Compacted`] when the changes are no longer known; facts are then loaded anew.
    fn changes(
        &self,
        after: u64,
        wait: time::Duration,
    ) -> impl Future<Output = Result<Changes>> + Send;

    /// Key under which a node registers itself; its value is the JSON form of [`Node`].
    fn node_key(id: &id::Node) -> String;

    /// Key of the coordinator's lease; its value is the JSON form of [`Holder`].
    fn coordinator_key() -> &'static str;
}

/// The form in which a value of this system is stored.
pub(crate) fn encode(step: &'static str, value: &impl serde::Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|e| store::Error {
        kind: store::Kind::NotSent,
        step,
        peer: "this node".to_owned(),
        cause: e.to_string(),
    })
}
