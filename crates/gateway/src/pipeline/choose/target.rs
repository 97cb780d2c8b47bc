//! The upstream that was chosen for a request, and the request in progress there.

use std::{net, sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{cost, id};
use corneltrestle_time::moment;

use crate::tables::activity;

/// The upstream that was chosen.
#[derive(Debug)]
pub(in crate::pipeline) struct Target {
    /// The upstream.
    pub(in crate::pipeline) id: id::Vm,
    /// The address it serves requests on.
    pub(in crate::pipeline) address: net::SocketAddr,
    /// Identifier of the start of its process.
    pub(in crate::pipeline) incarnation: u64,
    /// When it was chosen.
    pub(in crate::pipeline) chosen: moment::Moment,
    /// Whether another upstream could have been chosen.
    pub(in crate::pipeline) has_alternative: bool,
    /// Predicted time until the first event, with the penalty of an upstream that fails.
    pub(in crate::pipeline) predicted: time::Duration,
    /// Whether the first event is predicted after the route's objective; never for a resumed
    /// stream.
    pub(in crate::pipeline) is_late: bool,
    /// The predicted time that the first event is compared with; `None` for a late request, which waits
    /// behind all others, and for a resumed one, which goes before them.
    pub(in crate::pipeline) expected: Option<time::Duration>,
    /// Counts the request as in progress at the upstream until dropped.
    pub(in crate::pipeline) progress: InProgress,
}

/// A request in progress at an upstream. It is removed from the activity table on drop.
#[derive(Debug)]
pub(in crate::pipeline) struct InProgress {
    pub(super) table: sync::Arc<table::Table<activity::Activity>>,
    pub(super) upstream: id::Vm,
    /// The work it currently adds to the upstream's total.
    pub(super) work: cost::Work,
    /// Tokens that it takes in the KV cache of the upstream.
    pub(super) tokens: u64,
    /// Whether it is a stream that waits for its next event.
    pub(super) is_waiting: bool,
    /// Has changed if the upstream was declared stalled since the request was sent, or since the
    /// latest event of the stream.
    pub(super) stalls: tokio::sync::watch::Receiver<()>,
}

impl InProgress {
    /// Records that the stream has begun: its prompt has been read, so its unread tokens are
    /// removed from the upstream's work.
    pub(in crate::pipeline) fn started(&mut self, now: moment::Moment) {
        let read = cost::Work { requests: 0, late: 0, ..self.work };
        self.work.subtract(&read);
        self.is_waiting = true;
        self.table.lock().started(self.upstream.as_str(), &read, now);
    }

    /// Records that the stream waits for its next event, as the caller has taken the last one.
    pub(in crate::pipeline) fn waits(&mut self, now: moment::Moment) {
        if !std::mem::replace(&mut self.is_waiting, true) {
            self.table.lock().waits(self.upstream.as_str(), now);
        }
    }

    /// Records an event of the stream, which ends a stall.
    pub(in crate::pipeline) fn progressed(&mut self, now: moment::Moment) {
        if std::mem::take(&mut self.is_waiting) {
            let mut table = self.table.lock();
            table.progressed(self.upstream.as_str(), now);
            self.stalls.mark_unchanged();
        }
    }

    /// Waits until the upstream is declared stalled; returns at once if it has been and the stream has
    /// got no event since.
    pub(in crate::pipeline) async fn stalled(&self) {
        // A copy, so that later calls see the change as well. The table keeps the sender while the
        // request is in progress.
        if self.stalls.clone().changed().await.is_err() {
            std::future::pending().await
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let mut table = self.table.lock();
        table.release(self.upstream.as_str(), self.tokens);
        table.end(self.upstream.as_str(), &self.work, self.is_waiting);
    }
}
