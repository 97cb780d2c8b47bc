//! Handles on running plug-ins.

use tokio_util::{sync, task};

use crate::pool;

/// A running plug-in: its jobs and the token that stops them.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    stop: sync::CancellationToken,
    jobs: task::TaskTracker,
}

impl Handle {
    /// A handle without jobs.
    pub fn idle() -> Self {
        Self::default()
    }

    /// The token that is cancelled at shutdown.
    pub fn stop_token(&self) -> &sync::CancellationToken {
        &self.stop
    }

    /// Runs a job that shutdown waits for; the job watches [`Handle::stop_token`] itself.
    pub fn spawn<F>(&self, pool: &pool::Pool, job: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.jobs.spawn_on(job, pool.handle());
    }

    /// Runs a job that is dropped at its next await point at shutdown.
    pub fn spawn_until_stop<F>(&self, pool: &pool::Pool, job: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.spawn(pool, async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = job => {}
            }
        });
    }

    /// Stops the jobs and waits until they have ended.
    pub async fn shutdown(&self) {
        self.stop.cancel();
        self.jobs.close();
        self.jobs.wait().await;
    }
}
