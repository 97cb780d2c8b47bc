//! A claimed idempotency key, from the claim to the record of the outcome.

use std::time;

use corneltrestle_time::moment;

use crate::claim;

/// A key that this node has claimed.
///
/// It allows one send, not counting attempts of which no byte was sent. The record of the outcome
/// is written by compare-and-swap from [`Held::version`], so it cannot replace a later claim.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::Moment;
/// use corneltrestle_policy::claim::{Ended, Held, State};
///
/// let mut held = Held::new(1, Moment::ZERO);
/// assert_eq!(held.outcome(Ended::Broken), State::NotRun);
/// assert!(held.send(Moment::from_millis(20)));
/// assert!(!held.send(Moment::from_millis(30)));
/// assert_eq!(held.outcome(Ended::Broken), State::Unknown);
/// ```
#[derive(Clone, Debug)]
pub struct Held {
    version: u64,
    claimed: moment::Moment,
    sent: bool,
}

/// How a call with a claimed key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No byte was sent.
    NotSent,
    /// The upstream refused the call before running it.
    Refused,
    /// The complete response of the upstream was received.
    Answered(claim::Response),
    /// At least one byte was sent, and no complete response was received.
    Broken,
}

impl Held {
    /// Age of a claim from which its call is no longer sent.
    pub const MAX_AGE: time::Duration = time::Duration::from_secs(10);

    /// Holds a key whose claim has this version in the store. `claimed` is a moment before the
    /// first attempt to write the claim, so that the age is never underestimated.
    pub fn new(version: u64, claimed: moment::Moment) -> Self {
        Self { version, claimed, sent: false }
    }

    /// The version that the compare-and-swap of the outcome expects.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Asks to send the call, right before the first byte. Returns true at most once, and only
    /// while the claim is younger than [`Held::MAX_AGE`].
    pub fn send(&mut self, now: moment::Moment) -> bool {
        let allowed = !self.sent && now.since(self.claimed) < Self::MAX_AGE;
        self.sent |= allowed;
        allowed
    }

    /// Allows another send after an attempt that has certainly sent no byte.
    pub fn not_sent(&mut self) {
        self.sent = false;
    }

    /// The state to record after the call ended.
    ///
    /// [`claim::State::NotRun`] lets a later call claim the key again. A response above
    /// [`claim::Response::MAX_BYTES`] is not recorded, so later calls get an unknown outcome.
    pub fn outcome(&self, ended: Ended) -> claim::State {
        match ended {
            _ if !self.sent => claim::State::NotRun,
            Ended::NotSent | Ended::Refused => claim::State::NotRun,
            Ended::Answered(response) if response.size() <= claim::Response::MAX_BYTES => {
                claim::State::Done(response)
            }
            Ended::Answered(_) | Ended::Broken => claim::State::Unknown,
        }
    }

    /// The `claimed` record with the outcome, to write from [`Held::version`].
    pub fn record(&self, claimed: &claim::Record, ended: Ended) -> claim::Record {
        claim::Record { state: self.outcome(ended), ..claimed.clone() }
    }
}
