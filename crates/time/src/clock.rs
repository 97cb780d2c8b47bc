//! Clocks, read only at the edges of the system.

use std::{sync::atomic, time};

use crate::moment;

/// Milliseconds since the Unix epoch, for values that other processes read.
pub type WallMillis = u64;

/// A source of the present time.
pub trait Clock: Send + Sync {
    /// The present moment; never goes back.
    fn now(&self) -> moment::Moment;

    /// The wall clock in milliseconds since the Unix epoch; may jump.
    fn wall(&self) -> WallMillis;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: time::Instant,
}

impl System {
    /// Opens the clock with the present instant as its origin.
    pub fn open() -> Self {
        Self { origin: time::Instant::now() }
    }
}

impl Clock for System {
    fn now(&self) -> moment::Moment {
        moment::Moment::ZERO + self.origin.elapsed()
    }

    fn wall(&self) -> WallMillis {
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
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
    micros: atomic::AtomicU64,
}

impl Manual {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: time::Duration) {
        let step = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
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
