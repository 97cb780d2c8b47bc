//! Counts of one service and organisation over the last 24 hours, in bounded memory.

use corneltrestle_time::moment;

use crate::burn;

/// Length of a fine step.
const MINUTE_MS: u64 = 60_000;
/// Length of a coarse step.
const TEN_MINUTES_MS: u64 = 600_000;

/// Counts in steps of a minute for an hour, and in steps of ten minutes for a day.
#[derive(Debug, Default)]
pub(super) struct Series {
    minutes: Ring,
    steps: Ring,
}

impl Series {
    /// Number of fine steps: an hour.
    const MINUTES: usize = 60;
    /// Number of coarse steps: a day.
    const STEPS: usize = 144;

    pub(super) fn record(&mut self, counts: &burn::Counts, now: moment::Moment) {
        self.minutes.slot(now.as_millis() / MINUTE_MS, Self::MINUTES).add(counts);
        self.steps.slot(now.as_millis() / TEN_MINUTES_MS, Self::STEPS).add(counts);
    }

    pub(super) fn totals(&self, now: moment::Moment) -> burn::Totals {
        let (minute, step) = (now.as_millis() / MINUTE_MS, now.as_millis() / TEN_MINUTES_MS);
        burn::Totals {
            short: self.minutes.sum(minute, burn::Recorder::SHORT_WINDOW.as_secs() / 60),
            long: self.minutes.sum(minute, burn::Recorder::LONG_WINDOW.as_secs() / 60),
            day: self.steps.sum(step, Self::STEPS as u64),
        }
    }

    pub(super) fn history(&self, now: moment::Moment) -> Vec<(u32, burn::Counts)> {
        let (minute, step) = (now.as_millis() / MINUTE_MS, now.as_millis() / TEN_MINUTES_MS);
        let per_step = TEN_MINUTES_MS / MINUTE_MS;
        let mut history: Vec<_> = (0..).zip(self.minutes(now)).collect();
        for back in 0..Self::STEPS as u64 {
            let Some(at) = step.checked_sub(back) else { break };
            let mut older = self.steps.at(at);
            let (first, last) = (at * per_step, at * per_step + per_step - 1);
            for fine in first..=last.min(minute) {
                if minute - fine < Self::MINUTES as u64 {
                    older.subtract(&self.minutes.at(fine));
                }
            }
            let age = minute.saturating_sub(last).max(Self::MINUTES as u64);
            history.push((u32::try_from(age).unwrap_or(u32::MAX), older));
        }
        history.retain(|(_, counts)| *counts != burn::Counts::default());
        history
    }

    pub(super) fn minutes(&self, now: moment::Moment) -> Vec<burn::Counts> {
        let minute = now.as_millis() / MINUTE_MS;
        (0..Self::MINUTES as u64)
            .map(|age| {
                minute.checked_sub(age).map_or_else(burn::Counts::default, |i| self.minutes.at(i))
            })
            .collect()
    }
}

/// Ring buffer of counts by step number. A slot is reused when its step is too old; it allocates on
/// first use.
#[derive(Debug, Default)]
struct Ring {
    slots: Vec<(u64, burn::Counts)>,
}

impl Ring {
    /// The counts of `step`, emptied if the slot holds another step.
    fn slot(&mut self, step: u64, size: usize) -> &mut burn::Counts {
        if self.slots.is_empty() {
            self.slots = vec![(0, burn::Counts::default()); size];
        }
        let (at, counts) = &mut self.slots[(step % size as u64) as usize];
        if *at != step {
            (*at, *counts) = (step, burn::Counts::default());
        }
        counts
    }

    /// The counts of `step`; zero if it is not in the ring.
    fn at(&self, step: u64) -> burn::Counts {
        match self.slots.get((step % self.slots.len().max(1) as u64) as usize) {
            Some((at, counts)) if *at == step => *counts,
            _ => burn::Counts::default(),
        }
    }

    /// The sum of the last `number` steps including `step`.
    fn sum(&self, step: u64, number: u64) -> burn::Counts {
        let mut sum = burn::Counts::default();
        for (_, counts) in self.slots.iter().filter(|(at, _)| *at <= step && at + number > step) {
            sum.add(counts);
        }
        sum
    }
}
