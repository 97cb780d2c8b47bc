//! How attempts fail, and what that means for a retry.

use corneltrestle_policy::{
    health,
    retry::{self, fleet},
};
use corneltrestle_time::moment;

use crate::upstream;

/// How an attempt failed.
#[derive(Debug)]
pub(in crate::pipeline) enum Failure {
    /// The connection failed, or the answer could not be read.
    Call(upstream::Error),
    /// The upstream says that it has not run the request.
    Rejected(upstream::Rejection),
    /// The upstream did not answer before the request could move to another one, or the deadline passed.
    TimedOut,
    /// The node ends before the upstream has answered, which says nothing of the upstream.
    NodeEnds,
    /// The upstream was found to be stalled, see [`crate::task::watchdog`].
    Stalled {
        /// Whether the request is likely to have begun: events of the upstream have arrived since it
        /// was sent. Without them it may have begun all the same, if they are lost on the way.
        begun: bool,
    },
    /// The upstream answered with a server error, with an answer that is not genuine (see
    /// [`upstream::Answer::is_genuine`]) or with a wrong stream of events.
    BadAnswer(hyper::StatusCode),
}

impl Failure {
    /// Whether the request may have run.
    pub(in crate::pipeline) fn may_have_run(&self) -> bool {
        match self {
            Self::Call(error) => error.may_have_run(),
            Self::Rejected(_) => false,
            Self::Stalled { .. } | Self::TimedOut | Self::NodeEnds | Self::BadAnswer(_) => true,
        }
    }

    /// The failure of an attempt that had no answer when its request had to be answered.
    pub(in crate::pipeline) fn without_answer(
        deadline: moment::Moment,
        now: moment::Moment,
    ) -> Self {
        if now < deadline { Self::NodeEnds } else { Self::TimedOut }
    }

    /// Whether the attempt counts as a run, also for the quarantine of prompt parts.
    pub(in crate::pipeline) fn counts_as_run(&self) -> bool {
        self.may_have_run() && !matches!(self, Self::Stalled { begun: false })
    }

    /// Whether the request has reached the upstream, so that another attempt is a retry. One that no
    /// connection could be made for has cost no upstream anything.
    pub(super) fn has_arrived(&self) -> bool {
        !matches!(self, Self::Call(error) if error.kind == upstream::Kind::NotSent)
    }

    /// Whether the request was lost with a reused connection, which the upstream may have closed before.
    pub(super) fn is_stale(&self) -> bool {
        matches!(self, Self::Call(error) if error.kind == upstream::Kind::Stale)
    }

    /// The outcome to record for the health of the upstream. A stall is not recorded, as all nodes
    /// know it from the stall table, nor the end of a reused connection, which tells nothing.
    pub(super) fn outcome(&self) -> Option<health::Outcome> {
        Some(match self {
            Self::Call(error) => match error.kind {
                upstream::Kind::NotSent => health::Outcome::Unreachable,
                upstream::Kind::Stale => return None,
                _ => health::Outcome::Failed,
            },
            Self::Rejected(rejection) => match rejection.reason {
                upstream::Reason::Full => health::Outcome::Full,
                upstream::Reason::Misdirected => health::Outcome::Misdirected,
                upstream::Reason::Invalid => return None,
            },
            Self::TimedOut => health::Outcome::TimedOut,
            Self::Stalled { .. } | Self::NodeEnds => return None,
            Self::BadAnswer(_) => health::Outcome::Failed,
        })
    }

    /// What the next attempt is for.
    pub(super) fn purpose(&self) -> fleet::Purpose {
        match self.kind() {
            retry::Failure::Full => fleet::Purpose::Full,
            _ => fleet::Purpose::Lost,
        }
    }

    pub(super) fn kind(&self) -> retry::Failure {
        match self {
            Self::Call(error) => match error.kind {
                upstream::Kind::NotSent => retry::Failure::NotSent,
                upstream::Kind::Broken | upstream::Kind::Stale => retry::Failure::Broken,
                upstream::Kind::Malformed => retry::Failure::InvalidResponse,
            },
            Self::Rejected(rejection) => match rejection.reason {
                upstream::Reason::Full => retry::Failure::Full,
                _ => retry::Failure::Refused,
            },
            Self::TimedOut | Self::NodeEnds | Self::Stalled { .. } => retry::Failure::Broken,
            Self::BadAnswer(_) => retry::Failure::InvalidResponse,
        }
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(error) => write!(f, "{error}"),
            Self::Rejected(rejection) => match &rejection.culprit {
                Some(culprit) => {
                    write!(f, "rejected: {:?}, caused by member {culprit}", rejection.reason)
                }
                None => write!(f, "rejected: {:?}", rejection.reason),
            },
            Self::TimedOut => f.write_str("no answer in time"),
            Self::NodeEnds => f.write_str("the node ends before there is an answer"),
            Self::Stalled { begun: true } => f.write_str("the upstream is stalled"),
            Self::Stalled { begun: false } => {
                f.write_str("the upstream is stalled, and the request has not begun")
            }
            Self::BadAnswer(status) => write!(f, "unusable answer with status {status}"),
        }
    }
}
