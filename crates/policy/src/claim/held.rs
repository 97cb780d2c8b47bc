//! A claimed key, from the claim to the record of its outcome.

use std::time;

use corneltrestle_time::moment;

use crate::claim;

/// A key that this node has claimed.
///
/// It allows one send, apart from attempts of which no byte was sent. The record of the outcome is written by compare-and-swap from `version`, so
/// it cannot replace a later claim.
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

/// How a call that held a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No byte was sent.
    NotSent,
    /// The upstream refused it before running it.
    Refused,
    /// The upstream answered completely.
    Answered(claim::Response),
    /// Something was sent and the answer is not known completely.
    Broken,
}

impl Held {
    /// Oldest claim under which a call is sent.
    pub const MAX_AGE: time::Duration = time::Duration::from_secs(10);

    /// Holds a key at the version that the claim has; `claimed` is the moment before the first
    /// attempt to write the claim.
    pub fn new(version: u64, claimed: moment::Moment) -> Self {
        Self { version, claimed, sent: false }
    }

    /// The version to write the outcome from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Asks to send the call, right before the first byte; true at most once, and only while the
    /// claim is younger than [`Held::MAX_AGE`].
    pub fn send(&mut self, now: moment::Moment) -> bool {
        let allowed = !self.sent && now.since(self.claimed) < Self::MAX_AGE;
        self.sent |= allowed;
        allowed
    }

    /// Allows another send after an attempt of which certainly no byte was sent.
    pub fn not_sent(&mut self) {
        self.sent = false;
    }

    /// The state to record after the call ended.
    ///
    /// [`claim::State::NotRun`] lets a later call claim the key again. An answer above [`claim::Response::MAX_BYTES`]
    /// is not recorded, so later calls get an unknown outcome.
    pub fn outcome(&self, ended: Ended) -> claim::State {
        match ended {
            _ if !self.sent => claim::State::NotRun,
            Ended::NotSent | Ended::Refused => claim::State::NotRun,
            Ended::Answered(answer) if answer.size() <= claim::Response::MAX_BYTES => {
                claim::State::Done(answer)
            }
            Ended::Answered(_) | Ended::Broken => claim::State::Unknown,
        }
    }

    /// The record with the outcome, to write from [`Held::version`].
    pub fn record(&self, claimed: &claim::Record, ended: Ended) -> claim::Record {
        claim::Record { state: self.outcome(ended), ..claimed.clone() }
    }
}
