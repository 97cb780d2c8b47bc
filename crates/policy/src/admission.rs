//! Admission control: decides whether a request starts, waits or is refused.
//!
//! Each organisation has a request rate and a concurrency limit. Requests above the limits wait in
//! one queue for each organisation and class. Start-time fair queueing divides the node among the
//! organisations by weight: each start advances the organisation's finish tag by 1 / weight, and
//! the waiting organisation with the lowest start tag is next. A request that could not start
//! before its deadline is refused at once (load shedding).

mod bucket;
mod organisation;
mod share;

use std::{collections, time};

use corneltrestle_time::moment;

use crate::id;

pub use bucket::{Bucket, wait};
pub use share::{MIN_SHARE, share};

/// Priority class of a request. Waiting interactive requests start before background ones.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A user is waiting for the answer.
    Interactive,
    /// Batch work: no user is waiting for the answer.
    Background,
}

impl Class {
    pub(crate) const COUNT: usize = 2;
}

/// The settings of an organisation, with this node's shares of its limits.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Name of the organisation.
    pub name: &'a str,
    /// Weight in the fair queue; 0 counts as 1.
    pub weight: u32,
    /// Requests per second that may start on this node; see [`share()`].
    pub rate: f64,
    /// Requests that may be in progress on this node; see [`share()`]. The fraction is dropped,
    /// except below one: then one request runs at a time, with pauses in between that keep the mean
    /// number in progress below the share.
    pub concurrency: f64,
}

/// Limits of one node, over all organisations.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of requests in progress.
    pub running: usize,
    /// Maximum number of waiting requests in all queues.
    pub waiting: usize,
    /// Maximum number of waiting requests of one organisation.
    pub queue: usize,
}

/// Result of offering a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request starts now.
    Admit,
    /// The request waits until [`Admission::next`] or [`Admission::expire`] returns its id, or
    /// [`Admission::cancel`] removes it.
    Queue,
    /// The request is refused and has not run.
    Shed {
        /// Why it was refused.
        reason: Reason,
        /// Time after which the caller may retry; zero if the deadline has passed.
        retry_after: time::Duration,
    },
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The deadline of the request has passed.
    Expired,
    /// The predicted wait exceeds the time left until the deadline.
    PredictedWait,
    /// The organisation has reached [`Limits::queue`].
    QueueFull,
    /// The node has reached [`Limits::waiting`].
    NodeFull,
}

/// Queues and limits of all organisations on one node.
///
/// The caller must call [`Admission::next`] until it returns `None`:
///
/// - after each `offer` that returned [`Decision::Queue`],
/// - after each `finish`, `update`, `expire` and `cancel`, and
/// - at the moment that `due` returns.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::Moment;
/// use corneltrestle_policy::admission::{Admission, Class, Limits, Decision, View};
///
/// let mut admission = Admission::new(Limits { running: 1, waiting: 10, queue: 5 });
/// let view = View { name: "a", weight: 1, rate: 10.0, concurrency: 4.0 };
/// let now = Moment::from_millis(1);
/// let deadline = now + Duration::from_secs(10);
/// assert_eq!(admission.offer(&view, 1, Class::Interactive, deadline, now), Decision::Admit);
/// assert_eq!(admission.offer(&view, 2, Class::Interactive, deadline, now), Decision::Queue);
/// admission.finish("a", now);
/// assert_eq!(admission.next(now), Some(2));
/// ```
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    organisations: collections::BTreeMap<id::Organisation, organisation::Organisation>,
    /// Start tag of the latest request that started, by class.
    virtual_times: [f64; Class::COUNT],
    running: usize,
    waiting: usize,
    /// Moving average of the time that a request is in progress; zero before the first one ends.
    service_time: time::Duration,
    /// Request-seconds spent in progress since the latest request ended.
    request_seconds: f64,
    /// Up to when `request_seconds` has been accumulated.
    accumulated: moment::Moment,
}

impl Admission {
    /// Time without requests after which the state of an organisation may be dropped.
    pub const RETENTION: time::Duration = time::Duration::from_secs(60);

