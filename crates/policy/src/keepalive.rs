//! Progress timeout and maximum age of long-lived connections.
//!
//! A connection on which data is expected but none arrives within the progress timeout counts as
//! broken. A connection that has reached its maximum age is replaced once it is idle.

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream of tokens from an engine.
    Stream,
    /// A link between nodes.
    Link,
    /// A watch on a key in the store.
    Watch,
    /// A connection that is being set up.
    Connect,
}

impl Kind {
    /// Maximum time without progress while data is expected.
    pub const fn progress_timeout(self) -> time::Duration {
        match self {
            Kind::Stream | Kind::Watch => time::Duration::from_secs(5),
            Kind::Link => time::Duration::from_secs(2),
            Kind::Connect => time::Duration::from_secs(1),
        }
    }
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Keep using it.
    Keep,
    /// Send nothing new on it and close it once it is idle.
    ReplaceWhenIdle,
    /// Close it now and move the requests that may be repeated to another connection.
    Replace,
}

/// Progress and age of one connection.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::Moment;
/// use corneltrestle_policy::keepalive::{Connection, Kind, Action};
/// use rand::SeedableRng;
///
/// let (now, mut rng) = (Moment::from_millis(1), rand::rngs::StdRng::seed_from_u64(1));
/// let mut link = Connection::new(Kind::Link, now, &mut rng);
/// link.mark_busy(now);
/// assert_eq!(link.check(now + Duration::from_secs(1)), Action::Keep);
/// assert_eq!(link.check(now + Duration::from_secs(2)), Action::Replace);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    kind: Kind,
    /// When data last arrived, or when it was first expected after an idle time.
    progress: moment::Moment,
    /// When the connection reaches its maximum age.
    expiry: moment::Moment,
    /// Whether data is expected.
    busy: bool,
}

impl Connection {
    /// Default maximum age.
    pub const MAX_AGE: time::Duration = time::Duration::from_secs(600);
    /// The maximum age of each connection is drawn at random between this fraction and the whole,
    /// so that connections that were opened together are not replaced together.
    pub const MIN_AGE_FRACTION: f64 = 0.9;

    /// Starts to track a connection with the default maximum age. A watch, and a connection that is
    /// being set up, expect data at once; the others are idle.
    pub fn new(kind: Kind, now: moment::Moment, rng: &mut impl Rng) -> Self {
        Self::with_max_age(kind, Self::MAX_AGE, now, rng)
    }

    /// Like [`Connection::new`], with another maximum age.
    pub fn with_max_age(
        kind: Kind,
        age: time::Duration,
        now: moment::Moment,
        rng: &mut impl Rng,
    ) -> Self {
        let age = age.mul_f64(rng.random_range(Self::MIN_AGE_FRACTION..=1.0));
        let busy = matches!(kind, Kind::Connect | Kind::Watch);
        Self { kind, progress: now, expiry: now + age, busy }
    }

    /// Records that data is expected from the peer from now on.
    pub fn mark_busy(&mut self, now: moment::Moment) {
        if !self.busy {
            self.progress = now;
        }
        self.busy = true;
    }

    /// Records that data arrived.
    pub fn record_progress(&mut self, now: moment::Moment) {
        self.progress = self.progress.max(now);
    }

    /// Records that no more data is expected.
    pub fn mark_idle(&mut self) {
        self.busy = false;
    }

    /// What to do with the connection at `now`.
    pub fn check(&self, now: moment::Moment) -> Action {
        let timed_out = self.busy && now.since(self.progress) >= self.kind.progress_timeout();
        match (timed_out, now >= self.expiry, self.busy) {
            (true, _, _) | (false, true, false) => Action::Replace,
            (false, true, true) => Action::ReplaceWhenIdle,
            (false, false, _) => Action::Keep,
        }
    }

    /// When [`Connection::check`] may next return another action if no data arrives.
    pub fn due(&self, now: moment::Moment) -> moment::Moment {
        let timeout = self.progress + self.kind.progress_timeout();
        match (self.busy, now < self.expiry) {
            (true, true) => timeout.min(self.expiry),
            (true, false) => timeout,
            (false, _) => self.expiry,
        }
    }
}
