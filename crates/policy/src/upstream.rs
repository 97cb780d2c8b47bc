//! Registrations that upstreams publish about themselves: plain servers and VMs of model engines.

use std::{net, time};

use crate::id;

/// Registration of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Upstream {
    /// Identifier; the upstream rejects requests that are addressed to another one.
    pub id: id::Vm,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Software version.
    pub version: String,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Remaining time of its cold start, counted from when the registration was written; zero if it
    /// is warm.
    #[serde(rename = "cold")]
    pub cold_left: time::Duration,
    /// Start time of the process in milliseconds since the Unix epoch, 0 if unknown. It tells a
    /// restarted upstream from the earlier process with the same identifier.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Registration of its model engine; `None` for a plain server.
    pub engine: Option<Engine>,
}

impl Upstream {
    /// Whether `other`, a registration of the same upstream, is known to be later than this one, or
    /// equal to it, where one of them was read from a store that has come back from an earlier copy.
    ///
    /// Revisions do not tell, but what upstreams say of themselves does: processes start one after the
    /// other, none takes new work again after it has begun to drain, and the epochs of groups
    /// increase. An upstream without a group may have left one or not have joined one.
    pub fn is_succeeded_by(&self, other: &Self) -> bool {
        if self.incarnation != other.incarnation {
            return other.incarnation > self.incarnation;
        }
        let epoch = |upstream: &Self| Some(upstream.engine.as_ref()?.member.as_ref()?.epoch);
        match (self.state, other.state) {
            (State::Ready, State::Draining) => true,
            (State::Draining, State::Ready) => false,
            _ => epoch(self).is_some_and(|own| epoch(other) > Some(own)) || self == other,
        }
    }

    /// This registration with what holds on from an earlier one of the same process: that it drains,
    /// and that it stays cold for `cold_left`.
    pub fn continued_from(&self, earlier: &Self, cold_left: time::Duration) -> Self {
        let mut continued = self.clone();
        if self == earlier {
            continued.cold_left = cold_left;
        } else if self.incarnation == earlier.incarnation {
            continued.cold_left = self.cold_left.max(cold_left);
            if earlier.state == State::Draining {
                continued.state = State::Draining;
            }
        }
        continued
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests and then stops.
    Draining,
}

/// What an upstream registers about its model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Engine {
    /// Fabric domain; VMs of one domain are connected by a fast network.
    pub fabric: Option<id::Fabric>,
    /// Models whose weights are staged on the VM's host, so that the VM can join a group without
    /// loading them from the weight store.
    pub staged: Vec<id::Model>,
    /// Its membership in a group; `None` if it is in none.
    pub member: Option<Member>,
    /// Models that it serves or is loading.
    pub models: Vec<id::Model>,
}

/// Membership in a group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// Name of the group.
    pub group: id::Group,
    /// Epoch of the membership; a group with the same name and another epoch is a different group.
    pub epoch: u64,
    /// Index in the list of members; 0 for the head, which receives the requests of the group.
    pub rank: u32,
    /// State of this member; of the whole group if it is the head.
    pub state: MemberState,
}

/// State of a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It loads the model or connects to the other members.
    Joining,
    /// It has joined; the group does not serve yet, or the member is not the head.
    Ready,
    /// The group serves; set by the head only.
    Open,
    /// The group finishes its running requests and accepts no new ones; set by the head only.
    Closing,
    /// The head has detected the loss of a member.
    Broken,
}
