//! The part of this node in each limit: one of as many equal parts as nodes are registered.
//!
//! The parts of all nodes add up to at most 1. A node has a part only while it knows that it is
//! registered, by facts that are younger than the time in which a registration can lapse. Whoever else
//! has a part was registered by then, and is counted. A node that has just registered waits until all
//! others count it.

use std::time;

use corneltrestle_time::moment;

use super::lender;

/// Age of the facts from which a node has no part. Shorter than the lease of a registration.
const MAX_AGE: time::Duration = time::Duration::from_secs(8);

/// Time after its registration in which a new node has no part.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(9);

/// Time for which no further node must have registered until nodes have parts, if the whole deployment
/// starts.
const START_TIME: time::Duration = time::Duration::from_secs(1);

/// What a node knows of the registrations.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Number of registered nodes.
    pub nodes: usize,
    /// How this node is registered.
    pub own: Registration,
    /// When the facts were last known to be current.
    pub informed: moment::Moment,
}

/// How a node is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// It is not.
    Absent,
    /// By an earlier process of the same node.
    Earlier,
    /// By this process.
    Own,
}

/// The registration of this node and the number of the others.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, quota::{Membership, membership::{Registration, View}}};
///
/// let at = Moment::from_millis;
/// let mut membership = Membership::new(false, at(0));
/// let view = View { nodes: 4, own: Registration::Own, informed: at(20_000) };
/// membership.observe(view, at(1));
/// assert_eq!(membership.part(at(5_000)), 0.0);
/// assert_eq!(membership.part(at(10_000)), 0.25);
/// assert_eq!(membership.part(at(30_000)), 0.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    is_bootstrap: bool,
    started: moment::Moment,
    nodes: usize,
    /// When the number of nodes has risen last.
    risen: moment::Moment,
    informed: moment::Moment,
    /// Since when this process has been registered.
    registered: Option<moment::Moment>,
    /// Whether its registration replaced that of an earlier process, which all nodes count.
    is_inherited: bool,
}

impl Membership {
    /// Starts without a registration; `is_bootstrap` says whether the whole deployment starts.
    pub fn new(is_bootstrap: bool, now: moment::Moment) -> Self {
        Self {
            is_bootstrap,
            started: now,
            nodes: 0,
            risen: now,
            informed: now,
            registered: None,
            is_inherited: false,
        }
    }

    /// Records what is known of the registrations now.
    pub fn observe(&mut self, view: View, now: moment::Moment) {
        if view.nodes > self.nodes {
            self.risen = now;
        }
        (self.nodes, self.informed) = (view.nodes, view.informed);
        match view.own {
            Registration::Absent => (self.registered, self.is_inherited) = (None, false),
            Registration::Earlier => (self.registered, self.is_inherited) = (None, true),
            Registration::Own => self.registered = self.registered.or(Some(now)),
        }
    }

    /// The part of this node, from 0 to 1.
    pub fn part(&self, now: moment::Moment) -> f64 {
        let Some(registered) = self.registered else { return 0.0 };
        if self.nodes == 0 || now.since(self.informed) >= MAX_AGE {
            return 0.0;
        }
        let is_settled = now.since(registered) >= SETTLING_TIME
            || self.is_bootstrap && now.since(self.risen) >= START_TIME
            || self.is_inherited && now.since(self.started) >= lender::LOAN_TIME;
        if is_settled { 1.0 / self.nodes as f64 } else { 0.0 }
    }
}
