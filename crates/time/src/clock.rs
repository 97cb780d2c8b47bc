//! Monotonic and wall clocks: that of the operating system, and one that tests set.
//!
//! Clocks are read only at the edges of the system; decisions get the time as an argument, so that
//! tests can play any course of time.

use std::{sync::atomic, time};

use crate::moment;

/// Wall-clock time in milliseconds since the Unix epoch, for values that other processes read.
pub type WallMillis = u64;

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// The current monotonic time; never goes back.
    fn now(&self) -> moment::Moment;

    /// The current wall-clock time; may jump in both directions.
    fn wall(&self) -> WallMillis;
}

/// The clock of the operating system.
///
/// It counts the time for which the VM was suspended, unlike [`time::Instant`]: a lease runs out
/// meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: time::Duration,
}

impl System {
    /// Creates a clock whose origin is the current instant.
    pub fn open() -> Self {
        Self { origin: since_boot() }
    }
}

/// Time since the VM was started, suspended time included.
fn since_boot() -> time::Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let part = |value: i64| u64::try_from(value).unwrap_or(0);
    time::Duration::from_secs(part(now.tv_sec)) + time::Duration::from_nanos(part(now.tv_nsec))
}

impl Clock for System {
    fn now(&self) -> moment::Moment {
        moment::Moment::ZERO + since_boot().saturating_sub(self.origin)
    }

    fn wall(&self) -> WallMillis {
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A clock for tests that stands still until [`Manual::advance`] is called. Its monotonic and wall
/// time both start at zero.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_time::clock::{Clock, Manual};
///
/// let clock = Manual::default();
/// clock.advance(Duration::from_secs(1));
/// assert_eq!(clock.now().as_millis(), 1_000);
/// ```
#[derive(Debug, Default)]
pub struct Manual {
    micros: atomic::AtomicU64,
}

impl Manual {
    /// Moves the clock forward by `duration`.
    pub fn advance(&self, duration: time::Duration) {
        let step = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(step, atomic::Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> moment::Moment {
        moment::Moment::from_micros(self.micros.load(atomic::Ordering::SeqCst))
    }

    fn wall(&self) -> WallMillis {
        self.micros.load(atomic::Ordering::SeqCst) / 1_000
    }
}
