//! Work in progress at the usual load, as a fraction of that at the sustainable rate.
//!
//! Requests are in progress for longer than the cost model says: answers wait for slow callers, queues
//! form at some groups, reports are late. By how much is learned while first events are in time: work
//! that goes with requests in time is no overload.

/// Time constant of the mean and of the deviation. A burst of a second moves them by a fifth.
const TIME: f64 = 5.0;

/// Mean deviations by which the work in progress exceeds its mean before requests are held back, and
/// down to which they go on to be.
pub(super) const START_DEVIATIONS: f64 = 2.5;
pub(super) const STOP_DEVIATIONS: f64 = 0.0;

/// Weight of the latest first event in the fraction of those in time.
const WEIGHT: f64 = 0.125;

/// Fraction of the first events that are in time at the usual load, and while requests wait.
const USUAL_FRACTION: f64 = 0.75;
const WAITING_FRACTION: f64 = 0.95;

/// Bound of the factor on the work at the sustainable rate.
const MAX_FACTOR: f64 = 2.5;

/// Number of the fractions that are learned.
const NUMBER: usize = 3;

/// Requests and unread tokens in progress, and the rate of requests, as fractions of those that are
/// sustainable.
pub(super) type Levels = [f64; NUMBER];

/// Learns the work in progress and the rate of requests that go with first events in time.
#[derive(Clone, Debug, Default)]
pub(super) struct Usual {
    levels: [Level; NUMBER],
    /// Fraction of the latest first events that were in time; `None` before the first one.
    in_time: Option<f64>,
    /// The work in progress as last observed, and whether nothing waited.
    latest: Levels,
    is_calm: bool,
    /// Seconds since the last first event, and seconds learned from, at most [`TIME`].
    unlearned: f64,
    learned: f64,
}

/// Mean and mean deviation of a fraction.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    mean: f64,
    deviation: f64,
}

impl Usual {
    /// Observes the work in progress; `elapsed` is the time since the last observation in seconds.
    pub(super) fn observe(&mut self, levels: Levels, is_calm: bool, elapsed: f64) {
        self.latest = levels;
        self.is_calm = is_calm;
        self.unlearned += elapsed;
    }

    /// Records whether a first event was in time. If so, the work in progress counts as usual: at a node
    /// with few requests, it is the one with which the request was sent.
    pub(super) fn record(&mut self, is_in_time: bool) {
        let value = f64::from(u8::from(is_in_time));
        let old = self.in_time.unwrap_or(value);
        let in_time = old + (value - old) * WEIGHT;
        self.in_time = Some(in_time);
        let elapsed = std::mem::take(&mut self.unlearned);
        let needed = if self.is_calm { USUAL_FRACTION } else { WAITING_FRACTION };
        let is_known = elapsed > 0.0 && self.latest.iter().all(|level| level.is_finite());
        if !is_in_time || in_time < needed || !is_known {
            return;
        }
        self.learned = (self.learned + elapsed).min(TIME);
        let weight = elapsed.min(TIME) / self.learned;
        for (known, level) in self.levels.iter_mut().zip(self.latest) {
            let difference = level - known.mean;
            known.mean += difference * weight;
            known.deviation += (difference.abs() - known.deviation) * weight;
        }
    }

    /// Factors on the work at the sustainable rate with which the usual work is a fraction of `busy` of
    /// it; at least 1.
    pub(super) fn factors(&self, busy: f64) -> Levels {
        self.levels.map(|level| (level.mean / busy).clamp(1.0, MAX_FACTOR))
    }

    /// Whether the work in progress exceeds a fraction of `least`, and what is usual by a number of mean
    /// deviations.
    pub(super) fn exceeds(&self, levels: Levels, least: f64, deviations: f64) -> bool {
        self.levels[..2].iter().zip(levels).any(|(known, level)| {
            let usual = known.mean + deviations * known.deviation;
            level > usual.min(MAX_FACTOR).max(least)
        })
    }
}
