//! The holder's own judgement of its zone lease, on its monotonic clock.

use std::time;

use corneltrestle_time::moment;
use rand::Rng;

use crate::{id, rank};

/// Time to live that is requested from the store, in whole seconds as the store counts.
pub const TTL: time::Duration = time::Duration::from_secs(5);

/// Nodes of a zone that compete for its lease; three bound the writes after a store outage.
pub const MAX_CANDIDATES: usize = 3;

/// Delay between the attempts of successive candidates, so that usually one attempt is made.
const STAGGER: time::Duration = time::Duration::from_millis(250);

/// The value of a zone's lease key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// The holder.
    pub holder: id::Node,
    /// Boot id of the holder.
    pub boot: u64,
    /// Fencing token.
    pub token: u64,
}

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Fencing token of this acquisition.
    pub token: u64,
    /// The moment before the latest confirmed grant or renewal was sent.
    pub sent: moment::Moment,
    /// Time to live that the store confirmed.
    pub ttl: time::Duration,
}

/// What a node does about the lease now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Act as the holder.
    Act,
    /// Act as the holder and renew.
    ActAndRenew,
    /// Do not act; a renewal sent now decides whether the lease is still held.
    Renew,
    /// Do not act; the lease counts as lost and has to be acquired under a new token.
    StepDown,
}

impl Held {
    /// The end of validity: the time to live less a margin of 25 %, from before the sending.
    ///
    /// The margin covers clocks of different rates.
    pub fn valid_until(&self) -> moment::Moment {
        self.sent + self.ttl * 3 / 4
    }

    /// When to renew: early enough for two attempts within the validity.
    pub fn renew_at(&self) -> moment::Moment {
        self.sent + self.ttl / 4
    }

    /// What the holder does at `now`, with the end of its latest pause, if any.
    ///
    /// After a pause it acts only once a renewal that was sent after the pause is confirmed. A pause
    /// is detected by [`crate::membership::Members::run`].
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

    /// Records a confirmed renewal; one that was sent earlier than the latest is ignored.
    pub fn renewed(&mut self, sent: moment::Moment, ttl: time::Duration) {
        if sent > self.sent {
            (self.sent, self.ttl) = (sent, ttl);
        }
    }
}

/// When `node` tries to acquire the lease of `zone`, which was found free at `free`, or `None` if
/// it is no candidate among the `live` nodes of the zone.
pub fn acquire_at<'a, R: Rng>(
    zone: &str,
    node: &str,
    live: impl IntoIterator<Item = &'a str>,
    free: moment::Moment,
    rng: &mut R,
) -> Option<moment::Moment> {
    let key = format!("lease/{zone}");
    let others = live.into_iter().filter(|other| *other != node);
    let own = (rank::weight(&key, node), node);
    let better = others.filter(|other| (rank::weight(&key, other), *other) < own).count();
    let stagger = STAGGER * u32::try_from(better).ok()?;
    (better < MAX_CANDIDATES).then(|| free + stagger + STAGGER.mul_f64(rng.random::<f64>()))
}

/// The fencing token of the next acquisition, above every token seen in the lease key and in the
/// zone's assignment.
///
/// The lease key vanishes with its lease, so the assignment is what keeps tokens growing.
pub fn next_token(record: Option<&Record>, assigned: u64) -> u64 {
    record.map_or(0, |record| record.token).max(assigned) + 1
}

/// Whether an acquisition whose answer was lost took effect, judged by the record read back.
pub fn is_own(record: Option<&Record>, node: &str, boot: u64, token: u64) -> bool {
    record.is_some_and(|r| r.holder.as_str() == node && r.boot == boot && r.token == token)
}
