//! Clocks, read only at the edges of the system.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::moment::Moment;

/// Milliseconds since the Unix epoch, for values that other processes read.
pub type WallMillis = u64;

/// A source of the present time.
pub trait Clock: Send + Sync {
    /// The present moment; never goes back.
    fn now(&self) -> Moment;

    /// The wall clock in milliseconds since the Unix epoch; may jump.
    fn wall(&self) -> WallMillis;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: Instant,
}

impl System {
    /// Opens the clock with the present instant as its origin.
    pub fn open() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Clock for System {
    fn now(&self) -> Moment {
        Moment::ZERO + self.origin.elapsed()
    }

    fn wall(&self) -> WallMillis {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// A clock that moves only when told to, for tests.
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
    micros: AtomicU64,
}

impl Manual {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Duration) {
        let step = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(step, Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> Moment {
        Moment::from_micros(self.micros.load(Ordering::SeqCst))
    }

    fn wall(&self) -> WallMillis {
        self.micros.load(Ordering::SeqCst) / 1_000
    }
}
