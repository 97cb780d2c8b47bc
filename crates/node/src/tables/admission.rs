//! Admission queues, with the waiting request behind each entry.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{admission, id, retry};
use corneltrestle_time::moment;
use tokio::sync::oneshot;

/// Limit of requests in progress on a node.
const MAX_RUNNING: usize = 2_048;
/// Limit of queued requests on a node.
const MAX_WAITING: usize = 2_048;
/// Limit of queued requests of one organisation.
const MAX_QUEUE: usize = 512;

/// Admission state; rank 70.
#[derive(Debug)]
pub struct Admission {
    /// Queues, fair shares and limits.
    pub policy: admission::Admission,
    /// Limits retries to a share of the requests.
    pub retries: retry::Budget,
    /// Limits hedged calls to a share of the calls.
    pub hedges: retry::Budget,
    waiters: collections::HashMap<u64, Waiter>,
    last_id: u64,
}

/// A queued request.
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
        let limits =
            admission::Limits { running: MAX_RUNNING, waiting: MAX_WAITING, queue: MAX_QUEUE };
        Self {
            policy: admission::Admission::new(limits),
            retries: retry::Budget::retries(),
            hedges: retry::Budget::hedges(),
            waiters: collections::HashMap::new(),
            last_id: 0,
        }
    }
}

/// A queued request's place in the queue.
#[derive(Debug)]
pub struct Ticket {
    /// Identifier of the request, for [`Admission::withdraw`].
    pub id: u64,
    /// Resolves when the request may start; fails if it expired in the queue.
    pub started: oneshot::Receiver<()>,
}

/// The answer to an offered request.
#[derive(Debug)]
pub enum Offered {
    /// It may start now.
    Started,
    /// It is queued.
    Queued(Ticket),
    /// It is refused, with the reason and the delay after which a retry makes sense.
    Shed(admission::Reason, std::time::Duration),
}

impl Admission {
    /// Offers a request for admission; `view` holds the organisation's limits at this node.
    pub fn offer(
        &mut self,
        organisation: &id::Organisation,
        view: &admission::View<'_>,
        class: admission::Class,
        deadline: moment::Moment,
        now: moment::Moment,
    ) -> Offered {
        self.last_id += 1;
        let id = self.last_id;
        match self.policy.offer(view, id, class, deadline, now) {
            admission::Decision::Admit => Offered::Started,
            admission::Decision::Shed { reason, retry_after } => Offered::Shed(reason, retry_after),
            admission::Decision::Queue => {
                let (start, started) = oneshot::channel();
                let waiter = Waiter { organisation: organisation.clone(), start };
                self.waiters.insert(id, waiter);
                self.wake(now);
                Offered::Queued(Ticket { id, started })
            }
        }
    }

    /// Records the end of a request and starts queued ones in its place.
    pub fn finish(&mut self, organisation: &id::Organisation, now: moment::Moment) {
        self.policy.finish(organisation.as_str(), now);
        self.wake(now);
    }

    /// Removes expired requests and starts queued ones as far as the limits allow.
    pub fn wake(&mut self, now: moment::Moment) {
        for id in self.policy.expire(now) {
            self.waiters.remove(&id);
        }
        while let Some(id) = self.policy.next(now) {
            let Some(waiter) = self.waiters.remove(&id) else { continue };
            if waiter.start.send(()).is_err() {
                // The caller disconnected before its withdrawal reached the table.
                self.policy.finish(waiter.organisation.as_str(), now);
            }
        }
    }

    /// Removes a request from its queue; false if it has already started or expired.
    pub fn withdraw(&mut self, id: u64) -> bool {
        self.waiters.remove(&id);
        self.policy.cancel(id)
    }
}
