//! Progress and age of long-lived connections.

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
    /// A watch on a key of the store.
    Watch,
    /// A connection that is being set up.
    Connect,
}

impl Kind {
    /// Longest time without progress while something is expected.
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
    /// Keep it.
    Keep,
    /// Send nothing new on it and close it when its work is done.
    ReplaceWhenIdle,
    /// Close it and move its repeatable work.
    Replace,
}

/// The history of one connection.
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
/// let mut link = Connection::open(Kind::Link, now, &mut rng);
/// link.mark_busy(now);
/// assert_eq!(link.check(now + Duration::from_secs(1)), Action::Keep);
/// assert_eq!(link.check(now + Duration::from_secs(2)), Action::Replace);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    kind: Kind,
    progress: moment::Moment,
    expiry: moment::Moment,
    busy: bool,
}

impl Connection {
    /// Longest age.
    pub const MAX_AGE: time::Duration = time::Duration::from_secs(600);
    /// The age limit is drawn from this fraction of [`Connection::MAX_AGE`] up to the whole, so that
    /// connections opened together are not replaced together.
    pub const MIN_AGE_FRACTION: f64 = 0.9;

    /// Opens the history; the connection expects progress at once if it is being set up or is a
    /// watch.
    pub fn open(kind: Kind, now: moment::Moment, rng: &mut impl Rng) -> Self {
        Self::with_max_age(kind, Self::MAX_AGE, now, rng)
    }

    /// Opens the history with another longest age.
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

    /// Something is expected from the peer now.
    pub fn mark_busy(&mut self, now: moment::Moment) {
        if !self.busy {
            self.progress = now;
        }
        self.busy = true;
    }

    /// Something arrived.
    pub fn record_progress(&mut self, now: moment::Moment) {
        self.progress = self.progress.max(now);
    }

    /// Nothing is expected any more.
    pub fn mark_idle(&mut self) {
        self.busy = false;
    }

    /// Decides on the connection.
    pub fn check(&self, now: moment::Moment) -> Action {
        let silent = self.busy && now.since(self.progress) >= self.kind.progress_timeout();
        match (silent, now >= self.expiry, self.busy) {
            (true, _, _) | (false, true, false) => Action::Replace,
            (false, true, true) => Action::ReplaceWhenIdle,
            (false, false, _) => Action::Keep,
        }
    }

    /// When the next check may decide differently without progress.
    pub fn due(&self, now: moment::Moment) -> moment::Moment {
        let silence = self.progress + self.kind.progress_timeout();
        match (self.busy, now < self.expiry) {
            (true, true) => silence.min(self.expiry),
            (true, false) => silence,
            (false, _) => self.expiry,
        }
    }
}
