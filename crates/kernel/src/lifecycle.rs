//! The run state of a node.

use tokio::sync::watch;

/// Stages of a node's life, in order.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Configuration and views are not known yet.
    Starting,
    /// New requests are accepted.
    Ready,
    /// Requests in progress finish; new ones are refused.
    Draining,
    /// Nothing runs any more.
    Stopped,
}

/// The stage of a node, observed by every part of it.
#[derive(Debug)]
pub struct State {
    stage: watch::Sender<Stage>,
}

impl State {
    /// Opens the state in [`Stage::Starting`].
    pub fn open() -> Self {
        Self { stage: watch::Sender::new(Stage::Starting) }
    }

    /// The present stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Moves on to `next`; an earlier stage than the present one is ignored.
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
        let mut seen = self.stage.subscribe();
        // The sender lives as long as `self`, so that waiting cannot fail.
        let _ = seen.wait_for(|stage| *stage >= wanted).await;
    }
}
