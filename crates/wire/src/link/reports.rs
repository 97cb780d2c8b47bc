//! Ages of VM reports and loads of replicas of a zone, by position in the zone's assignment.
//!
//! Both nodes need the same assignment for the positions to match, so its version is sent along.

use std::time;

use corneltrestle_policy::{id, report};
use xxhash_rust::xxh3;

use super::{Result, age, check, error, generated};
use crate::link;

/// Start id and load of a replica as a node knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Number that the head VM drew at its start; 0 if unknown.
    pub start: u64,
    /// Load in the latest report of the head VM.
    pub load: report::Load,
}

/// What the caller of a pull knows of a zone's reports, mostly as hashes to keep it short.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownReports {
    /// The zone.
    pub zone: id::Zone,
    /// The store's version of the assignment that the caller uses.
    pub assignment: u64,
    /// Hash of the start ids of all replicas in assignment order.
    pub starts: u64,
    /// One-byte hash of the load of each replica in assignment order.
    pub loads: Vec<u8>,
    /// Seed of the load hashes. It differs in each pull, so that a collision does not hide a
    /// changed load for long.
    pub salt: u32,
}

/// What the answering node knows of a zone's reports and the caller does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reports {
    /// The zone.
    pub zone: id::Zone,
    /// The store's version of the assignment that positions refer to.
    pub assignment: u64,
    /// Age of the latest report of each member VM in assignment order; `None` if unknown or
    /// longer than 12.7 s.
    pub ages: Vec<Option<time::Duration>>,
    /// Position and load of each replica whose load differs from the caller's. A load is as old as
    /// the report of the replica's head VM, which may be older than the one the caller has.
    pub loads: Vec<(usize, report::Load)>,
    /// Start ids of all replicas in assignment order; `None` if the caller has the same.
    pub starts: Option<Vec<u64>>,
}

impl KnownReports {
    /// Summarises what the caller knows of the reports of `zone`; `replicas` are in assignment
    /// order.
    pub fn new(zone: &id::Zone, assignment: u64, replicas: &[ReplicaLoad], salt: u32) -> Self {
        Self {
            zone: zone.clone(),
            assignment,
            starts: starts_hash(replicas),
            loads: replicas.iter().map(|replica| load_hash(&replica.load, salt)).collect(),
            salt,
        }
    }
}

impl Reports {
    /// Selects what a caller that knows `known` lacks; `ages` and `replicas` are in assignment
    /// order. If the caller has another assignment, all loads and start ids are sent.
    pub fn answer(
        zone: &id::Zone,
        assignment: u64,
        ages: &[Option<time::Duration>],
        replicas: &[ReplicaLoad],
        known: &KnownReports,
    ) -> Self {
        let is_same = assignment == known.assignment;
        let is_known = |n: usize, load: &report::Load| {
            is_same && known.loads.get(n) == Some(&load_hash(load, known.salt))
        };
        let loads = replicas.iter().map(|replica| replica.load).enumerate();
        let has_starts = is_same && known.starts == starts_hash(replicas);
        let starts = || replicas.iter().map(|replica| replica.start).collect();
        Self {
            zone: zone.clone(),
            assignment,
            ages: ages.to_vec(),
            loads: loads.filter(|(n, load)| !is_known(*n, load)).collect(),
            starts: (!has_starts && !replicas.is_empty()).then(starts),
        }
    }
}

fn starts_hash(replicas: &[ReplicaLoad]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    replicas.iter().for_each(|replica| hasher.update(&replica.start.to_le_bytes()));
    hasher.digest()
}

fn load_hash(load: &report::Load, salt: u32) -> u8 {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&load.running.to_le_bytes());
    bytes[4..8].copy_from_slice(&load.waiting.to_le_bytes());
    bytes[8..].copy_from_slice(&load.finished.to_le_bytes());
    xxh3::xxh3_64_with_seed(&bytes, u64::from(salt)).to_le_bytes()[0]
}

impl From<KnownReports> for generated::KnownReports {
    fn from(known: KnownReports) -> Self {
        Self {
            zone: known.zone.to_string(),
            assignment: known.assignment,
            starts: known.starts,
            loads: known.loads,
            salt: known.salt,
        }
    }
}

impl TryFrom<generated::KnownReports> for KnownReports {
    type Error = error::Error;

    fn try_from(known: generated::KnownReports) -> Result<Self> {
        check::at_most("known_reports.loads", known.loads.len(), link::MAX_VMS)?;
        Ok(Self {
            zone: check::name("known_reports.zone", &known.zone)?,
            assignment: known.assignment,
            starts: known.starts,
            loads: known.loads,
            salt: known.salt,
        })
    }
}

impl From<Reports> for generated::Reports {
    fn from(reports: Reports) -> Self {
        let quadruple = |(n, load): &(usize, report::Load)| {
            [*n as u64, u64::from(load.running), u64::from(load.waiting), load.finished]
        };
        Self {
            zone: reports.zone.to_string(),
            assignment: reports.assignment,
            ages: reports.ages.iter().map(|age| age::encode(*age)).collect(),
            loads: reports.loads.iter().flat_map(quadruple).collect(),
            starts: reports.starts.unwrap_or_default(),
        }
    }
}

impl TryFrom<generated::Reports> for Reports {
    type Error = error::Error;

    fn try_from(reports: generated::Reports) -> Result<Self> {
        check::at_most("reports.ages", reports.ages.len(), link::MAX_VMS)?;
        check::at_most("reports.starts", reports.starts.len(), link::MAX_VMS)?;
        let (loads, rest) = reports.loads.as_chunks::<4>();
        check::exactly("reports.loads", rest.len(), 0)?;
        check::at_most("reports.loads", loads.len(), link::MAX_VMS)?;
        Ok(Self {
            zone: check::name("reports.zone", &reports.zone)?,
            assignment: reports.assignment,
            ages: reports.ages.iter().map(|byte| age::decode(*byte)).collect(),
            loads: loads.iter().map(decode_load).collect::<Result<_>>()?,
            starts: (!reports.starts.is_empty()).then_some(reports.starts),
        })
    }
}

fn decode_load([position, running, waiting, finished]: &[u64; 4]) -> Result<(usize, report::Load)> {
    let invalid = |expected| error::Error::invalid("reports.loads", expected);
    let count = |n: &u64| u32::try_from(*n).map_err(|_| invalid("counts of 32 bits"));
    let position = usize::try_from(*position).ok().filter(|n| *n < link::MAX_VMS);
    let load =
        report::Load { running: count(running)?, waiting: count(waiting)?, finished: *finished };
    Ok((position.ok_or_else(|| invalid("positions of replicas"))?, load))
}