    /// Creates empty queues.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            organisations: collections::BTreeMap::new(),
            virtual_times: [0.0; Class::COUNT],
            running: 0,
            waiting: 0,
            service_time: time::Duration::ZERO,
            request_seconds: 0.0,
            accumulated: moment::Moment::ZERO,
        }
    }

    /// Number of requests in progress.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Demand of each organisation: requests in progress, waiting requests, and a decaying count of
    /// the arrivals of about the last second. Input for [`share()`] on all nodes.
    pub fn demand(&self, now: moment::Moment) -> impl Iterator<Item = (&id::Organisation, f64)> {
        self.organisations.iter().map(move |(name, state)| (name, state.demand(now)))
    }

    /// The earliest moment at which a waiting request may start or expire without further calls;
    /// `None` if there is none.
    pub fn due(&self, now: moment::Moment) -> Option<moment::Moment> {
        let starts = self
            .organisations
            .values()
            .filter(|state| self.running < self.limits.running && state.waiting() > 0)
            .filter_map(|state| state.ready(now));
        let ends = self
            .organisations
            .values()
            .flat_map(|state| state.queues.iter().flatten().map(|entry| entry.deadline));
        starts.chain(ends).min()
    }
}

/// State changes.
impl Admission {
    /// Decides on a new request. The id must differ from those of all waiting requests.
    pub fn offer(
        &mut self,
        view: &View<'_>,
        id: u64,
        class: Class,
        deadline: moment::Moment,
        now: moment::Moment,
    ) -> Decision {
        self.update(view, now);
        self.state(view.name, now).record_arrival(now);
        if deadline <= now {
            return shed(Reason::Expired, time::Duration::ZERO);
        }
        let slot = class as usize;
        if self.running < self.limits.running
            && self.organisations[view.name].may_start(now)
            && self.pick(now).is_none()
        {
            self.start(view.name, slot, now);
            return Decision::Admit;
        }
        let wait = self.predict_wait(&self.organisations[view.name], slot, now);
        if wait > deadline.since(now) {
            return shed(Reason::PredictedWait, wait);
        }
        if self.waiting >= self.limits.waiting {
            return shed(Reason::NodeFull, wait);
        }
        let queue = self.limits.queue;
        let state = self.state(view.name, now);
        if state.waiting() >= queue {
            return shed(Reason::QueueFull, wait);
        }
        state.queues[slot].push_back(organisation::Entry { id, deadline });
        self.waiting += 1;
        Decision::Queue
    }

    /// Applies new limits and a new weight of an organisation.
    pub fn update(&mut self, view: &View<'_>, now: moment::Moment) {
        self.state(view.name, now).update(view, now);
    }

    /// Records the end of a request that was admitted or returned by [`Admission::next`].
    pub fn finish(&mut self, organisation: &str, now: moment::Moment) {
        let Some(state) = self.organisations.get_mut(organisation) else { return };
        if state.running == 0 {
            return;
        }
        state.finish(now);
        self.accumulate(now);
        self.running -= 1;
        // By Little's law, the request-seconds between two ends average to the mean time in
        // progress.
        let sample = time::Duration::from_secs_f64(self.request_seconds.min(1e9));
        self.request_seconds = 0.0;
        self.service_time = match self.service_time {
            time::Duration::ZERO => sample,
            mean => (mean * 15 + sample) / 16,
        };
    }

    /// Starts the waiting request that comes first in fair order and returns its id; `None` if no
    /// request may start now.
    pub fn next(&mut self, now: moment::Moment) -> Option<u64> {
        let (name, class, position) = self.pick(now)?;
        let name = name.clone();
        let entry = self.organisations.get_mut(&name)?.queues[class].remove(position)?;
        self.waiting -= 1;
        self.start(name.as_str(), class, now);
        Some(entry.id)
    }

