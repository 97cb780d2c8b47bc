//! The allowance of extra attempts.

use corneltrestle_time::moment;

/// An allowance of extra attempts as a fraction of the requests, with a minimum each second.
///
/// Over any [`Budget::WINDOW_S`] seconds it grants at most `minimum` a second plus `fraction` of the
/// requests.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, retry};
///
/// let (mut hedges, now) = (retry::Budget::hedges(), Moment::from_millis(20_000));
/// (0..20).for_each(|_| hedges.count(now));
/// assert!(hedges.take(now));
/// assert!(!hedges.take(now));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    fraction: f64,
    minimum: u32,
    slots: [Slot; Budget::WINDOW_S],
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    second: u64,
    requests: u32,
    extra: u32,
}

impl Budget {
    /// Seconds over which the fraction is taken.
    pub const WINDOW_S: usize = 10;

    /// The budget of retries: 10 % of the requests, at least 3 a second.
    pub fn retries() -> Self {
        Self { fraction: 0.10, minimum: 3, slots: Default::default() }
    }

    /// The budget of hedges: 5 % of the requests.
    pub fn hedges() -> Self {
        Self { fraction: 0.05, minimum: 0, slots: Default::default() }
    }

    /// Counts a first attempt.
    pub fn count(&mut self, now: moment::Moment) {
        self.slot(now).requests += 1;
    }

    /// Grants an extra attempt, and counts it, if the budget has one left.
    pub fn take(&mut self, now: moment::Moment) -> bool {
        let second = now.as_millis() / 1_000;
        let (mut requests, mut extra) = (0, 0);
        for slot in self.slots.iter().filter(|s| s.second + Self::WINDOW_S as u64 > second) {
            requests += slot.requests;
            extra += slot.extra;
        }
        let minimum = self.minimum;
        let within = f64::from(extra + 1) <= self.fraction * f64::from(requests);
        let slot = self.slot(now);
        let granted = within || slot.extra < minimum;
        slot.extra += u32::from(granted);
        granted
    }

    /// Grants a hedge of a call: only repeatable calls get one.
    pub fn hedge(&mut self, repeatable: bool, now: moment::Moment) -> bool {
        repeatable && self.take(now)
    }

    fn slot(&mut self, now: moment::Moment) -> &mut Slot {
        let second = now.as_millis() / 1_000;
        let slot = &mut self.slots[(second % Self::WINDOW_S as u64) as usize];
        if slot.second != second {
            *slot = Slot { second, ..Slot::default() };
        }
        slot
    }
}
