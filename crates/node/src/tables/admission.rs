//! Admission queues with the jobs that wait in them.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{admission, id, retry};
use corneltrestle_time::moment;
use tokio::sync::oneshot;

/// Most requests in progress on a node.
const RUNNING: usize = 2_048;
/// Most requests that wait on a node.
const WAITING: usize = 2_048;
/// Most requests of one organisation that wait.
const QUEUE: usize = 512;

/// Admission state; rank 70.
#[derive(Debug)]
pub struct Admission {
    /// Queues, shares and limits.
    pub policy: admission::Admission,
    /// Budget of retries.
    pub retries: retry::Budget,
    /// Budget of hedges.
    pub hedges: retry::Budget,
    waiters: collections::HashMap<u64, Waiter>,
    issued: u64,
}

/// A job that waits for its start.
#[derive(Debug)]
struct Waiter {
    organisation: id::Organisation,
    start: oneshot::Sender<()>,
}

impl table::Ranked for Admission {
    const RANK: u16 = 70;
    const NAME: &'static str = "admission";
}

impl Default for Admission {
    fn default() -> Self {
        let limits = admission::Limits { running: RUNNING, waiting: WAITING, queue: QUEUE };
        Self {
            policy: admission::Admission::new(limits),
            retries: retry::Budget::retries(),
            hedges: retry::Budget::hedges(),
            waiters: collections::HashMap::new(),
            issued: 0,
        }
    }
}

/// A place in a queue.
#[derive(Debug)]
pub struct Place {
    /// Identifier of the request in the queue.
    pub id: u64,
    /// Completes when the request starts.
    pub started: oneshot::Receiver<()>,
}

/// What happens to an offered request.
#[derive(Debug)]
pub enum Offered {
    /// It starts now.
    Started,
    /// It waits.
    Waits(Place),
    /// It is refused.
    Shed(admission::Reason, std::time::Duration),
}

impl Admission {
    /// Offers a request of an organisation.
    pub fn offer(
        &mut self,
        organisation: &id::Organisation,
        view: &admission::View<'_>,
        class: admission::Class,
        deadline: moment::Moment,
        now: moment::Moment,
    ) -> Offered {
        self.issued += 1;
        let id = self.issued;
        match self.policy.offer(view, id, class, deadline, now) {
            admission::Decision::Admit => Offered::Started,
            admission::Decision::Shed { reason, retry_after } => Offered::Shed(reason, retry_after),
            admission::Decision::Queue => {
                let (start, started) = oneshot::channel();
                let waiter = Waiter { organisation: organisation.clone(), start };
                self.waiters.insert(id, waiter);
                self.wake(now);
                Offered::Waits(Place { id, started })
            }
        }
    }

    /// Counts the end of a request and starts those that it made room for.
    pub fn finish(&mut self, organisation: &id::Organisation, now: moment::Moment) {
        self.policy.finish(organisation.as_str(), now);
        self.wake(now);
    }

    /// Starts waiting requests as far as limits allow.
    pub fn wake(&mut self, now: moment::Moment) {
        for id in self.policy.expire(now) {
            self.waiters.remove(&id);
        }
        while let Some(id) = self.policy.next(now) {
            let Some(waiter) = self.waiters.remove(&id) else { continue };
            if waiter.start.send(()).is_err() {
                // Its caller has left between the start and the withdrawal.
                self.policy.finish(waiter.organisation.as_str(), now);
            }
        }
    }

    /// Gives up a place in a queue; false if its request has started or expired meanwhile.
    pub fn withdraw(&mut self, id: u64) -> bool {
        self.waiters.remove(&id);
        self.policy.cancel(id)
    }
}
