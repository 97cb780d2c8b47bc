//! Handles of running plug-ins.

use tokio_util::{sync, task};

use crate::pool;

/// The tasks of a running plug-in and the token that stops them. Clones share both.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    stop: sync::CancellationToken,
    tasks: task::TaskTracker,
}

impl Handle {
    /// A handle without tasks.
    pub fn idle() -> Self {
        Self::default()
    }

    /// The token that [`Handle::shutdown`] cancels.
    pub fn stop_token(&self) -> &sync::CancellationToken {
        &self.stop
    }

    /// Spawns a task that shutdown waits for. The task itself has to end when
    /// [`Handle::stop_token`] is cancelled.
    pub fn spawn<F>(&self, pool: &pool::Pool, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn_on(future, pool.handle());
    }

    /// Spawns a task that shutdown cancels at its next await point.
    pub fn spawn_until_stop<F>(&self, pool: &pool::Pool, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.spawn(pool, async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = future => {}
            }
        });
    }

    /// Cancels the token and waits until all tasks have ended.
    pub async fn shutdown(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
