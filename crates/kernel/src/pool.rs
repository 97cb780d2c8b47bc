//! The pool of worker threads on which connections and background tasks run.

use std::time;

use tokio::{runtime, task};

/// A multi-threaded tokio runtime with a fixed number of workers, owned or shared.
#[derive(Debug)]
pub struct Pool {
    handle: runtime::Handle,
    /// `None` if the pool is attached to a runtime that it does not own.
    owned: Option<runtime::Runtime>,
}

/// The result of creating a pool.
pub type Result<T> = std::io::Result<T>;

impl Pool {
    /// Creates a pool with `workers` threads, at least one.
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

    /// Uses the workers of a running runtime, such as that of a test; shutdown leaves it running.
    pub fn attach(handle: runtime::Handle) -> Self {
        Self { handle, owned: None }
    }

    /// Handle of the underlying runtime.
    pub fn handle(&self) -> &runtime::Handle {
        &self.handle
    }

    /// Spawns a task on the pool.
    pub fn spawn<F>(&self, future: F) -> task::JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.handle.spawn(future)
    }

    /// Runs a future and blocks the calling thread, which must not be a worker, until it completes.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.handle.block_on(future)
    }

    /// Stops an owned runtime, waiting at most `timeout` for tasks that do not yield.
    pub fn shutdown(self, timeout: time::Duration) {
        if let Some(owned) = self.owned {
            owned.shutdown_timeout(timeout);
        }
    }
}
