//! Members of a zone: complete if the caller's view differs, else only newer heartbeats.

mod codec;

use std::{net, time};

use corneltrestle_kernel::lifecycle;
use corneltrestle_policy::id;
use xxhash_rust::xxh3;

pub(super) use codec::{Names, decode, encode, state, state_number};

/// Demand of an organisation in requests a second; absent organisations have none.
pub type Demand = Vec<(id::Organisation, u32)>;

/// A member as its zone's nodes know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub id: id::Node,
    /// Random identifier of its start.
    pub boot: u64,
    /// Its heartbeat counter.
    pub heartbeat: u64,
    /// Age of that heartbeat; in whole milliseconds on the wire.
    pub age: time::Duration,
    /// Its run state; one that this version does not know is read as `Starting`.
    pub state: lifecycle::Stage,
    /// Address of its link.
    pub address: net::SocketAddr,
    /// Its demand.
    pub demand: Demand,
}

/// A borrowed member with the heartbeat at which its demand last changed.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// The node.
    pub id: &'a id::Node,
    /// Random identifier of its start.
    pub boot: u64,
    /// Its heartbeat counter.
    pub heartbeat: u64,
    /// Age of that heartbeat.
    pub age: time::Duration,
    /// Its run state.
    pub state: lifecycle::Stage,
    /// Address of its link.
    pub address: net::SocketAddr,
    /// Its demand.
    pub demand: &'a [(id::Organisation, u32)],
    /// Heartbeat counter with which the present demand became known.
    pub changed: u64,
}

/// What the caller of a pull knows of a zone's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownRoster {
    /// The zone.
    pub zone: id::Zone,
    /// Hash of what rarely changes of its members.
    pub hash: u64,
    /// Their heartbeat counters in the order of their ids.
    pub heartbeats: Vec<u64>,
}

/// What the answering node knows of a zone's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// The zone.
    pub zone: id::Zone,
    /// Hash of what rarely changes of its members.
    pub hash: u64,
    /// The members.
    pub members: Members,
}

/// Members in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Members {
    /// All of them in the order of their ids; the caller's hash was another one.
    All(Vec<Member>),
    /// Those with a newer heartbeat than the caller knows, in the same order.
    Newer(Vec<Heartbeat>),
}

/// A newer heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Position of the member in the heartbeats that the caller sent.
    pub position: usize,
    /// How far its counter is ahead of the one that the caller sent; at least 1.
    pub advance: u64,
    /// Age of the heartbeat; `None` if longer than 12.7 s.
    pub age: Option<time::Duration>,
    /// Its whole new demand, if it changed after the caller's heartbeat.
    pub demand: Option<Demand>,
}

impl Member {
    /// The borrowed form; the demand counts as changed with the present heartbeat.
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
    /// What a node knows of the members of `zone`, given in the order of their ids.
    pub fn new(zone: &id::Zone, members: &[MemberView<'_>]) -> Self {
        let heartbeats = members.iter().map(|member| member.heartbeat).collect();
        Self { zone: zone.clone(), hash: hash(members), heartbeats }
    }
}

impl Roster {
    /// The answer to a caller that knows `known`; `members` are in the order of their ids.
    pub fn answer(zone: &id::Zone, members: &[MemberView<'_>], known: &KnownRoster) -> Self {
        let hash = hash(members);
        let is_known = hash == known.hash && members.len() == known.heartbeats.len();
        let members = if is_known {
            let pairs = members.iter().zip(&known.heartbeats).enumerate();
            Members::Newer(pairs.filter_map(|(n, (member, seen))| beat(n, member, *seen)).collect())
        } else {
            Members::All(members.iter().map(|member| member.to_member()).collect())
        };
        Self { zone: zone.clone(), hash, members }
    }
}

fn beat(position: usize, member: &MemberView<'_>, seen: u64) -> Option<Heartbeat> {
    let advance = member.heartbeat.checked_sub(seen).filter(|advance| *advance > 0)?;
    let demand = (member.changed > seen).then(|| member.demand.to_vec());
    Some(Heartbeat { position, advance, age: Some(member.age), demand })
}

/// Hash of id, boot, address and state of the members.
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
