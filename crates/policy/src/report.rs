//! What a VM's engine reports about itself.

use corneltrestle_time::moment;

use crate::id;

/// The report of one VM; its load figures lag.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The VM.
    pub vm: id::Vm,
    /// The replica that it is a member of, if any.
    pub replica: Option<id::Replica>,
    /// The epoch of the membership; 0 without replica.
    pub epoch: u64,
    /// Random identifier of this engine start.
    pub start: u64,
    /// The model that is loaded; empty if none.
    pub model: String,
    /// The adapter that is loaded; empty if none.
    pub adapter: String,
    /// Version of the model; empty if none.
    pub version: String,
    /// Progress towards serving.
    pub phase: Phase,
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting in the engine.
    pub waiting: u32,
    /// Requests finished since this start.
    pub finished: u64,
    /// KV cache blocks that are free.
    pub blocks: u32,
    /// Sequence number of the latest cache event.
    pub sequence: u64,
}

impl Report {
    /// The report of an engine that has just started.
    pub fn idle(vm: id::Vm, start: u64) -> Self {
        Self {
            vm,
            replica: None,
            epoch: 0,
            start,
            model: String::new(),
            adapter: String::new(),
            version: String::new(),
            phase: Phase::Idle,
            running: 0,
            waiting: 0,
            finished: 0,
            blocks: 0,
            sequence: 0,
        }
    }
}

/// A report with the moment at which the VM gave it, as far as this node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// No later than the moment at which the VM answered.
    pub at: moment::Moment,
    /// The report.
    pub report: Report,
}

/// Progress of an engine towards serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Member of no replica.
    Idle,
    /// Loading weights.
    Loading,
    /// Able to serve once all members are.
    Ready,
}
