//! Bounds on the requests a second that cold upstreams get.

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{deployment, id};

/// Window over which the requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Part of the published rate that all nodes together use: requests that are sent over the window
/// may arrive closer together.
const USED: f64 = 0.8;

/// The requests that this node has sent to cold upstreams.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, deployment, pacing};
///
/// let cold = deployment::Cold { span: std::time::Duration::from_secs(3), rate: 10.0 };
/// let (mut pacing, now) = (pacing::Pacing::default(), Moment::from_millis(1));
/// assert!((0..2).all(|_| pacing.take(&"vm-1".into(), &cold, 4, now)));
/// assert!(!pacing.take(&"vm-1".into(), &cold, 4, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pacing {
    sent: collections::HashMap<id::Vm, collections::VecDeque<moment::Moment>>,
}

impl Pacing {
    /// Whether this node, one of `nodes`, may send a request to a cold upstream now.
    pub fn allows(
        &self,
        upstream: &id::Vm,
        cold: &deployment::Cold,
        nodes: usize,
        now: moment::Moment,
    ) -> bool {
        if cold.rate <= 0.0 {
            return true;
        }
        let share = (cold.rate * USED / nodes.max(1) as f64).floor().max(1.0) as usize;
        let recent = |sent: &collections::VecDeque<moment::Moment>| {
            sent.iter().filter(|at| now.since(**at) < WINDOW).count()
        };
        self.sent.get(upstream).map_or(0, recent) < share
    }

    /// As [`Pacing::allows`], and counts the request if it may be sent.
    pub fn take(
        &mut self,
        upstream: &id::Vm,
        cold: &deployment::Cold,
        nodes: usize,
        now: moment::Moment,
    ) -> bool {
        let allowed = self.allows(upstream, cold, nodes, now);
        if allowed {
            self.count(upstream, now);
        }
        allowed
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
