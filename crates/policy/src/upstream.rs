//! Upstreams as they register themselves: plain servers and the VMs of model engines.

use std::{net, time};

use crate::id;

/// One start of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Upstream {
    /// Its identifier, under which it answers.
    pub id: id::Vm,
    /// The service that it serves.
    pub service: id::Service,
    /// Where it answers.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Version of its software.
    pub version: String,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it is cold, counted from when the entry was written.
    #[serde(rename = "cold")]
    pub cold_left: time::Duration,
    /// Identifier of its start: the time of it in milliseconds since the Unix epoch, 0 if unknown.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// What concerns its model engine, if it has one.
    pub engine: Option<Engine>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// The model engine of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Engine {
    /// Fabric domain; VMs of one domain are connected by a fast network.
    pub fabric: Option<id::Fabric>,
    /// Models whose weights its host holds.
    pub staged: Vec<id::Model>,
    /// The group that it is a member of.
    pub member: Option<Member>,
    /// The models that it serves or loads.
    pub models: Vec<id::Model>,
}

/// Membership of a group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// The group.
    pub group: id::Group,
    /// Epoch of the membership.
    pub epoch: u64,
    /// Place in the list of members; 0 for the head, which takes requests.
    pub rank: u32,
    /// Progress of this member, or of the group if it is the head.
    pub state: MemberState,
}

/// Progress of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It loads or connects.
    Joining,
    /// It has joined.
    Ready,
    /// The head serves.
    Open,
    /// The head finishes what it has.
    Closing,
    /// The head has noticed the loss of a member.
    Broken,
}
