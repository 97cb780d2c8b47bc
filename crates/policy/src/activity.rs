//! The pauses of a node's own process.
//!
//! A process that gets no processor time handles reports and answers late. Time in which the node did
//! not run is therefore no evidence against an upstream.

use std::{collections, time};

use corneltrestle_time::moment;

/// Gap between two ticks, beyond [`Activity::PERIOD`], that counts as a pause. Two of them fit into the
/// time limit of a poll.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Number of pauses that are kept. Older ones count as time in which the node ran.
const MAX_PAUSES: usize = 64;

/// The latest pauses of a process.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, activity::Activity};
///
/// let mut activity = Activity::default();
/// activity.tick(Moment::from_millis(1_000));
/// activity.tick(Moment::from_millis(4_000));
/// let (since, now) = (Moment::from_millis(500), Moment::from_millis(4_000));
/// assert!(activity.has_paused(since, now));
/// assert_eq!(activity.ran(since, now), Duration::from_millis(600));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Activity {
    ticked: Option<moment::Moment>,
    /// Start and end of each pause, in order.
    pauses: collections::VecDeque<(moment::Moment, moment::Moment)>,
}

impl Activity {
    /// Time between two ticks.
    pub const PERIOD: time::Duration = time::Duration::from_millis(100);

    /// Records that the process runs; to be called every [`Activity::PERIOD`]. Returns the length of a
    /// pause that has just ended.
    pub fn tick(&mut self, now: moment::Moment) -> Option<time::Duration> {
        let pause = self.current_pause(now);
        self.ticked = Some(now);
        let (start, end) = pause?;
        if self.pauses.len() == MAX_PAUSES {
            self.pauses.pop_front();
        }
        self.pauses.push_back((start, end));
        Some(end.since(start))
    }

    /// Whether the process was paused at any time from `since` to `now`.
    pub fn has_paused(&self, since: moment::Moment, now: moment::Moment) -> bool {
        self.all(now).any(|(_, end)| end > since)
    }

    /// The time from `since` to `now` without the pauses.
    pub fn ran(&self, since: moment::Moment, now: moment::Moment) -> time::Duration {
        let paused = self.all(now).map(|(start, end)| end.since(start.max(since)));
        now.since(since).saturating_sub(paused.sum())
    }

    fn all(
        &self,
        now: moment::Moment,
    ) -> impl Iterator<Item = (moment::Moment, moment::Moment)> + '_ {
        self.pauses.iter().copied().chain(self.current_pause(now))
    }

    /// The pause that has not been recorded yet, as the next tick is late.
    fn current_pause(&self, now: moment::Moment) -> Option<(moment::Moment, moment::Moment)> {
        let due = self.ticked? + Self::PERIOD;
        (now.since(due) > MIN_PAUSE).then_some((due, now))
    }
}
