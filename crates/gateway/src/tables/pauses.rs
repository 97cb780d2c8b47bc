//! Times at which this process did not run.

use std::time;

use corneltrestle_kernel::table;
use corneltrestle_time::moment;

/// Gap between two looks, beyond their period, that counts as a pause. It is half the time that a
/// probe waits, so that a pause which voids a probe is noticed.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Pauses of the process; rank 72. After one, silence of others says nothing.
#[derive(Debug, Default)]
pub struct Pauses {
    last_tick: Option<moment::Moment>,
    last_end: Option<moment::Moment>,
}

impl table::Ranked for Pauses {
    const RANK: u16 = 72;
    const NAME: &'static str = "pauses";
}

impl Pauses {
    /// Notes that the process runs, as it does every `period`; returns the length of a pause that
    /// has just ended.
    pub fn tick(&mut self, period: time::Duration, now: moment::Moment) -> Option<time::Duration> {
        let gap = self.last_tick.map_or(time::Duration::ZERO, |at| now.since(at));
        self.last_tick = Some(now);
        if gap <= period + MIN_PAUSE {
            return None;
        }
        self.last_end = Some(now);
        Some(gap)
    }

    /// When the latest pause ended.
    pub fn last_end(&self) -> Option<moment::Moment> {
        self.last_end
    }

    /// Whether the process has paused since a moment, or has not been seen to run for as long as
    /// a pause.
    pub fn has_paused(&self, since: moment::Moment, now: moment::Moment) -> bool {
        self.last_end.is_some_and(|ended| ended >= since)
            || self.last_tick.is_some_and(|at| now.since(at) > MIN_PAUSE)
    }
}
