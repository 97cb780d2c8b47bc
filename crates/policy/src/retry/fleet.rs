//! The allowance of extra attempts that all nodes of a deployment share.

use std::{collections, time};

use corneltrestle_time::moment;

/// Limits on the extra attempts of a service, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Extra attempts by each request.
    pub ratio: f64,
    /// Extra attempts beyond those.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: time::Duration,
}

/// What one node has sent in the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests.
    pub requests: u32,
    /// Extra attempts.
    pub extra: u32,
}

/// What a node knows of the other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// What those that are heard of have sent.
    pub usage: Usage,
    /// Those that are heard of.
    pub known: usize,
    /// All of them.
    pub total: usize,
}

/// Part of the allowance that is used, since requests are counted where they arrive.
const USABLE_FRACTION: f64 = 0.75;

/// Time for which the attempts of a node may not be known to the peers: their pulses come as often.
const USAGE_LAG: time::Duration = time::Duration::from_millis(300);

/// A node's view of the allowance.
///
/// It grants an extra attempt while those of all nodes, by their latest news, leave room for it. Of
/// the slack, nodes that are not heard of keep their part.
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
    /// Opens an allowance of which nothing is used.
    pub fn new(limits: Limits) -> Self {
        let (requests, extra) = (collections::VecDeque::new(), collections::VecDeque::new());
        Self { limits, requests, extra }
    }

    /// Counts a request.
    pub fn count(&mut self, now: moment::Moment) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Grants an extra attempt, and counts it, if the allowance has room for it.
    pub fn take(&mut self, peers: &Peers, now: moment::Moment) -> bool {
        let own = self.usage(now);
        let known = peers.known.min(peers.total) as f64;
        let requests = f64::from(own.requests) + f64::from(peers.usage.requests);
        let slack = self.limits.slack * (known + 1.0) / (peers.total as f64 + 1.0);
        let allowed = USABLE_FRACTION * (self.limits.ratio * requests + slack);
        // What one node meets, such as the loss of an upstream, the peers meet at the same time.
        let recent = self.extra.iter().rev().take_while(|at| now.since(**at) < USAGE_LAG).count();
        let used = f64::from(own.extra) + f64::from(peers.usage.extra) + known * recent as f64;
        let granted = used + 1.0 <= allowed;
        if granted {
            self.extra.push_back(now);
        }
        granted
    }

    /// What this node has sent in the window.
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
