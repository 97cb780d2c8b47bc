//! Members of a zone, sent in full or as changes.
//!
//! The caller sends a hash of the identities and states of the members that it knows. If the
//! answering node has the same hash, the reply holds only newer heartbeats and changed demands;
//! otherwise it holds all members.

mod codec;

use std::{net, time};

use corneltrestle_kernel::lifecycle;
use corneltrestle_policy::id;
use xxhash_rust::xxh3;

pub(super) use codec::{Names, decode, encode, state, state_number};

/// Demand of each organisation in requests: those in progress, those waiting and the arrivals of
/// about the last second. An absent organisation has none.
pub type Demand = Vec<(id::Organisation, u32)>;

/// A node that is a member of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub id: id::Node,
    /// Random identifier of its start.
    pub boot: u64,
    /// Its heartbeat counter, which only the node itself increments.
    pub heartbeat: u64,
    /// Time since the counter reached this value; encoded in whole milliseconds.
    pub age: time::Duration,
    /// Stage of its process; one that this version does not know is decoded as `Starting`.
    pub state: lifecycle::Stage,
    /// Address of its link.
    pub address: net::SocketAddr,
    /// Demand at this node.
    pub demand: Demand,
}

/// A borrowed [`Member`], with the heartbeat at which its demand last changed.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// The node.
    pub id: &'a id::Node,
    /// Random identifier of its start.
    pub boot: u64,
    /// Its heartbeat counter.
    pub heartbeat: u64,
    /// Time since the counter reached this value.
    pub age: time::Duration,
    /// Stage of its process.
    pub state: lifecycle::Stage,
    /// Address of its link.
    pub address: net::SocketAddr,
    /// Demand at this node.
    pub demand: &'a [(id::Organisation, u32)],
    /// Heartbeat counter that came with the present demand.
    pub changed: u64,
}

/// What the caller of a pull knows of a zone's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRoster {
    /// The zone.
    pub zone: id::Zone,
    /// Hash of id, boot, address and state of the members in the order of their ids.
    pub hash: u64,
    /// Their heartbeat counters in the order of their ids.
    pub heartbeats: Vec<u64>,
}

/// What the answering node knows of a zone's members and the caller does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// The zone.
    pub zone: id::Zone,
    /// As in [`KnownRoster`], of the members that the answering node knows.
    pub hash: u64,
    /// All members, or only what changed.
    pub members: Members,
}

/// Members in the reply to a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Members {
    /// All of them in the order of their ids, because the caller's hash differs.
    All(Vec<Member>),
    /// Those with a newer heartbeat than the caller's, in the order of their ids.
    Newer(Vec<Heartbeat>),
}

/// A heartbeat that is newer than the one the caller knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Position of the member in [`KnownRoster::heartbeats`].
    pub position: usize,
    /// Difference between its counter and the one that the caller sent; at least 1.
    pub advance: u64,
    /// Time since the counter reached its value; `None` if longer than 12.7 s.
    pub age: Option<time::Duration>,
    /// The complete demand, if it changed after the heartbeat that the caller sent.
    pub demand: Option<Demand>,
}

impl Member {
    /// Borrows the member; its demand counts as changed at the present heartbeat.
    pub fn view(&self) -> MemberView<'_> {
        MemberView {
            id: &self.id,
            boot: self.boot,
            heartbeat: self.heartbeat,
            age: self.age,
            state: self.state,
            address: self.address,
            demand: &self.demand,
            changed: self.heartbeat,
        }
    }
}

impl MemberView<'_> {
    fn to_member(self) -> Member {
        Member {
            id: self.id.clone(),
            boot: self.boot,
            heartbeat: self.heartbeat,
            age: self.age,
            state: self.state,
            address: self.address,
            demand: self.demand.to_vec(),
        }
    }
}

impl KnownRoster {
    /// Summarises the members of `zone` that the caller knows, given in the order of their ids.
    pub fn new(zone: &id::Zone, members: &[MemberView<'_>]) -> Self {
        let heartbeats = members.iter().map(|member| member.heartbeat).collect();
        Self { zone: zone.clone(), hash: hash(members), heartbeats }
    }
}

impl Roster {
    /// Selects what a caller that knows `known` lacks; `members` are in the order of their ids.
    pub fn answer(zone: &id::Zone, members: &[MemberView<'_>], known: &KnownRoster) -> Self {
        let hash = hash(members);
        let is_known = hash == known.hash && members.len() == known.heartbeats.len();
        let members = if is_known {
            let pairs = members.iter().zip(&known.heartbeats).enumerate();
            Members::Newer(
                pairs.filter_map(|(n, (member, seen))| newer(n, member, *seen)).collect(),
            )
        } else {
            Members::All(members.iter().map(|member| member.to_member()).collect())
        };
        Self { zone: zone.clone(), hash, members }
    }
}

/// The heartbeat of `member` if it is newer than `seen`.
fn newer(position: usize, member: &MemberView<'_>, seen: u64) -> Option<Heartbeat> {
    let advance = member.heartbeat.checked_sub(seen).filter(|advance| *advance > 0)?;
    let demand = (member.changed > seen).then(|| member.demand.to_vec());
    Some(Heartbeat { position, advance, age: Some(member.age), demand })
}

/// Hash of id, boot, address and state of the members, which change rarely.
fn hash(members: &[MemberView<'_>]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for member in members {
        let id = member.id.as_str().as_bytes();
        hasher.update(&(id.len() as u64).to_le_bytes());
        hasher.update(id);
        hasher.update(&member.boot.to_le_bytes());
        hasher.update(&[codec::state_number(member.state) as u8]);
        hasher.update(&super::check::address_bytes(member.address));
    }
    hasher.digest()
}
