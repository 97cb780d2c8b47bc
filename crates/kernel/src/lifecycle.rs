//! The lifecycle of a node, from start to stop.

use std::{sync, time};

use corneltrestle_time::moment;
use tokio::sync::watch;

/// Time after the listeners have closed in which the first requests of connections that were accepted
/// by then are still taken.
pub const FIRST_REQUEST_GRACE: time::Duration = time::Duration::from_millis(500);

/// Stages of the lifecycle, in the order in which a node passes through them.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The node has no configuration or no view of the deployment yet and is not ready.
    Starting,
    /// The node accepts new requests.
    Ready,
    /// The node reports itself as not ready. It still takes requests, as callers may not know yet.
    Draining,
    /// The node takes no more requests, and lets those in progress finish.
    Closing,
    /// All plug-ins have shut down.
    Stopped,
}

/// The current stage of a node, which any task can read or wait for. It only moves forward.
#[derive(Debug)]
pub struct State {
    stage: watch::Sender<Stage>,
    /// When requests in progress are given up; set when the node begins to drain.
    end: sync::OnceLock<moment::Moment>,
}

impl State {
    /// Creates the state in [`Stage::Starting`].
    pub fn open() -> Self {
        Self { stage: watch::Sender::new(Stage::Starting), end: sync::OnceLock::new() }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Advances to [`Stage::Draining`]. Requests that are in progress at `end` are given up.
    pub fn drain(&self, end: moment::Moment) {
        // A node drains once.
        let _ = self.end.set(end);
        self.advance(Stage::Draining);
    }

    /// When requests in progress are given up, if the node drains.
    pub fn end(&self) -> Option<moment::Moment> {
        self.end.get().copied()
    }

    /// Advances to `next`; does nothing if the node has reached that stage already.
    pub fn advance(&self, next: Stage) {
        self.stage.send_if_modified(|stage| {
            let later = next > *stage;
            if later {
                *stage = next;
            }
            later
        });
    }

    /// Waits until the node has reached `wanted` or a later stage.
    pub async fn reached(&self, wanted: Stage) {
        let mut receiver = self.stage.subscribe();
        // Cannot fail, because the sender lives as long as `self`.
        let _ = receiver.wait_for(|stage| *stage >= wanted).await;
    }
}
