//! Queues and limits of one organisation on one node.

use std::{collections, time};

use corneltrestle_time::moment;

use super::bucket;
use crate::admission;

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) id: u64,
    pub(super) deadline: moment::Moment,
}

/// Queues, limits and counters of one organisation.
#[derive(Debug, Default)]
pub(super) struct Organisation {
    pub(super) weight: f64,
    pub(super) running: usize,
    pub(super) queues: [collections::VecDeque<Entry>; admission::Class::COUNT],
    /// Finish tag of the latest request that started, by class.
    pub(super) tags: [f64; admission::Class::COUNT],
    rate: f64,
    concurrency: f64,
    tokens: bucket::Bucket,
    /// Exponentially decaying count of arrivals, as of `arrived`.
    arrivals: f64,
    /// When the latest request arrived.
    arrived: moment::Moment,
    /// When a request last started.
    started: moment::Moment,
    /// When a request last ended.
    finished: moment::Moment,
}

impl Organisation {
    /// Time constant of the decaying count of arrivals.
    const ARRIVAL_DECAY: time::Duration = time::Duration::from_secs(1);

    pub(super) fn update(&mut self, view: &admission::View<'_>, now: moment::Moment) {
        // Before the first update the weight is zero and the rate is not known.
        if self.weight > 0.0 {
            self.tokens.refill(self.rate, self.burst(), now);
        }
        self.weight = f64::from(view.weight.max(1));
        self.rate = view.rate;
        self.concurrency = view.concurrency;
    }

    pub(super) fn record_arrival(&mut self, now: moment::Moment) {
        self.arrivals = self.recent_arrivals(now) + 1.0;
        self.arrived = now;
    }

    pub(super) fn waiting(&self) -> usize {
        self.queues.iter().map(collections::VecDeque::len).sum()
    }

    pub(super) fn demand(&self, now: moment::Moment) -> f64 {
        (self.waiting() + self.running) as f64 + self.recent_arrivals(now)
    }

    /// Whether dropping this state would change no later decision.
    pub(super) fn is_idle(&self, now: moment::Moment, after: time::Duration) -> bool {
        let full = self.tokens.level(self.rate, self.burst(), now) >= self.burst();
        let unused = self.waiting() + self.running == 0 && now.since(self.arrived) >= after;
        unused && full && self.may_start(now)
    }

    /// Position of the first waiting request of a class whose deadline has not passed.
    pub(super) fn head(&self, class: usize, now: moment::Moment) -> Option<usize> {
        self.queues[class].iter().position(|entry| entry.deadline > now)
    }

    /// When the limits allow the next start; `None` if a running request has to end first.
    pub(super) fn ready(&self, now: moment::Moment) -> Option<moment::Moment> {
        let tokens = self.tokens.level(self.rate, self.burst(), now);
        let rate = now + bucket::wait(tokens, 1.0, self.rate);
        if self.concurrency >= 1.0 {
            return (self.running < self.concurrency as usize).then_some(rate);
        }
        if self.running > 0 {
            return None;
        }
        // With a share below one, a request that took d is followed by a pause of
        // d * (1 / share - 1), so that the mean number in progress is at most the share.
        let taken = self.finished.since(self.started).as_secs_f64();
        let pause = taken * (1.0 / self.concurrency.max(1e-6) - 1.0);
        let pause_end = self.finished + time::Duration::from_micros((pause * 1e6).min(1e15) as u64);
        Some(rate.max(pause_end))
    }

    pub(super) fn may_start(&self, now: moment::Moment) -> bool {
        self.ready(now).is_some_and(|at| at <= now)
    }

    pub(super) fn start(&mut self, class: usize, virtual_time: f64, now: moment::Moment) {
        self.tokens.refill(self.rate, self.burst(), now);
        self.tokens.take();
        self.running += 1;
        self.started = now;
        self.tags[class] = self.tags[class].max(virtual_time) + 1.0 / self.weight;
    }

    pub(super) fn finish(&mut self, now: moment::Moment) {
        self.running = self.running.saturating_sub(1);
        self.finished = now;
    }

    /// Time until the limits of the organisation allow a request to start that has `ahead` others
    /// before it. `service_time` is the mean time that a request is in progress.
    pub(super) fn wait(
        &self,
        ahead: usize,
        service_time: time::Duration,
        now: moment::Moment,
    ) -> time::Duration {
        let tokens = self.tokens.level(self.rate, self.burst(), now);
        let rate = bucket::wait(tokens, (ahead + 1) as f64, self.rate);
        let over = (self.running + ahead + 1) as f64 - self.concurrency.max(1.0).floor();
        let slots = if over > 0.0 {
            (service_time.as_secs_f64() * over / self.concurrency.max(1e-6)).min(1e9)
        } else {
            0.0
        };
        rate.max(time::Duration::from_secs_f64(slots))
    }

    /// Size of the token bucket: the requests of one second, at least one.
    fn burst(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// The decayed count of arrivals at `now`.
    fn recent_arrivals(&self, now: moment::Moment) -> f64 {
        let age = now.since(self.arrived).as_secs_f64() / Self::ARRIVAL_DECAY.as_secs_f64();
        self.arrivals * (-age).exp()
    }
}
