//! Supervision of background tasks: one that panics or ends is started again, and a node whose task
//! fails again and again is stopped in order.

use std::{any, collections, panic, sync, time};

use corneltrestle_time::moment;
use futures_util::FutureExt;

use crate::{host, linkme, metric, plugin};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static FAILURES: metric::Metric = metric::Metric::counter(
    "task_failures_total",
    "Background tasks that panicked or ended unexpectedly, by task.",
);

/// Failures of a task within [`WINDOW`] after which the node stops.
const MAX_FAILURES: usize = 8;

/// Time over which failures of a task are counted.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Delay before a task is started again.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(50);

/// The latest failures of one task.
#[derive(Debug, Default)]
pub struct Failures(collections::VecDeque<moment::Moment>);

impl Failures {
    /// Records a failure; returns whether the task may be started again.
    ///
    /// # Examples
    ///
    /// ```
    /// use corneltrestle_kernel::supervise;
    /// use corneltrestle_time::moment;
    ///
    /// let mut failures = supervise::Failures::default();
    /// let now = moment::Moment::from_millis(1);
    /// assert_eq!((0..20).filter(|_| failures.record(now)).count(), 7);
    /// ```
    pub fn record(&mut self, now: moment::Moment) -> bool {
        self.0.retain(|at| now.since(*at) < WINDOW);
        self.0.push_back(now);
        self.0.len() < MAX_FAILURES
    }
}

/// Background tasks.
impl host::Host {
    /// Runs the task that `start` creates until the handle stops. A task that panics or ends is
    /// started again, so that a single unexpected input does not leave the node half alive; after
    /// too many failures [`host::Host::failed`] completes, and the daemon stops the node.
    pub fn supervise<F, Fut>(
        self: &sync::Arc<Self>,
        handle: &plugin::Handle,
        name: &'static str,
        mut start: F,
    ) where
        F: FnMut() -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let host = sync::Arc::clone(self);
        handle.spawn_until_stop(&self.pool, async move {
            let mut failures = Failures::default();
            loop {
                let cause = cause(panic::AssertUnwindSafe(start()).catch_unwind().await);
                if !host.record_failure(name, &cause, &mut failures) {
                    return;
                }
                tokio::time::sleep(RESTART_DELAY).await;
            }
        });
    }

    /// Logs and counts a failure of a task; returns whether it may be started again.
    pub(crate) fn record_failure(
        &self,
        name: &'static str,
        cause: &str,
        failures: &mut Failures,
    ) -> bool {
        metrics::counter!(FAILURES.name, "task" => name).increment(1);
        let may_restart = failures.record(self.now());
        if may_restart {
            log::error!(task = name; "node: a task {cause}; it is started again");
        } else {
            log::error!(task = name; "node: a task {cause} too often; the node stops");
            self.fail();
        }
        may_restart
    }
}

/// What happened to a task that is no longer running.
pub(crate) fn cause(ended: Result<(), Box<dyn any::Any + Send>>) -> String {
    let Err(panicked) = ended else { return "has ended".to_owned() };
    let text = panicked.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panicked.downcast_ref::<String>().cloned());
    format!("panicked ({})", text.unwrap_or_else(|| "no message".to_owned()))
}
