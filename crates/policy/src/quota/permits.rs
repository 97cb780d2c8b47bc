//! The permits that this node holds, and its requests that wait for one.

use std::{collections, time};

use corneltrestle_time::moment;

use super::grantor::Grant;
use crate::id;

/// Time after it was asked for in which a permit can be used.
const PERMIT_TIME: time::Duration = time::Duration::from_millis(400);

/// Time after which permits are asked for again if there was no answer.
pub const ASK_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Shortest and longest time for which an upstream without permits is left out before a request asks
/// again.
const MIN_DRY_TIME: time::Duration = time::Duration::from_millis(10);
const MAX_DRY_TIME: time::Duration = time::Duration::from_secs(1);

/// Time for which an upstream is left out if the grantor has not answered.
const MISSED_TIME: time::Duration = time::Duration::from_millis(100);

/// Permits by upstream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, quota::{Permits, grantor::Grant}};
///
/// let (mut permits, vm, at) = (Permits::default(), "vm".into(), Moment::from_millis);
/// permits.wait(&vm);
/// assert_eq!(permits.asks(at(1)), [(vm.clone(), 1)]);
/// let grant = Grant { number: 1, wait: Duration::ZERO };
/// permits.receive(&vm, grant, at(1), at(3));
/// assert!(permits.take("vm", at(4)));
/// assert!(!permits.take("vm", at(5)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Permits {
    upstreams: collections::BTreeMap<id::Vm, Upstream>,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    /// The end of each permit, earliest first.
    permits: collections::VecDeque<moment::Moment>,
    /// Requests that wait for a permit.
    waiting: u32,
    /// When permits were last asked for.
    asked: Option<moment::Moment>,
    /// Number of answers to these, so that a waiting request sees that there was one.
    answers: u64,
    /// Until when no permit is expected.
    dry: Option<moment::Moment>,
    /// When a permit is expected, by the grantor.
    expected: Option<moment::Moment>,
}

impl Permits {
    /// Takes a permit; returns whether there was one.
    pub fn take(&mut self, upstream: &str, now: moment::Moment) -> bool {
        let Some(held) = self.upstreams.get_mut(upstream) else { return false };
        while let Some(end) = held.permits.pop_front() {
            if now < end {
                return true;
            }
        }
        false
    }

    /// Whether a permit is held.
    pub fn has(&self, upstream: &str, now: moment::Moment) -> bool {
        let held = self.upstreams.get(upstream);
        held.is_some_and(|held| held.permits.iter().any(|end| now < *end))
    }

    /// Adds a request that waits for a permit; returns the number of answers so far.
    pub fn wait(&mut self, upstream: &id::Vm) -> u64 {
        let held = self.upstreams.entry(upstream.clone()).or_default();
        held.waiting += 1;
        held.answers
    }

    /// Removes a request that waits.
    pub fn end_wait(&mut self, upstream: &str) {
        if let Some(held) = self.upstreams.get_mut(upstream) {
            held.waiting = held.waiting.saturating_sub(1);
        }
    }

    /// Number of answers of grantors for an upstream.
    pub fn answers(&self, upstream: &str) -> u64 {
        self.upstreams.get(upstream).map_or(0, |held| held.answers)
    }

    /// The permits to ask for now, by upstream.
    pub fn asks(&mut self, now: moment::Moment) -> Vec<(id::Vm, u32)> {
        let mut asks = Vec::new();
        for (upstream, held) in &mut self.upstreams {
            let lacking = held.waiting.saturating_sub(held.permits.len() as u32);
            let is_due = held.asked.is_none_or(|at| now.since(at) >= ASK_PERIOD);
            if lacking > 0 && is_due {
                held.asked = Some(now);
                asks.push((upstream.clone(), lacking));
            }
        }
        asks
    }

    /// Adds the permits that were asked for at `asked`. Those that have taken too long are void.
    pub fn receive(
        &mut self,
        upstream: &id::Vm,
        grant: Grant,
        asked: moment::Moment,
        now: moment::Moment,
    ) {
        let held = self.upstreams.entry(upstream.clone()).or_default();
        let end = asked + PERMIT_TIME;
        if now < end {
            held.permits.extend((0..grant.number).map(|_| end));
        }
        held.answers += 1;
        // The next request asks at once.
        held.asked = None;
        held.expected = Some(now + grant.wait);
        let is_dry = grant.number == 0;
        held.dry = is_dry.then(|| now + grant.wait.clamp(MIN_DRY_TIME, MAX_DRY_TIME));
    }

    /// Records that no answer has come in time.
    pub fn miss(&mut self, upstream: &id::Vm, now: moment::Moment) {
        let held = self.upstreams.entry(upstream.clone()).or_default();
        held.dry = Some(now + MISSED_TIME);
    }

    /// Whether no permit is expected for an upstream now.
    pub fn is_dry(&self, upstream: &str, now: moment::Moment) -> bool {
        let Some(held) = self.upstreams.get(upstream) else { return false };
        held.permits.is_empty() && held.dry.is_some_and(|until| now < until)
    }

    /// Time until a permit for an upstream is expected.
    pub fn wait_time(&self, upstream: &str, now: moment::Moment) -> time::Duration {
        let expected = self.upstreams.get(upstream).and_then(|held| held.expected);
        expected.map_or(time::Duration::ZERO, |at| at.since(now))
    }

    /// Removes permits that have lapsed, and upstreams for which nothing is held.
    pub fn prune(&mut self, now: moment::Moment) {
        self.upstreams.retain(|_, held| {
            held.permits.retain(|end| now < *end);
            let is_expected = held.expected.is_some_and(|at| now < at + PERMIT_TIME);
            held.waiting > 0 || !held.permits.is_empty() || is_expected
        });
    }
}
