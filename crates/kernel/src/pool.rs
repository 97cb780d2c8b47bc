//! The pool of worker threads on which connections and periodic duties run.

use std::time;

use tokio::{runtime, task};

/// A fixed number of worker threads.
#[derive(Debug)]
pub struct Pool {
    handle: runtime::Handle,
    owned: Option<runtime::Runtime>,
}

/// The result of opening a pool.
pub type Result<T> = std::io::Result<T>;

impl Pool {
    /// Spawns a pool with `workers` threads.
    ///
    /// # Errors
    ///
    /// When the operating system refuses the threads.
    pub fn new(workers: usize) -> Result<Self> {
        let owned = runtime::Builder::new_multi_thread()
            .worker_threads(workers.max(1))
            .thread_name("worker")
            .enable_all()
            .build()?;
        Ok(Self { handle: owned.handle().clone(), owned: Some(owned) })
    }

    /// Shares the workers of a running pool or test runtime.
    pub fn attach(handle: runtime::Handle) -> Self {
        Self { handle, owned: None }
    }

    /// Handle on the workers.
    pub fn handle(&self) -> &runtime::Handle {
        &self.handle
    }

    /// Runs a job on the pool.
    pub fn spawn<F>(&self, job: F) -> task::JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.handle.spawn(job)
    }

    /// Blocks the calling thread, which is not a worker, until the job has finished.
    pub fn block_on<F: Future>(&self, job: F) -> F::Output {
        self.handle.block_on(job)
    }

    /// Ends the workers, waiting at most `limit` for jobs that are still running.
    pub fn shutdown(self, limit: time::Duration) {
        if let Some(owned) = self.owned {
            owned.shutdown_timeout(limit);
        }
    }
}
