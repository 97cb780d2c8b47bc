//! Admission of requests: limits and weighted fair queues by organisation, with shedding.

mod bucket;
mod organisation;
mod share;

use std::{collections, time};

use corneltrestle_time::moment;

use crate::id;

pub use bucket::{Bucket, wait};
pub use share::{MIN_SHARE, share};

/// Importance of a request; interactive requests start before background ones.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Someone waits for the answer.
    Interactive,
    /// Nobody waits for the answer.
    Background,
}

impl Class {
    pub(crate) const COUNT: usize = 2;
}

/// An organisation with this node's shares of its limits.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Its name.
    pub name: &'a str,
    /// Weight under overload; 0 counts as 1.
    pub weight: u32,
    /// Requests a second on this node, see [`share`].
    pub rate: f64,
    /// Requests in progress on this node, see [`share`]. The whole part is a strict limit; a share
    /// below one is served in turns, so that the mean number in progress stays below it.
    pub concurrency: f64,
}

/// Bounds of one node.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests in progress.
    pub running: usize,
    /// Requests waiting in all queues.
    pub waiting: usize,
    /// Requests waiting of one organisation.
    pub queue: usize,
}

/// What happens to an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It starts now.
    Admit,
    /// It waits until [`Admission::next`] or [`Admission::expire`] returns it.
    Queue,
    /// It is refused and has not run.
    Shed {
        /// Why.
        reason: Reason,
        /// When a retry makes sense.
        retry_after: time::Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline has passed.
    Expired,
    /// Its predicted wait exceeds the time left.
    PredictedWait,
    /// The queue of its organisation is full.
    QueueFull,
    /// The node's queues are full.
    NodeFull,
}

/// Queues and limits of all organisations on one node.
///
/// The caller calls [`Admission::next`] until it returns `None` after each call to `offer` that
/// queued, `finish`, `update`, `expire` and `cancel`, and at the moment that `due` returns.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::Moment;
/// use corneltrestle_policy::admission::{Admission, Class, Limits, Decision, View};
///
/// let mut admission = Admission::open(Limits { running: 1, waiting: 10, queue: 5 });
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
    /// Start tag of the latest start, by class.
    virtual_times: [f64; Class::COUNT],
    running: usize,
    waiting: usize,
    /// Mean time in progress; zero before the first finish.
    held: time::Duration,
    /// Request-seconds in progress since the latest finish.
    area: f64,
    counted: moment::Moment,
}

impl Admission {
    /// Organisations without requests for this long are forgotten.
    pub const RETENTION: time::Duration = time::Duration::from_secs(60);

    /// Opens empty queues.
    pub fn open(limits: Limits) -> Self {
        Self {
            limits,
            organisations: collections::BTreeMap::new(),
            virtual_times: [0.0; Class::COUNT],
            running: 0,
            waiting: 0,
            held: time::Duration::ZERO,
            area: 0.0,
            counted: moment::Moment::ZERO,
        }
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Demand by organisation: requests in progress and waiting, plus arrivals of the last second.
    pub fn demand(&self, now: moment::Moment) -> impl Iterator<Item = (&id::Organisation, f64)> {
        self.organisations.iter().map(move |(name, state)| (name, state.demand(now)))
    }

    /// When a waiting request may start or expires, if nothing else happens before.
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

/// Changes.
impl Admission {
    /// Decides on a new request, whose id differs from those of all waiting requests.
    pub fn offer(
        &mut self,
        view: &View<'_>,
        id: u64,
        class: Class,
        deadline: moment::Moment,
        now: moment::Moment,
    ) -> Decision {
        self.update(view, now);
        self.state(view.name, now).arrived(now);
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
        let wait = self.predict(&self.organisations[view.name], slot, now);
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

    /// Applies changed limits of an organisation.
    pub fn update(&mut self, view: &View<'_>, now: moment::Moment) {
        self.state(view.name, now).update(view, now);
    }

    /// Counts the end of a request that was admitted or returned by [`Admission::next`].
    pub fn finish(&mut self, organisation: &str, now: moment::Moment) {
        let Some(state) = self.organisations.get_mut(organisation) else { return };
        if state.running == 0 {
            return;
        }
        state.finish(now);
        self.count(now);
        self.running -= 1;
        // The request-seconds between two finishes average to the mean time in progress.
        let sample = time::Duration::from_secs_f64(self.area.min(1e9));
        self.area = 0.0;
        self.held = match self.held {
            time::Duration::ZERO => sample,
            held => (held * 15 + sample) / 16,
        };
    }

    /// Starts the waiting request that is first in fair order, if any may start.
    pub fn next(&mut self, now: moment::Moment) -> Option<u64> {
        let (name, class, position) = self.pick(now)?;
        let name = name.clone();
        let entry = self.organisations.get_mut(&name)?.queues[class].remove(position)?;
        self.waiting -= 1;
        self.start(name.as_str(), class, now);
        Some(entry.id)
    }

    /// Removes the waiting requests whose deadline has passed.
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

    /// Removes a waiting request whose caller has gone; false if it does not wait.
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

/// Fair order.
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
                // The start tag; equal ones in order of the previous finish tag.
                .min_by(|(_, a, _), (_, b, _)| {
                    let floor = self.virtual_times[class];
                    let (a, b) = (a.tags[class], b.tags[class]);
                    a.max(floor).total_cmp(&b.max(floor)).then(a.total_cmp(&b))
                })
                .map(|(name, _, position)| (name, class, position))
        })
    }

    fn start(&mut self, name: &str, class: usize, now: moment::Moment) {
        self.count(now);
        self.running += 1;
        let Some(state) = self.organisations.get_mut(name) else { return };
        let floor = self.virtual_times[class];
        self.virtual_times[class] = state.tags[class].max(floor);
        state.start(class, floor, now);
    }

    /// Predicted wait of a new request of `state`.
    fn predict(
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
        let node = self.held.as_secs_f64() * over as f64 / self.limits.running.max(1) as f64;
        time::Duration::from_secs_f64(node.min(1e9)).max(state.wait(own, self.held, now))
    }

    /// The state of an organisation; idle ones are forgotten when a new one comes.
    fn state(&mut self, name: &str, now: moment::Moment) -> &mut organisation::Organisation {
        if !self.organisations.contains_key(name) {
            self.organisations.retain(|_, state| !state.is_idle(now, Self::RETENTION));
        }
        self.organisations.entry(name.into()).or_default()
    }

    fn count(&mut self, now: moment::Moment) {
        self.area += self.running as f64 * now.since(self.counted).as_secs_f64();
        self.counted = self.counted.max(now);
    }
}

fn shed(reason: Reason, wait: time::Duration) -> Decision {
    // Bounds of the advice: no busy retries, no caller that gives up for long.
    let shortest = if reason == Reason::Expired { 0 } else { 100 };
    let bounds = (time::Duration::from_millis(shortest), time::Duration::from_secs(30));
    Decision::Shed { reason, retry_after: wait.clamp(bounds.0, bounds.1) }
}
