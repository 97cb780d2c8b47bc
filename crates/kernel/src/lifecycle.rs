//! The lifecycle of a node, from start to stop.

use tokio::sync::watch;

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
    /// The node reports itself as not ready and lets requests in progress finish.
    Draining,
    /// All plug-ins have shut down.
    Stopped,
}

/// The current stage of a node, which any task can read or wait for. It only moves forward.
#[derive(Debug)]
pub struct State {
    stage: watch::Sender<Stage>,
}

impl State {
    /// Creates the state in [`Stage::Starting`].
    pub fn open() -> Self {
        Self { stage: watch::Sender::new(Stage::Starting) }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
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
