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

/// State of one organisation.
#[derive(Debug, Default)]
pub(super) struct Organisation {
    pub(super) weight: f64,
    pub(super) running: usize,
    pub(super) queues: [collections::VecDeque<Entry>; admission::Class::COUNT],
    /// Finish tag of the latest start, by class.
    pub(super) tags: [f64; admission::Class::COUNT],
    rate: f64,
    concurrency: f64,
    tokens: bucket::Bucket,
    arrivals: f64,
    seen: moment::Moment,
    started: moment::Moment,
    stopped: moment::Moment,
}

impl Organisation {
    /// Time constant of the arrival count.
    const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(1);

    pub(super) fn update(&mut self, view: &admission::View<'_>, now: moment::Moment) {
        // The weight is positive after the first update.
        if self.weight > 0.0 {
            self.tokens.refill(self.rate, self.burst(), now);
        }
        self.weight = f64::from(view.weight.max(1));
        self.rate = view.rate;
        self.concurrency = view.concurrency;
    }

    pub(super) fn arrived(&mut self, now: moment::Moment) {
        self.arrivals = self.recent(now) + 1.0;
        self.seen = now;
    }

    pub(super) fn waiting(&self) -> usize {
        self.queues.iter().map(collections::VecDeque::len).sum()
    }

    pub(super) fn demand(&self, now: moment::Moment) -> f64 {
        (self.waiting() + self.running) as f64 + self.recent(now)
    }

    /// Whether forgetting it changes no decision.
    pub(super) fn is_idle(&self, now: moment::Moment, after: time::Duration) -> bool {
        let full = self.tokens.level(self.rate, self.burst(), now) >= self.burst();
        let quiet = self.waiting() + self.running == 0 && now.since(self.seen) >= after;
        quiet && full && self.may_start(now)
    }

    /// The first waiting request of a class whose deadline has not passed, by position.
    pub(super) fn head(&self, class: usize, now: moment::Moment) -> Option<usize> {
        self.queues[class].iter().position(|entry| entry.deadline > now)
    }

    /// When its limits allow another start, if no other change comes first; `None` if only the end
    /// of a running request can allow it.
    pub(super) fn ready(&self, now: moment::Moment) -> Option<moment::Moment> {
        let tokens = self.tokens.level(self.rate, self.burst(), now);
        let rate = now + bucket::wait(tokens, 1.0, self.rate);
        if self.concurrency >= 1.0 {
            return (self.running < self.concurrency as usize).then_some(rate);
        }
        if self.running > 0 {
            return None;
        }
        // A share below one is served in turns: after a request that took d, the slot rests for
        // d * (1 / share - 1), so that the mean number in progress is at most the share.
        let held = self.stopped.since(self.started).as_secs_f64();
        let rest = held * (1.0 / self.concurrency.max(1e-6) - 1.0);
        let rested = self.stopped + time::Duration::from_micros((rest * 1e6).min(1e15) as u64);
        Some(rate.max(rested))
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
        self.stopped = now;
    }

    /// Time until its own limits allow the start that `ahead` starts precede.
    pub(super) fn wait(
        &self,
        ahead: usize,
        held: time::Duration,
        now: moment::Moment,
    ) -> time::Duration {
        let tokens = self.tokens.level(self.rate, self.burst(), now);
        let rate = bucket::wait(tokens, (ahead + 1) as f64, self.rate);
        let over = (self.running + ahead + 1) as f64 - self.concurrency.max(1.0).floor();
        let slots = if over > 0.0 {
            (held.as_secs_f64() * over / self.concurrency.max(1e-6)).min(1e9)
        } else {
            0.0
        };
        rate.max(time::Duration::from_secs_f64(slots))
    }

    /// One second of the rate, and at least one request.
    fn burst(&self) -> f64 {
        self.rate.max(1.0)
    }

    fn recent(&self, now: moment::Moment) -> f64 {
        let age = now.since(self.seen).as_secs_f64() / Self::DEMAND_WINDOW.as_secs_f64();
        self.arrivals * (-age).exp()
    }
}
