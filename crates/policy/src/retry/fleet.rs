//! Limits the extra attempts of all nodes of a deployment together.
//!
//! Each node knows the usage of its peers only from their periodic messages. It therefore grants
//! fewer attempts than the limit allows, to leave a reserve for those that are not reported yet.

use std::{collections, time};

use corneltrestle_time::moment;

/// Limits on the extra attempts for a service, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Extra attempts allowed per request.
    pub ratio: f64,
    /// Extra attempts allowed in a window in addition to those.
    pub slack: f64,
    /// Window over which requests and extra attempts are counted.
    pub window: time::Duration,
}

/// Numbers of attempts sent within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests, not counting extra attempts.
    pub requests: u32,
    /// Retries and other extra attempts.
    pub extra: u32,
}

/// What a node knows about the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Sum of the usage that the known peers have reported.
    pub usage: Usage,
    /// Number of peers whose usage is known.
    pub known: usize,
    /// Number of all peers.
    pub total: usize,
}

/// Fraction of the allowance that is granted. The rest is a reserve, because each node counts only
/// the requests that arrive at it and knows those of its peers from their latest reports.
const USABLE_FRACTION: f64 = 0.75;

/// Time for which a node's attempts may be unknown to its peers: the interval of the periodic
/// messages between nodes.
const USAGE_LAG: time::Duration = time::Duration::from_millis(300);

/// One node's part in the shared limit for a service.
///
/// It grants an extra attempt while the attempts of all nodes, by their latest reports, stay within
/// [`Limits`]. Peers whose usage is not known keep their share of the slack.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, retry::fleet};
///
/// let limits = fleet::Limits { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) };
/// let mut allowance = fleet::Allowance::new(limits);
/// let now = Moment::from_millis(1);
/// let unknown = fleet::Peers { total: 1, ..fleet::Peers::default() };
/// let granted = (0..100).filter(|_| allowance.take(&unknown, now)).count();
/// assert_eq!(granted, 7);
/// ```
#[derive(Clone, Debug)]
pub struct Allowance {
    limits: Limits,
    requests: collections::VecDeque<moment::Moment>,
    extra: collections::VecDeque<moment::Moment>,
}

impl Allowance {
    /// Creates an allowance without any usage.
    pub fn new(limits: Limits) -> Self {
        let (requests, extra) = (collections::VecDeque::new(), collections::VecDeque::new());
        Self { limits, requests, extra }
    }

    /// Counts a request, that is, its first attempt.
    pub fn count(&mut self, now: moment::Moment) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Returns whether an extra attempt is allowed, and counts it if so.
    pub fn take(&mut self, peers: &Peers, now: moment::Moment) -> bool {
        let granted = self.allows(peers, now);
        if granted {
            self.extra.push_back(now);
        }
        granted
    }

    /// Whether an extra attempt is allowed.
    pub fn allows(&mut self, peers: &Peers, now: moment::Moment) -> bool {
        let own = self.usage(now);
        let known = peers.known.min(peers.total) as f64;
        let requests = f64::from(own.requests) + f64::from(peers.usage.requests);
        let slack = self.limits.slack * (known + 1.0) / (peers.total as f64 + 1.0);
        let allowed = USABLE_FRACTION * (self.limits.ratio * requests + slack);
        // A fault such as the loss of an upstream affects all nodes at the same time, so each known
        // peer is assumed to have sent as many attempts within the lag as this node.
        let recent = self.extra.iter().rev().take_while(|at| now.since(**at) < USAGE_LAG).count();
        let used = f64::from(own.extra) + f64::from(peers.usage.extra) + known * recent as f64;
        used + 1.0 <= allowed
    }

    /// What this node has sent within the window.
    pub fn usage(&mut self, now: moment::Moment) -> Usage {
        self.prune(now);
        let number = |times: &collections::VecDeque<moment::Moment>| {
            u32::try_from(times.len()).unwrap_or(u32::MAX)
        };
        Usage { requests: number(&self.requests), extra: number(&self.extra) }
    }

    fn prune(&mut self, now: moment::Moment) {
        let window = self.limits.window;
        for times in [&mut self.requests, &mut self.extra] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
    }
}
