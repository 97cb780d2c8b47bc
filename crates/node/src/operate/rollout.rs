//! The rollout of an accepted note: in which zones its revision is in force.

use corneltrestle_infra::store::{self, Store};
use corneltrestle_policy::{adoption, id, release};
use corneltrestle_wire::{key, link as wire, stored};

use super::survey;
use crate::link::Link;

/// The result of looking up a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The note was accepted.
    Accepted(Rollout),
    /// The newest release in the store lists no note with this id.
    Unknown,
    /// The store cannot be read, and this node's release does not list the note.
    Unavailable {
        /// Why the store cannot be read.
        cause: String,
    },
}

/// An accepted note with the state of its revision in every zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rollout {
    /// Id of the note.
    pub id: String,
    /// The revision that the note led to.
    pub revision: u64,
    /// The state of every zone.
    pub zones: Vec<ZoneRollout>,
}

/// The rollout of a revision in one zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ZoneRollout {
    /// Id of the zone.
    pub zone: id::Zone,
    /// Whether the revision is in force there.
    pub state: State,
    /// The nodes that are behind, or that did not answer.
    pub nodes: Vec<id::Node>,
}

/// Whether a revision is in force in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Every node of the zone has adopted it or a later one.
    InForce,
    /// Some nodes have an older revision.
    Behind,
    /// Not all nodes answered, or the zone has none.
    Unreachable,
}

impl Rollout {
    /// Whether the revision is in force in every zone.
    pub fn is_in_force(&self) -> bool {
        self.zones.iter().all(|zone| zone.state == State::InForce)
    }
}

/// Looks a note up and asks the nodes of all zones for their revision.
pub async fn find<S: Store, L: Link>(store: &S, survey: &survey::Survey<L>, id: &str) -> Found {
    let note = match find_in_store(store, id).await {
        Ok(note) => note,
        // The adopted release lists the accepted notes too, and an accepted note stays accepted.
        Err(cause) => match find_note(&survey.tables.current.load(), id) {
            Some(note) => Some(note),
            None => return Found::Unavailable { cause },
        },
    };
    let Some(note) = note else { return Found::Unknown };
    let zones = survey.zones().await;
    let zones =
        zones.iter().map(|(zone, nodes)| zone_rollout(zone, nodes, note.revision)).collect();
    Found::Accepted(Rollout { id: note.id, revision: note.revision, zones })
}

async fn find_in_store<S: Store>(store: &S, id: &str) -> Result<Option<release::Note>, String> {
    let found = store.read(key::head(), store::Class::Config).await.map_err(|e| e.to_string())?;
    let Some(head) = found else { return Ok(None) };
    let release = stored::decode(key::head(), &head.value).map_err(|e| e.to_string())?;
    Ok(find_note(&release, id))
}

fn find_note(release: &release::Release, id: &str) -> Option<release::Note> {
    release.notes.iter().find(|note| note.id == id).cloned()
}

fn zone_rollout(zone: &id::Zone, nodes: &[wire::NodeStatus], revision: u64) -> ZoneRollout {
    let replies: Vec<_> = nodes
        .iter()
        .map(|node| adoption::Reply {
            node: &node.node,
            revision: node.is_reached.then_some(node.revision),
        })
        .collect();
    let (state, nodes) = match adoption::rollout(revision, &replies) {
        adoption::Rollout::InForce => (State::InForce, Vec::new()),
        adoption::Rollout::Behind(nodes) => (State::Behind, nodes),
        adoption::Rollout::Unreachable(nodes) => (State::Unreachable, nodes),
    };
    ZoneRollout { zone: zone.clone(), state, nodes: nodes.into_iter().cloned().collect() }
}
