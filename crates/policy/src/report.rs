//! The status report of the engine on a VM.

use corneltrestle_time::moment;

use crate::id;

/// Value of [`Report::start`] while it is not known.
pub const UNKNOWN_START: u64 = 0;

/// The report of one VM. The load figures may be out of date when it arrives.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The VM.
    pub vm: id::Vm,
    /// The replica that the VM has joined, if any.
    pub replica: Option<id::Replica>,
    /// The epoch at which it joined the replica; 0 without a replica.
    pub epoch: u64,
    /// Random identifier of this start of the engine; changes with each restart. [`UNKNOWN_START`]
    /// in a report that a peer has relayed without it.
    pub start: u64,
    /// The loaded model; empty if none.
    pub model: String,
    /// The loaded adapter; empty if none.
    pub adapter: String,
    /// Version of the loaded model; empty if none.
    pub version: String,
    /// Progress towards serving.
    pub phase: Phase,
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting in the engine's queue.
    pub waiting: u32,
    /// Requests finished since this start.
    pub finished: u64,
    /// Free blocks of the KV cache.
    pub blocks: u32,
    /// Sequence number of the latest KV cache event.
    pub sequence: u64,
}

impl Report {
    /// The identifier of this start of the engine; `None` while it is not known.
    pub fn known_start(&self) -> Option<u64> {
        (self.start != UNKNOWN_START).then_some(self.start)
    }

    /// The load in this report.
    pub fn load(&self) -> Load {
        Load { running: self.running, waiting: self.waiting, finished: self.finished }
    }

    fn set_load(&mut self, load: Load) {
        (self.running, self.waiting, self.finished) = (load.running, load.waiting, load.finished);
    }

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

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting in the engine's queue.
    pub waiting: u32,
    /// Requests finished since the engine started.
    pub finished: u64,
}

/// What a peer tells of the engine of a head, as far as this node does not know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relayed {
    /// Lower bound of the moment at which the VM gave the report.
    pub at: moment::Moment,
    /// Identifier of the start of the engine.
    pub start: Option<u64>,
    /// Load of the engine.
    pub load: Option<Load>,
}

/// A report with the time of its origin on this node's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Lower bound of the moment at which the VM gave the report, so that its age is never
    /// underestimated.
    pub at: moment::Moment,
    /// The report.
    pub report: Report,
}

impl Seen {
    /// Merges what a peer tells of the engine, unless it is older than this report: it may then be of
    /// an earlier start.
    pub fn merge(&mut self, relayed: &Relayed) {
        if relayed.at < self.at {
            return;
        }
        let restarted = relayed.start.filter(|start| *start != self.report.start);
        if let Some(start) = restarted {
            self.report.start = start;
            self.report.set_load(Load::default());
        }
        // `finished` only grows within a start, so a lower value is of an older load.
        if let Some(load) = relayed.load.filter(|load| load.finished >= self.report.finished) {
            self.report.set_load(load);
        }
    }
}

/// Progress of an engine towards serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Member of no replica.
    Idle,
    /// Loading weights.
    Loading,
    /// Weights are loaded; the replica can serve once all members are ready.
    Ready,
}
