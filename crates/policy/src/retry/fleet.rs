//! Limits the extra attempts of all nodes of a deployment together.
//!
//! Each node grants from a share of its own, which depends on its own requests and on the number of
//! nodes only. The shares add up to no more than the limit, so that the limit holds whatever the
//! nodes know of each other.

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
}

/// What an extra attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The upstream of the request was lost, or its answer is of no use.
    Lost,
    /// A full upstream rejected the request. Such attempts may use half of the share, as many requests
    /// are rejected at the same time, and those whose upstream is lost need the rest.
    Full,
}

/// Fraction of the share that attempts for [`Purpose::Full`] may use.
const FULL_FRACTION: f64 = 0.5;

/// Time by which an extra attempt may arrive at its upstream after the decision.
pub const MAX_LAG: time::Duration = time::Duration::from_secs(1);

/// Time for which the number of nodes must not have risen until the slack is divided by it, if the
/// whole deployment starts: nodes register one after the other.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(1);

/// Windows after its start in which a process has no part of the slack. An earlier process of the same
/// node may have used it in the first one. The second one is for a new node, of which the others may
/// learn late: what they granted before counts until it has passed.
const WINDOWS_WITHOUT_SLACK: u32 = 2;

/// The number of nodes, as known to a process since its start.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, retry::fleet};
///
/// let limits = fleet::Limits { ratio: 0.2, slack: 30.0, window: Duration::from_secs(10) };
/// let mut nodes = fleet::Nodes::new(false, Moment::from_millis(1));
/// let mut observe = |number, millis| {
///     nodes.observe(number, Moment::from_millis(millis), Moment::from_millis(millis));
/// };
/// observe(3, 1);
/// observe(2, 20_000);
/// assert_eq!(nodes.part(&limits, Moment::from_millis(15_000)), 0.0);
/// assert_eq!(nodes.part(&limits, Moment::from_millis(25_000)), 10.0);
/// assert_eq!(nodes.part(&limits, Moment::from_millis(30_000)), 0.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Nodes {
    /// The largest number known. It never falls: nodes that are missing may only be cut off, and keep
    /// their part.
    largest: usize,
    /// When it has risen last.
    risen: moment::Moment,
    started: moment::Moment,
    /// Whether the process was started with the whole deployment.
    is_bootstrap: bool,
    /// When the number was last known to be that of the store or of another node.
    informed: moment::Moment,
}

impl Nodes {
    /// Starts with no node known.
    pub fn new(is_bootstrap: bool, now: moment::Moment) -> Self {
        Self { largest: 0, risen: now, started: now, is_bootstrap, informed: now }
    }

    /// Records the number of nodes that are known now, this one included. `informed` is when the store
    /// or another node last said something that would have shown a further node.
    pub fn observe(&mut self, number: usize, informed: moment::Moment, now: moment::Moment) {
        self.informed = self.informed.max(informed);
        if number > self.largest {
            (self.largest, self.risen) = (number, now);
        }
    }

    /// Extra attempts of the slack that this process may use in a window: none if it has not been
    /// informed for a window less [`MAX_LAG`]. Attempts that it grants before that have left the
    /// window by the time at which a node uses its part that has registered since.
    pub fn part(&self, limits: &Limits, now: moment::Moment) -> f64 {
        if now.since(self.informed) >= limits.window.saturating_sub(MAX_LAG) {
            return 0.0;
        }
        let settled = self.is_bootstrap && now.since(self.risen) >= SETTLING_TIME;
        let has_part = settled || now.since(self.started) >= limits.window * WINDOWS_WITHOUT_SLACK;
        if has_part && self.largest > 0 { limits.slack / self.largest as f64 } else { 0.0 }
    }
}

