//! Bounds on the requests a second that cold upstreams get.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{deployment, id};

/// Window over which the requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Part of the published rate that all nodes together use: requests that are sent over the window
/// may arrive closer together.
const RATE_FRACTION: f64 = 0.8;

/// As [`RATE_FRACTION`], where nodes take turns: those of two turns may meet in a window.
const TURN_RATE_FRACTION: f64 = 0.6;

/// Length of a turn, in which a node sends one request at most.
const TURN: time::Duration = time::Duration::from_secs(1);

/// Position of a node in the order of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Number of the node, from 0.
    pub index: usize,
    /// Number of all nodes.
    pub nodes: usize,
}

/// The requests that this node has sent to cold upstreams.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, deployment, pacing};
///
/// let cold = deployment::Cold { span: std::time::Duration::from_secs(3), rate: 10.0 };
/// let (mut pacing, now) = (pacing::Pacing::default(), Moment::from_millis(1));
/// let (position, until) = (pacing::Position { index: 0, nodes: 4 }, Moment::from_millis(3_001));
/// for _ in 0..2 {
///     assert!(pacing.allows(&"vm-1".into(), &cold, position, until, now));
///     pacing.count(&"vm-1".into(), now);
/// }
/// assert!(!pacing.allows(&"vm-1".into(), &cold, position, until, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pacing {
    sent: collections::HashMap<id::Vm, collections::VecDeque<moment::Moment>>,
}

impl Pacing {
    /// Whether the node at `position` may send a request now to an upstream that is cold `until` then.
    ///
    /// Each node has its share of the rate. Where that is less than a request a second, nodes take
    /// turns, which all of them count from the end of the cold time.
    pub fn allows(
        &self,
        upstream: &id::Vm,
        cold: &deployment::Cold,
        position: Position,
        until: moment::Moment,
        now: moment::Moment,
    ) -> bool {
        if cold.rate <= 0.0 {
            return true;
        }
        let nodes = position.nodes.max(1);
        let share = (cold.rate * RATE_FRACTION / nodes as f64).floor() as usize;
        if share == 0 && !is_turn(cold, position, until, now) {
            return false;
        }
        let recent = |sent: &collections::VecDeque<moment::Moment>| {
            sent.iter().filter(|at| now.since(**at) < WINDOW).count()
        };
        self.sent.get(upstream).map_or(0, recent) < share.max(1)
    }

    /// Counts a request to an upstream.
    pub fn count(&mut self, upstream: &id::Vm, now: moment::Moment) {
        let sent = self.sent.entry(upstream.clone()).or_default();
        while sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Forgets upstreams to which nothing was sent in the window.
    pub fn prune(&mut self, now: moment::Moment) {
        self.sent.retain(|_, sent| sent.back().is_some_and(|at| now.since(*at) < WINDOW));
    }
}

/// Whether it is the turn of a node to send one request.
fn is_turn(
    cold: &deployment::Cold,
    position: Position,
    until: moment::Moment,
    now: moment::Moment,
) -> bool {
    let at_once = (cold.rate * TURN_RATE_FRACTION).floor().max(1.0) as usize;
    let turns = position.nodes.div_ceil(at_once).max(1);
    let turn = (until.since(now).as_millis() / TURN.as_millis()) as usize;
    (position.index + turn).is_multiple_of(turns)
}
