//! Idempotency keys: one claim for each key, and at most one run.

mod held;

use std::time;

use crate::{id, membership};

pub use held::{Ended, Held};

/// The stored value of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Random identifier of the claim.
    pub claim: String,
    /// The node that claimed the key.
    pub node: id::Node,
    /// The start of that node.
    pub boot: u64,
    /// Hash of the request.
    pub request: String,
    /// Progress of the call.
    pub state: State,
}

/// Progress of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The holder may send it, or has sent it.
    Claimed,
    /// It ran, with this answer.
    Done(Response),
    /// It has not run and never will under this claim.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Response {
    /// Largest recorded answer in bytes of headers and body.
    pub const MAX_BYTES: usize = 64 * 1024;

    /// Bytes of headers and body.
    pub fn size(&self) -> usize {
        self.headers.iter().map(|(name, value)| name.len() + value.len()).sum::<usize>()
            + self.body.len()
    }
}

/// A call with an idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Random identifier of the claim that this call would make.
    pub claim: &'a str,
    /// This node.
    pub node: &'a str,
    /// The start of this node.
    pub boot: u64,
    /// Hash of the request.
    pub request: &'a str,
}

impl Call<'_> {
    /// The record that claims the key for this call.
    pub fn record(&self) -> Record {
        Record {
            claim: self.claim.to_owned(),
            node: self.node.into(),
            boot: self.boot,
            request: self.request.to_owned(),
            state: State::Claimed,
        }
    }
}

/// What is known about the holder of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// The same start of the node is alive or may be.
    Live,
    /// That start of the node is dead.
    Dead,
    /// It is this start of this node, and the claim is in progress here.
    Local,
    /// It is this start of this node, which remembers that it gave the claim up before sending: the
    /// write took effect late. Without that memory the holder counts as dead.
    Abandoned,
}

/// What is known about the process of another node that made a claim.
///
/// `present` is the process that is known of that node, with its liveness; `waited` is the time since
/// this node first read the claim. A process that is not known counts as live until news of it would
/// have arrived: it may have just started, and another boot id does not prove that it has ended.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::claim::{self, Holder};
/// use corneltrestle_policy::membership::Liveness;
///
/// let present = Some((1, Liveness::Alive));
/// assert_eq!(claim::holder(2, present, Duration::ZERO), Holder::Live);
/// assert_eq!(claim::holder(2, present, Duration::from_secs(6)), Holder::Dead);
/// ```
pub fn holder(
    boot: u64,
    present: Option<(u64, membership::Liveness)>,
    waited: time::Duration,
) -> Holder {
    match present {
        Some((known, membership::Liveness::Dead)) if known == boot => Holder::Dead,
        Some((known, _)) if known == boot => Holder::Live,
        _ if waited < membership::DEAD => Holder::Live,
        _ => Holder::Dead,
    }
}

/// What to do with a call after its key was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision<'a> {
    /// Claim the key by compare-and-swap from this version; 0 stands for an absent key.
    Claim(u64),
    /// The key is claimed by this call; hold it at this version.
    Hold(u64),
    /// Answer that the first call is in progress.
    InProgress,
    /// Answer that the outcome is unknown.
    Unknown,
    /// Return the recorded answer.
    Replay(&'a Response),
    /// Refuse with 422: the key belongs to another request.
    KeyReused,
}

/// Decides on `call` after its key was read with this record and version.
///
/// `holder` is asked only about a claim of another call that is in progress.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::claim::{self, Call, Decision, Holder};
///
/// let first = Call { claim: "c-1", node: "a", boot: 1, request: "r" };
/// assert_eq!(claim::decide(&first, None, |_| Holder::Live), Decision::Claim(0));
///
/// let (record, second) = (first.record(), Call { claim: "c-2", node: "b", ..first });
/// let decision = claim::decide(&second, Some((&record, 1)), |_| Holder::Dead);
/// assert_eq!(decision, Decision::Unknown);
/// ```
pub fn decide<'a>(
    call: &Call<'_>,
    found: Option<(&'a Record, u64)>,
    holder: impl FnOnce(&Record) -> Holder,
) -> Decision<'a> {
    let Some((record, version)) = found else { return Decision::Claim(0) };
    if record.request != call.request {
        return Decision::KeyReused;
    }
    match &record.state {
        State::Done(answer) => Decision::Replay(answer),
        State::Unknown => Decision::Unknown,
        State::NotRun => Decision::Claim(version),
        State::Claimed if record.claim == call.claim => Decision::Hold(version),
        State::Claimed => match holder(record) {
            Holder::Live | Holder::Local => Decision::InProgress,
            Holder::Dead => Decision::Unknown,
            Holder::Abandoned => Decision::Claim(version),
        },
    }
}
