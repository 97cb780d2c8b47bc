//! Points in monotonic time.

use std::{ops, time};

/// A point in monotonic time, in microseconds since the origin of its clock.
///
/// Unlike [`std::time::Instant`], it can be created from a number. Only moments of the same clock
/// can be compared; those of different processes cannot. Arithmetic saturates at both ends.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_time::Moment;
///
/// let start = Moment::from_millis(10);
/// let later = start + Duration::from_millis(5);
/// assert_eq!(later.since(start), Duration::from_millis(5));
/// assert_eq!(start.since(later), Duration::ZERO);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Moment(u64);

impl Moment {
    /// The origin of the clock.
    pub const ZERO: Moment = Moment(0);

    /// The moment `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The moment `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time elapsed from `earlier` to `self`, or zero if `earlier` is the later one.
    pub const fn since(self, earlier: Moment) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment `duration` before `self`, or the origin if that would be earlier.
    pub fn before(self, duration: time::Duration) -> Moment {
        Moment(self.0.saturating_sub(micros(duration)))
    }
}

impl ops::Add<time::Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: time::Duration) -> Moment {
        Moment(self.0.saturating_add(micros(duration)))
    }
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
