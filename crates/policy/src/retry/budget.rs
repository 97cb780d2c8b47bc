//! Limits the extra attempts of one node.

use corneltrestle_time::moment;

/// A budget of extra attempts: a fraction of the requests, but at least a fixed number per second.
///
/// Over any [`Budget::WINDOW_S`] seconds it grants at most `fraction` of the requests plus
/// `minimum` attempts per second.
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
    /// Attempts that are granted in each second whatever the number of requests.
    minimum: u32,
    /// Counts by second; the slot of a second is its number modulo the window.
    slots: [Slot; Budget::WINDOW_S],
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    second: u64,
    requests: u32,
    extra: u32,
}

impl Budget {
    /// Window in seconds over which requests and extra attempts are counted.
    pub const WINDOW_S: usize = 10;

    /// The budget of retries: 10 % of the requests, but at least 3 per second.
    pub fn retries() -> Self {
        Self { fraction: 0.10, minimum: 3, slots: Default::default() }
    }

    /// The budget of hedges: 5 % of the requests.
    pub fn hedges() -> Self {
        Self { fraction: 0.05, minimum: 0, slots: Default::default() }
    }

    /// Counts a request, that is, its first attempt.
    pub fn count(&mut self, now: moment::Moment) {
        self.slot(now).requests += 1;
    }

    /// Returns whether the budget has an extra attempt left, and counts it if so.
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

    /// Like [`Budget::take`], for a hedge: only repeatable calls get one.
    pub fn hedge(&mut self, repeatable: bool, now: moment::Moment) -> bool {
        repeatable && self.take(now)
    }

    /// The slot of the current second, emptied if it holds an earlier one.
    fn slot(&mut self, now: moment::Moment) -> &mut Slot {
        let second = now.as_millis() / 1_000;
        let slot = &mut self.slots[(second % Self::WINDOW_S as u64) as usize];
        if slot.second != second {
            *slot = Slot { second, ..Slot::default() };
        }
        slot
    }
}
