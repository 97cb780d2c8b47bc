//! Pauses of this process, such as a suspended VM.

use std::time;

use corneltrestle_kernel::table;
use corneltrestle_policy::stall;
use corneltrestle_time::moment;

/// Gap between two ticks, beyond their period, that counts as a pause. It is half the timeout of a
/// probe, so that each pause that invalidates a probe is noticed.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Pauses of the process; lock rank 72. Time without answers that includes a pause is no evidence
/// against a peer or an upstream.
#[derive(Debug, Default)]
pub struct Pauses {
    last_tick: Option<moment::Moment>,
    last_end: Option<moment::Moment>,
    /// All gaps between ticks, also those that are shorter than a pause.
    gaps: stall::Gaps,
}

impl table::Ranked for Pauses {
    const RANK: u16 = 72;
    const NAME: &'static str = "pauses";
}

impl Pauses {
    /// Records that the process runs; to be called every `period`. Returns the length of a pause
    /// that has just ended.
    pub fn tick(&mut self, period: time::Duration, now: moment::Moment) -> Option<time::Duration> {
        let gap = self.gaps.check(period, now);
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

    /// Time since `from` in which the process has run, see [`stall::Gaps::silence`].
    pub fn silence(&self, from: moment::Moment, now: moment::Moment) -> time::Duration {
        self.gaps.silence(from, now)
    }

    /// Whether the process was paused since the given time, or is late with its next tick, which
    /// means a pause that has not been recorded yet.
    pub fn has_paused(&self, since: moment::Moment, now: moment::Moment) -> bool {
        self.last_end.is_some_and(|ended| ended >= since)
            || self.last_tick.is_some_and(|at| now.since(at) > MIN_PAUSE)
    }
}