/// One node's share in the shared limit for a service.
///
/// For any extra attempt, the number of attempts since then, itself included, is at most half of
/// `ratio` times the node's own requests since [`Limits::window`] less [`MAX_LAG`] before it, plus the
/// node's part of the slack.
///
/// Attempts that arrive in a window were decided in it or up to `MAX_LAG` before it. The requests that
/// count for the first of them thus lie in this window or the one before it, whichever node it is.
/// Over all nodes, the attempts are at most `ratio` times the mean number of requests of the two
/// windows, plus the slack.
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
/// (0..20).for_each(|_| allowance.count(now));
/// let mut granted = |purpose| (0..9).filter(|_| allowance.take(purpose, 4.0, now)).count();
/// assert_eq!(granted(fleet::Purpose::Full), 3);
/// assert_eq!(granted(fleet::Purpose::Lost), 3);
/// ```
#[derive(Clone, Debug)]
pub struct Allowance {
    limits: Limits,
    /// Own requests of the last two windows, in order.
    requests: collections::VecDeque<moment::Moment>,
    /// Own extra attempts that may still arrive in the window, in order.
    extra: collections::VecDeque<(moment::Moment, Purpose)>,
}

impl Allowance {
    /// Creates an allowance without any usage.
    pub fn new(limits: Limits) -> Self {
        let (requests, extra) = (collections::VecDeque::new(), collections::VecDeque::new());
        Self { limits, requests, extra }
    }

    /// Counts a request that arrived at `at`, that is, its first attempt.
    pub fn count(&mut self, at: moment::Moment) {
        self.prune(at);
        // Requests are admitted in nearly the order of their arrival.
        let later = self.requests.iter().rev().take_while(|other| **other > at).count();
        self.requests.insert(self.requests.len() - later, at);
    }

    /// Returns whether an extra attempt is allowed, and counts it if so. `slack` is the node's part
    /// of the slack, see [`Nodes::part`].
    pub fn take(&mut self, purpose: Purpose, slack: f64, now: moment::Moment) -> bool {
        let granted = self.allows(purpose, slack, now);
        if granted {
            self.extra.push_back((now, purpose));
        }
        granted
    }

    /// Whether an extra attempt is allowed.
    pub fn allows(&mut self, purpose: Purpose, slack: f64, now: moment::Moment) -> bool {
        self.prune(now);
        let span = self.limits.window.saturating_sub(MAX_LAG);
        let (mut all, mut full) = (0.0, 0.0);
        let attempts = self.extra.iter().rev().copied();
        std::iter::once((now, purpose)).chain(attempts).all(|(at, of)| {
            all += 1.0;
            full += f64::from(u8::from(of == Purpose::Full));
            let share = self.share_since(at.before(span), slack);
            all <= share && (purpose != Purpose::Full || full <= share * FULL_FRACTION)
        })
    }

    /// Extra attempts that the node may have within a window at its present rate of requests.
    pub fn share(&mut self, slack: f64, now: moment::Moment) -> f64 {
        self.prune(now);
        self.share_since(moment::Moment::ZERO, slack)
    }

    /// What this node has sent within the window.
    pub fn usage(&mut self, now: moment::Moment) -> Usage {
        self.prune(now);
        let window = self.limits.window;
        let number = |within: usize| u32::try_from(within).unwrap_or(u32::MAX);
        let requests = self.requests.partition_point(|at| now.since(*at) >= window);
        let extra = self.extra.partition_point(|(at, _)| now.since(*at) >= window);
        Usage {
            requests: number(self.requests.len() - requests),
            extra: number(self.extra.len() - extra),
        }
    }

    /// The share by the requests since `from`. Each request counts in two windows, and so with half of
    /// the ratio.
    fn share_since(&self, from: moment::Moment, slack: f64) -> f64 {
        let requests = self.requests.len() - self.requests.partition_point(|at| *at < from);
        self.limits.ratio / 2.0 * requests as f64 + slack
    }

    fn prune(&mut self, now: moment::Moment) {
        let window = self.limits.window;
        while self.requests.front().is_some_and(|at| now.since(*at) >= window * 2) {
            self.requests.pop_front();
        }
        while self.extra.front().is_some_and(|(at, _)| now.since(*at) >= window + MAX_LAG) {
            self.extra.pop_front();
        }
    }
}
