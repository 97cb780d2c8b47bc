//! Stall detection: how long a group may send no event on any stream before it counts as stalled.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{cost, deployment};

/// Factor on the predicted time of a pass, since other nodes may have sent work that this node does
/// not know of yet.
const SLACK: f64 = 1.6;

/// Allowance for the delivery of an event, including scheduling delays on a small VM.
const DELIVERY_ALLOWANCE: time::Duration = time::Duration::from_millis(30);

/// Time without an event after which a group with this outstanding work counts as stalled.
///
/// Every running request gets an event in each pass. The longest time without events is therefore
/// one pass with the prefill that it includes.
pub fn limit(engine: &deployment::Engine, pace: f64, work: &cost::Work) -> time::Duration {
    let running = work.requests.min(engine.slots.max(1));
    let pass = cost::decode_pass(engine, pace, running) + cost::prefill(engine, pace, work.unread);
    pass.mul_f64(SLACK) + DELIVERY_ALLOWANCE
}

/// Time by which a check is late from which the process counts as not having run: more than timers
/// are usually late.
const MIN_GAP: time::Duration = time::Duration::from_millis(5);

/// Time for which gaps are kept, longer than any [`limit`] in use.
const GAP_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Gaps that are kept at most.
const MAX_GAPS: usize = 512;

/// Time in which this process did not run, by how late a periodic check was. Events that arrive
/// meanwhile are read later, so that this time is no evidence against an upstream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, stall};
///
/// let (period, at) = (Duration::from_millis(20), Moment::from_millis);
/// let mut gaps = stall::Gaps::default();
/// for now in [1_000, 1_020, 1_100] {
///     gaps.check(period, at(now));
/// }
/// assert_eq!(gaps.silence(at(1_010), at(1_110)), Duration::from_millis(40));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Gaps {
    last_check: Option<moment::Moment>,
    /// Begin and end of each gap, in order.
    gaps: collections::VecDeque<(moment::Moment, moment::Moment)>,
}

impl Gaps {
    /// Records a check that takes place every `period`; returns the time since the one before it.
    pub fn check(&mut self, period: time::Duration, now: moment::Moment) -> time::Duration {
        let Some(last) = self.last_check.replace(now) else { return time::Duration::ZERO };
        let since = now.since(last);
        if since >= period + MIN_GAP {
            self.gaps.push_back((last + period, now));
        }
        while self.gaps.len() > MAX_GAPS
            || self.gaps.front().is_some_and(|(_, end)| now.since(*end) > GAP_RETENTION)
        {
            self.gaps.pop_front();
        }
        since
    }

    /// Time since `from` in which this process has run.
    pub fn silence(&self, from: moment::Moment, now: moment::Moment) -> time::Duration {
        let lost = self.gaps.iter().map(|(begin, end)| end.since(from.max(*begin))).sum();
        now.since(from).saturating_sub(lost)
    }
}
