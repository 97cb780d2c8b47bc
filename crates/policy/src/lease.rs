//! Leases: who may try to acquire one, and how a holder judges on its own monotonic clock whether
//! it still holds it.
//!
//! A lease elects the one node that acts, for example, for an availability zone. Fencing tokens
//! increase with each acquisition, so that the orders of a former holder can be rejected.

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

use crate::{id, rendezvous};

/// Time to live requested from the store, which counts in whole seconds.
pub const TTL: time::Duration = time::Duration::from_secs(5);

/// Limit on the nodes of a zone that compete for its lease; it bounds the writes after a store
/// outage.
pub const MAX_CANDIDATES: usize = 3;

/// Delay between the attempts of successive candidates, so that usually only the first one writes.
const STAGGER: time::Duration = time::Duration::from_millis(250);

/// The value stored under a lease key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Node that holds the lease.
    pub holder: id::Node,
    /// Boot id of the holder's process; changes at each start.
    pub boot: u64,
    /// Fencing token of the acquisition.
    pub token: u64,
}

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Fencing token of this acquisition.
    pub token: u64,
    /// The moment just before the latest confirmed grant or renewal was sent. The store's own time
    /// to live starts later, so validity counted from here ends first.
    pub sent: moment::Moment,
    /// Time to live confirmed by the store.
    pub ttl: time::Duration,
}

/// What the holder does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Act as the holder.
    Act,
    /// Act as the holder and renew.
    ActAndRenew,
    /// Do not act; renew, and act again only once that renewal is confirmed.
    Renew,
    /// Do not act; the lease counts as lost and must be acquired again under a new token.
    StepDown,
}

impl Held {
    /// The end of validity: 75 % of the time to live, counted from [`Held::sent`].
    ///
    /// The margin of 25 % covers clocks that run at different rates.
    pub fn valid_until(&self) -> moment::Moment {
        self.sent + self.ttl * 3 / 4
    }

    /// When to renew: after 25 % of the time to live, which leaves time for two attempts.
    pub fn renew_at(&self) -> moment::Moment {
        self.sent + self.ttl / 4
    }

    /// What the holder does at `now`; `resumed` is the end of the process's latest pause, if any.
    ///
    /// After a pause the holder acts only once a renewal sent after the pause is confirmed. Pauses
    /// are detected by [`crate::membership::Members::tick`].
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use corneltrestle_policy::{Moment, lease};
    ///
    /// let sent = Moment::from_millis(1_000);
    /// let held = lease::Held { token: 1, sent, ttl: lease::TTL };
    /// let now = sent + Duration::from_millis(500);
    /// assert_eq!(held.step(None, now), lease::Step::Act);
    /// assert_eq!(held.step(Some(now), now), lease::Step::Renew);
    /// assert_eq!(held.step(None, sent + lease::TTL), lease::Step::StepDown);
    /// ```
    pub fn step(&self, resumed: Option<moment::Moment>, now: moment::Moment) -> Step {
        if now >= self.valid_until() {
            Step::StepDown
        } else if resumed.is_some_and(|end| self.sent < end) {
            Step::Renew
        } else if now >= self.renew_at() {
            Step::ActAndRenew
        } else {
            Step::Act
        }
    }

    /// Records a confirmed renewal. One that was sent before the latest confirmed one is ignored,
    /// as confirmations may arrive out of order.
    pub fn renewed(&mut self, sent: moment::Moment, ttl: time::Duration) {
        if sent > self.sent {
            (self.sent, self.ttl) = (sent, ttl);
        }
    }
}

/// Time between two attempts to resume a lease that was not renewed in time.
const RESUME_PERIOD: time::Duration = time::Duration::from_millis(300);

/// Unanswered renewals after which the holder gives the lease up instead of resuming it. One may be
/// lost with a connection that breaks.
const MAX_UNANSWERED: u32 = 2;

/// Attempts to resume a lease that was not renewed in time. The store may have kept it, as leases do
/// not run out while the store is down.
///
/// A renewal whose answer is lost extends the lease, although its holder may not act. If each attempt
/// were a renewal, a link that loses only answers would keep the lease from lapsing forever. An
/// attempt therefore starts with a read, which extends nothing, and only an answered read is followed
/// by a renewal. After `MAX_UNANSWERED` such renewals without an answer, the lease is given up.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, lease};
///
/// let mut resume = lease::Resume::default();
/// assert!(resume.begin(Moment::from_millis(1_000)));
/// assert!(!resume.begin(Moment::from_millis(1_100)));
/// assert!(resume.begin(Moment::from_millis(1_300)));
/// assert!(!resume.record_unanswered());
/// assert!(resume.record_unanswered());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resume {
    /// When the latest attempt began.
    begun: Option<moment::Moment>,
    /// Renewals that were sent and not answered.
    unanswered: u32,
}

impl Resume {
    /// Whether to begin an attempt at `now`, which is then recorded.
    pub fn begin(&mut self, now: moment::Moment) -> bool {
        let is_due = self.begun.is_none_or(|at| now.since(at) >= RESUME_PERIOD);
        if is_due {
            self.begun = Some(now);
        }
        is_due
    }

    /// Records a renewal that was sent and not answered; returns whether to give the lease up.
    pub fn record_unanswered(&mut self) -> bool {
        self.unanswered += 1;
        self.unanswered >= MAX_UNANSWERED
    }
}

/// When `node` tries to acquire the lease of `zone`, which it found free at `free`. `None` if
/// `node` is not among the first [`MAX_CANDIDATES`] of the `live` nodes, ordered by rendezvous
/// hash.
///
/// Each candidate waits one `STAGGER` longer than the one before it, plus a random part of one.
pub fn acquire_at<'a, R: Rng>(
    zone: &str,
    node: &str,
    live: impl IntoIterator<Item = &'a str>,
    free: moment::Moment,
    rng: &mut R,
) -> Option<moment::Moment> {
    let key = format!("lease/{zone}");
    let others = live.into_iter().filter(|other| *other != node);
    let own = (rendezvous::weight(&key, node), node);
    let better = others.filter(|other| (rendezvous::weight(&key, other), *other) < own).count();
    let stagger = STAGGER * u32::try_from(better).ok()?;
    (better < MAX_CANDIDATES).then(|| free + stagger + STAGGER.mul_f64(rng.random::<f64>()))
}

/// The fencing token of the next acquisition: above the token in the lease key, if the key exists,
/// and above `assigned`, the token in the zone's assignment.
///
/// The store deletes the lease key when the lease expires; the token in the assignment is what
/// keeps tokens increasing.
pub fn next_token(record: Option<&Record>, assigned: u64) -> u64 {
    record.map_or(0, |record| record.token).max(assigned) + 1
}

/// Whether an acquisition took effect whose answer was lost, judged by the record read back.
pub fn is_own(record: Option<&Record>, node: &str, boot: u64, token: u64) -> bool {
    record.is_some_and(|r| r.holder.as_str() == node && r.boot == boot && r.token == token)
}
