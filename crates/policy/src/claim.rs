//! Idempotency keys: at most one execution over all calls with the same key.
//!
//! The store keeps one [`Record`] for each key. A node claims the key by compare-and-swap before it
//! sends the call, and records the outcome in the same way afterwards. Later calls with the key get
//! the recorded response, or an error that says what is known.

mod held;

use std::time;

use crate::{id, membership};

pub use held::{Ended, Held};

/// The value that the store keeps for an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Random id of the claim; tells a node its own claim from others when it reads the key back.
    pub claim: String,
    /// The node that claimed the key.
    pub node: id::Node,
    /// Boot id of that node's process; changes at each start.
    pub boot: u64,
    /// Hash of the request, to detect a key that is reused for a different one.
    pub request: String,
    /// Whether the call has run.
    pub state: State,
}

/// State of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The holder may send the call or has sent it.
    Claimed,
    /// The call ran and got this response.
    Done(Response),
    /// The call has not run and never will under this claim; the key may be claimed again.
    NotRun,
    /// The call may have run. The key is not claimed again while the record is kept.
    Unknown,
}

/// A response that is recorded for later calls with the same key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers as names and values.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Response {
    /// Size limit of a recorded response, see [`Response::size`].
    pub const MAX_BYTES: usize = 64 * 1024;

    /// Bytes of all header names, header values and the body.
    pub fn size(&self) -> usize {
        self.headers.iter().map(|(name, value)| name.len() + value.len()).sum::<usize>()
            + self.body.len()
    }
}

/// A call with an idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Random id of the claim that this call makes, see [`Record::claim`].
    pub claim: &'a str,
    /// Id of this node.
    pub node: &'a str,
    /// Boot id of this process.
    pub boot: u64,
    /// Hash of the request, compared with [`Record::request`].
    pub request: &'a str,
}

impl Call<'_> {
    /// The record to write to claim the key for this call.
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

/// What this node knows about the process that holds a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// The process is alive, or may be.
    Live,
    /// The process is dead.
    Dead,
    /// It is this process, and the claimed call is in progress.
    Local,
    /// It is this process, which remembers that it gave up the claim before sending the call: the
    /// write of the claim took effect late. Without that memory the holder counts as dead.
    Abandoned,
}

/// Assesses whether the process of another node that holds a claim is alive; `boot` is its boot id
/// in the record.
///
/// `present` is the boot id and liveness by which the membership knows that node, `None` if it does
/// not; `waited` is the time since this node first read the claim. An unknown process counts as
/// live for [`membership::DEAD_AFTER`], by when an update about it would have arrived: it may have
/// just started, and a different boot id does not prove that it has ended.
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
        _ if waited < membership::DEAD_AFTER => Holder::Live,
        _ => Holder::Dead,
    }
}

/// What to do with a call after its key was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision<'a> {
    /// Claim the key by compare-and-swap from this version; 0 if the key is absent.
    Claim(u64),
    /// This call has claimed the key already; go on with a [`Held`] at this version.
    Hold(u64),
    /// Refuse: the first call with the key is in progress.
    InProgress,
    /// Refuse: the first call may have run.
    Unknown,
    /// Return the recorded response.
    Replay(&'a Response),
    /// Refuse with status 422: the key was used for a different request.
    KeyReused,
}

/// Decides what to do with `call`, given the record and version that its key was read with.
///
/// `holder` is called only for a record in [`State::Claimed`] that belongs to another call.
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
        State::Done(response) => Decision::Replay(response),
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

/// Whether a call to the store that failed while a key is being claimed is made again. `written`: a write
/// of the claim may take effect, so that its fate has to be found out. `paused`: the process was paused
/// since the claim began, so that the time limit of the call is no evidence against the store.
pub fn may_try_again(written: bool, paused: bool) -> bool {
    written || paused
}
