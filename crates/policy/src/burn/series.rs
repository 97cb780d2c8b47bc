//! Counts of one pair over the last 24 hours in bounded memory.

use corneltrestle_time::Moment;

use super::{Burn, Counts, Totals};

/// Milliseconds of a fine step.
const MINUTE: u64 = 60_000;
/// Milliseconds of a coarse step.
const TEN_MINUTES: u64 = 600_000;

/// Counts by minute for an hour and by ten minutes for a day.
#[derive(Debug, Default)]
pub(super) struct Series {
    minutes: Ring,
    steps: Ring,
}

impl Series {
    const MINUTES: usize = 60;
    const STEPS: usize = 144;

    pub(super) fn record(&mut self, counts: &Counts, now: Moment) {
        self.minutes.slot(now.as_millis() / MINUTE, Self::MINUTES).add(counts);
        self.steps.slot(now.as_millis() / TEN_MINUTES, Self::STEPS).add(counts);
    }

    pub(super) fn totals(&self, now: Moment) -> Totals {
        let (minute, step) = (now.as_millis() / MINUTE, now.as_millis() / TEN_MINUTES);
        Totals {
            short: self.minutes.sum(minute, Burn::SHORT.as_secs() / 60),
            long: self.minutes.sum(minute, Burn::LONG.as_secs() / 60),
            day: self.steps.sum(step, Self::STEPS as u64),
        }
    }

    pub(super) fn minutes(&self, now: Moment) -> Vec<Counts> {
        let minute = now.as_millis() / MINUTE;
        (0..Self::MINUTES as u64)
            .map(|age| minute.checked_sub(age).map_or_else(Counts::default, |i| self.minutes.at(i)))
            .collect()
    }
}

/// Counts of the latest steps; a slot is reused when its step is too old.
#[derive(Debug, Default)]
struct Ring {
    slots: Vec<(u64, Counts)>,
}

impl Ring {
    fn slot(&mut self, step: u64, size: usize) -> &mut Counts {
        if self.slots.is_empty() {
            self.slots = vec![(0, Counts::default()); size];
        }
        let (at, counts) = &mut self.slots[(step % size as u64) as usize];
        if *at != step {
            (*at, *counts) = (step, Counts::default());
        }
        counts
    }

    fn at(&self, step: u64) -> Counts {
        match self.slots.get((step % self.slots.len().max(1) as u64) as usize) {
            Some((at, counts)) if *at == step => *counts,
            _ => Counts::default(),
        }
    }

    /// The sum of the last `number` steps including `step`.
    fn sum(&self, step: u64, number: u64) -> Counts {
        let mut sum = Counts::default();
        for (_, counts) in self.slots.iter().filter(|(at, _)| *at <= step && at + number > step) {
            sum.add(counts);
        }
        sum
    }
}
