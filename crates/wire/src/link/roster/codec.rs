//! Conversion of rosters to and from their protobuf messages.

use std::time;

use corneltrestle_kernel::lifecycle;
use corneltrestle_policy::id;

use crate::link::{self, Result, age, check, error, generated, roster};

/// Names of organisations; each is written once in a message and demands refer to it by position.
#[derive(Debug, Default)]
pub(crate) struct Names {
    names: Vec<id::Organisation>,
}

impl Names {
    pub(crate) fn decode(names: &[String]) -> Result<Self> {
        check::at_most("digest.organisations", names.len(), link::MAX_ORGANISATIONS)?;
        let names = names.iter().map(|name| check::name("digest.organisations", name));
        Ok(Self { names: names.collect::<Result<_>>()? })
    }

    pub(crate) fn encode(self) -> Vec<String> {
        self.names.iter().map(ToString::to_string).collect()
    }

    fn position(&mut self, name: &id::Organisation) -> u32 {
        let found = self.names.iter().position(|known| known == name);
        let position = found.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        u32::try_from(position).unwrap_or(u32::MAX)
    }

    fn write(&mut self, demand: &roster::Demand) -> Vec<u32> {
        let given = demand.iter().filter(|(_, amount)| *amount > 0);
        given.flat_map(|(name, amount)| [self.position(name), *amount]).collect()
    }

    fn read(&self, field: &'static str, pairs: &[u32]) -> Result<roster::Demand> {
        let (pairs, rest) = pairs.as_chunks::<2>();
        check::exactly(field, rest.len(), 0)?;
        check::at_most(field, pairs.len(), link::MAX_ORGANISATIONS)?;
        let read = |[position, amount]: &[u32; 2]| {
            let name = self.names.get(*position as usize);
            let invalid = || error::Error::invalid(field, "positions in digest.organisations");
            Ok((name.ok_or_else(invalid)?.clone(), *amount))
        };
        pairs.iter().map(read).collect()
    }
}

pub(crate) const fn state_number(state: lifecycle::Stage) -> u32 {
    match state {
        lifecycle::Stage::Starting => 0,
        lifecycle::Stage::Ready => 1,
        lifecycle::Stage::Draining | lifecycle::Stage::Closing => 2,
        lifecycle::Stage::Stopped => 3,
    }
}

/// The state with this number. One that this version does not know becomes `Starting`, so that the
/// node gets no work.
pub(crate) const fn state(number: u32) -> lifecycle::Stage {
    match number {
        1 => lifecycle::Stage::Ready,
        2 => lifecycle::Stage::Draining,
        3 => lifecycle::Stage::Stopped,
        _ => lifecycle::Stage::Starting,
    }
}

impl From<roster::KnownRoster> for generated::KnownRoster {
    fn from(known: roster::KnownRoster) -> Self {
        Self { zone: known.zone.to_string(), hash: known.hash, heartbeats: known.heartbeats }
    }
}

impl TryFrom<generated::KnownRoster> for roster::KnownRoster {
    type Error = error::Error;

    fn try_from(known: generated::KnownRoster) -> Result<Self> {
        check::at_most("known_roster.heartbeats", known.heartbeats.len(), link::MAX_MEMBERS)?;
        Ok(Self {
            zone: check::name("known_roster.zone", &known.zone)?,
            hash: known.hash,
            heartbeats: known.heartbeats,
        })
    }
}

pub(crate) fn encode(roster: roster::Roster, names: &mut Names) -> generated::Roster {
    let mut out = generated::Roster {
        zone: roster.zone.to_string(),
        hash: roster.hash,
        ..generated::Roster::default()
    };
    match roster.members {
        roster::Members::All(members) => {
            out.members = members.iter().map(|member| encode_member(member, names)).collect();
        }
        roster::Members::Newer(heartbeats) => {
            heartbeats.iter().for_each(|newer| encode_heartbeat(newer, names, &mut out))
        }
    }
    out
}

fn encode_member(member: &roster::Member, names: &mut Names) -> generated::Member {
    generated::Member {
        id: member.id.to_string(),
        boot: member.boot,
        heartbeat: member.heartbeat,
        age_ms: check::millis(member.age),
        state: state_number(member.state),
        address: check::address_bytes(member.address),
        demand: names.write(&member.demand),
    }
}

fn encode_heartbeat(newer: &roster::Heartbeat, names: &mut Names, out: &mut generated::Roster) {
    let byte = newer.position / 8;
    if out.newer.len() <= byte {
        out.newer.resize(byte + 1, 0);
    }
    out.newer[byte] |= 1 << (newer.position % 8);
    out.advances.push(newer.advance);
    out.ages.push(age::encode(newer.age));
    if let Some(demand) = &newer.demand {
        let member = u32::try_from(newer.position).unwrap_or(u32::MAX);
        out.demands.push(generated::Demand { member, demand: names.write(demand) });
    }
}

pub(crate) fn decode(roster: generated::Roster, names: &Names) -> Result<roster::Roster> {
    let zone = check::name("roster.zone", &roster.zone)?;
    let hash = roster.hash;
    // A roster without members is encoded alike in both forms; it is decoded as `Newer`.
    let members = if roster.members.is_empty() {
        roster::Members::Newer(decode_heartbeats(&roster, names)?)
    } else {
        let decode = |member| decode_member(member, names);
        roster::Members::All(check::list(
            "roster.members",
            roster.members,
            link::MAX_MEMBERS,
            decode,
        )?)
    };
    Ok(roster::Roster { zone, hash, members })
}

fn decode_member(member: generated::Member, names: &Names) -> Result<roster::Member> {
    Ok(roster::Member {
        id: check::name("member.id", &member.id)?,
        boot: member.boot,
        heartbeat: member.heartbeat,
        age: time::Duration::from_millis(u64::from(member.age_ms)),
        state: state(member.state),
        address: check::address("member.address", &member.address)?,
        demand: names.read("member.demand", &member.demand)?,
    })
}

fn decode_heartbeats(roster: &generated::Roster, names: &Names) -> Result<Vec<roster::Heartbeat>> {
    check::at_most("roster.newer", roster.newer.len(), link::MAX_MEMBERS.div_ceil(8))?;
    let bits = roster.newer.iter().enumerate().flat_map(|(n, byte)| {
        (0..8).filter(move |bit| byte & (1 << bit) != 0).map(move |bit| n * 8 + bit)
    });
    let positions: Vec<usize> = bits.collect();
    check::exactly("roster.advances", roster.advances.len(), positions.len())?;
    check::exactly("roster.ages", roster.ages.len(), positions.len())?;
    let columns = positions.iter().zip(roster.advances.iter().zip(&roster.ages));
    let mut heartbeats: Vec<roster::Heartbeat> = columns
        .map(|(position, (advance, byte))| roster::Heartbeat {
            position: *position,
            advance: *advance,
            age: age::decode(*byte),
            demand: None,
        })
        .collect();
    if heartbeats.iter().any(|newer| newer.advance == 0) {
        return Err(error::Error::invalid("roster.advances", "at least 1 each"));
    }
    check::at_most("roster.demands", roster.demands.len(), heartbeats.len())?;
    for demand in &roster.demands {
        let found =
            heartbeats.binary_search_by_key(&(demand.member as usize), |newer| newer.position);
        let Ok(index) = found else {
            return Err(error::Error { field: "roster.demands", kind: NOT_NEWER });
        };
        heartbeats[index].demand = Some(names.read("demand.demand", &demand.demand)?);
    }
    Ok(heartbeats)
}

const NOT_NEWER: error::Kind =
    error::Kind::Invalid { expected: "positions of members that roster.newer names" };