    /// Removes the waiting requests whose deadline has passed and returns their ids.
    pub fn expire(&mut self, now: moment::Moment) -> Vec<u64> {
        let mut expired = Vec::new();
        for queue in self.organisations.values_mut().flat_map(|state| &mut state.queues) {
            queue.retain(|entry| {
                let keep = entry.deadline > now;
                if !keep {
                    expired.push(entry.id);
                }
                keep
            });
        }
        self.waiting -= expired.len();
        expired
    }

    /// Removes a waiting request whose caller has disconnected; false if no such request waits.
    pub fn cancel(&mut self, id: u64) -> bool {
        for queue in self.organisations.values_mut().flat_map(|state| &mut state.queues) {
            if let Some(position) = queue.iter().position(|entry| entry.id == id) {
                queue.remove(position);
                self.waiting -= 1;
                return true;
            }
        }
        false
    }
}

/// Fair queueing.
impl Admission {
    /// The waiting request to start next: its organisation, class and position in the queue.
    fn pick(&self, now: moment::Moment) -> Option<(&id::Organisation, usize, usize)> {
        if self.running >= self.limits.running || self.waiting == 0 {
            return None;
        }
        (0..Class::COUNT).find_map(|class| {
            self.organisations
                .iter()
                .filter_map(|(name, state)| {
                    let position = state.head(class, now)?;
                    state.may_start(now).then_some((name, state, position))
                })
                // Lowest start tag first; ties by the finish tag of the previous start.
                .min_by(|(_, a, _), (_, b, _)| {
                    let floor = self.virtual_times[class];
                    let (a, b) = (a.tags[class], b.tags[class]);
                    a.max(floor).total_cmp(&b.max(floor)).then(a.total_cmp(&b))
                })
                .map(|(name, _, position)| (name, class, position))
        })
    }

    fn start(&mut self, name: &str, class: usize, now: moment::Moment) {
        self.accumulate(now);
        self.running += 1;
        let Some(state) = self.organisations.get_mut(name) else { return };
        let floor = self.virtual_times[class];
        self.virtual_times[class] = state.tags[class].max(floor);
        state.start(class, floor, now);
    }

    /// Predicts how long a new request of the organisation would wait, by the service time and the
    /// requests ahead of it in fair order, and by the limits of the organisation.
    fn predict_wait(
        &self,
        state: &organisation::Organisation,
        class: usize,
        now: moment::Moment,
    ) -> time::Duration {
        let own = state.queues[..=class].iter().map(|queue| queue.len()).sum::<usize>();
        let rounds = (own + 1) as f64 / state.weight;
        let ahead = self
            .organisations
            .values()
            .map(|other| {
                let first = other.queues[..class].iter().map(|queue| queue.len()).sum::<usize>();
                let fair = (rounds * other.weight).ceil() as usize;
                first + other.queues[class].len().min(fair)
            })
            .sum::<usize>();
        let over = (self.running + ahead + 1).saturating_sub(self.limits.running);
        let node =
            self.service_time.as_secs_f64() * over as f64 / self.limits.running.max(1) as f64;
        time::Duration::from_secs_f64(node.min(1e9)).max(state.wait(own, self.service_time, now))
    }

    /// The state of an organisation. Adding a new one drops the idle ones.
    fn state(&mut self, name: &str, now: moment::Moment) -> &mut organisation::Organisation {
        if !self.organisations.contains_key(name) {
            self.organisations.retain(|_, state| !state.is_idle(now, Self::RETENTION));
        }
        self.organisations.entry(name.into()).or_default()
    }

    /// Adds the request-seconds since the last call.
    fn accumulate(&mut self, now: moment::Moment) {
        self.request_seconds += self.running as f64 * now.since(self.accumulated).as_secs_f64();
        self.accumulated = self.accumulated.max(now);
    }
}

fn shed(reason: Reason, wait: time::Duration) -> Decision {
    // The minimum prevents busy retries; the maximum prevents callers from staying away too long.
    let min_ms = if reason == Reason::Expired { 0 } else { 100 };
    let bounds = (time::Duration::from_millis(min_ms), time::Duration::from_secs(30));
    Decision::Shed { reason, retry_after: wait.clamp(bounds.0, bounds.1) }
}
