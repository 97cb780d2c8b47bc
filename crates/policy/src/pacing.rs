//! Rate limit on requests to cold upstreams, divided between all nodes without communication.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{deployment, id};

/// Sliding window over which sent requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Fraction of the published rate that all nodes together use. The rest is headroom, since requests
/// may arrive closer together than they were sent.
const RATE_FRACTION: f64 = 0.8;

/// As [`RATE_FRACTION`] while nodes take turns. It is lower because requests of two successive
/// turns may fall into one window.
const TURN_RATE_FRACTION: f64 = 0.6;

/// Length of a turn, in which a node may send one request.
const TURN: time::Duration = time::Duration::from_secs(1);

/// Position of a node in the list of all nodes that have a share, which every node sorts in the same
/// way, see [`crate::census`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Index of the node, from 0.
    pub index: usize,
    /// Number of all nodes.
    pub nodes: usize,
}

/// Times of the requests that this node has sent to cold upstreams.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, deployment, pacing};
///
/// let cold = deployment::Cold { span: std::time::Duration::from_secs(3), rate: 10.0 };
/// let (mut pacing, now) = (pacing::Pacing::default(), Moment::from_millis(1));
/// let (position, until) = (Some(pacing::Position { index: 0, nodes: 4 }), Moment::from_millis(3_001));
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
    /// Whether the node at `position` may send a request now to an upstream that is cold `until`
    /// the given time. A node without a position has no share of a limited rate.
    ///
    /// Each node gets an equal share of the rate. If that is less than one request per second, the
    /// nodes take turns. All nodes count the turns back from `until`, so that they agree on them.
    pub fn allows(
        &self,
        upstream: &id::Vm,
        cold: &deployment::Cold,
        position: Option<Position>,
        until: moment::Moment,
        now: moment::Moment,
    ) -> bool {
        if cold.rate <= 0.0 {
            return true;
        }
        let Some(position) = position else { return false };
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

    /// Records a request to an upstream.
    pub fn count(&mut self, upstream: &id::Vm, now: moment::Moment) {
        let sent = self.sent.entry(upstream.clone()).or_default();
        while sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Drops upstreams without a request in the window.
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
