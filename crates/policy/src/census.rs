//! The nodes between which bounds over all nodes are divided, and whether this node has a share.
//!
//! A share is divided by the number of nodes that may use one, not by those that are registered at
//! the moment: after an outage of the store the registrations of live nodes lapse, and each of them
//! would take what is meant for all.
//!
//! A share belongs to a registration. A node has one only while it knows that it is registered, by
//! facts that are younger than the time in which a registration can lapse, and until
//! [`RENEWAL_GRACE`] after it has lapsed. All other nodes count it for as long. The shares of all
//! nodes thus add up to at most 1. A node that has just registered waits until all others count it,
//! and until it knows all others.
//!
//! Bounds that hold over a longer time than that, as the retry budget does, are divided by the largest
//! number of nodes that was ever counted, see [`crate::retry::fleet::Nodes`].

use std::{collections, time};

use corneltrestle_time::moment;

use crate::{id, pacing};

/// Time for which a node counts after its registration has lapsed. A live node renews it within this
/// time.
pub const RENEWAL_GRACE: time::Duration = time::Duration::from_secs(4);

/// Age of the facts from which a node has no share. Shorter than the lease of a registration.
const MAX_AGE: time::Duration = time::Duration::from_secs(8);

/// Time after its registration in which a new node has no share. It has heard of all others by then,
/// and they of it.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(9);

/// Time for which no further node must have registered until nodes have shares, if the whole deployment
/// starts.
const START_TIME: time::Duration = time::Duration::from_secs(1);

/// What a node knows of its own registration.
#[derive(Clone, Copy, Debug)]
pub struct View {
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

/// The nodes that may have a share, this one included.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, census::{Census, Registration, View}, id};
///
/// let at = Moment::from_millis;
/// let all: Vec<id::Node> = ["node-1", "node-2", "node-3", "node-4"].map(id::Node::from).into();
/// let mut census = Census::new("node-1".into(), false, at(0));
/// census.observe(&all, View { own: Registration::Own, informed: at(1) }, at(1));
/// assert_eq!(census.share(at(5_000)), 0.0);
///
/// let view = View { own: Registration::Own, informed: at(10_000) };
/// census.observe(&all[..2], view, at(10_000));
/// assert_eq!(census.share(at(10_000)), 0.25);
/// census.observe(&all[..2], view, at(14_000));
/// assert_eq!(census.share(at(14_000)), 0.5);
/// assert_eq!(census.share(at(18_000)), 0.0);
/// ```
#[derive(Clone, Debug)]
pub struct Census {
    /// Name of this node.
    own: id::Node,
    /// Nodes that are registered, and those that have lapsed, with the time since when.
    nodes: collections::BTreeMap<id::Node, Option<moment::Moment>>,
    /// Whether this process was started with the whole deployment, and has kept its registration.
    is_bootstrap: bool,
    /// When the number of nodes has risen last.
    risen: moment::Moment,
    informed: moment::Moment,
    /// Since when this process has been registered.
    registered: Option<moment::Moment>,
    /// Since when its registration has lapsed.
    lapsed: Option<moment::Moment>,
    /// Whether its registration replaced that of an earlier process, which all nodes count.
    is_inherited: bool,
}

impl Census {
    /// Starts without a node; `own` is the name of this one, and `is_bootstrap` says whether the whole
    /// deployment starts.
    pub fn new(own: id::Node, is_bootstrap: bool, now: moment::Moment) -> Self {
        Self {
            own,
            nodes: collections::BTreeMap::new(),
            is_bootstrap,
            risen: now,
            informed: now,
            registered: None,
            lapsed: None,
            is_inherited: false,
        }
    }

    /// Records which nodes are registered now, and how this one is.
    pub fn observe<'a>(
        &mut self,
        registered: impl IntoIterator<Item = &'a id::Node>,
        view: View,
        now: moment::Moment,
    ) {
        self.informed = view.informed;
        self.observe_own(view.own, now);
        let known = self.nodes.len();
        for lapsed in self.nodes.values_mut() {
            lapsed.get_or_insert(now);
        }
        for node in registered {
            match self.nodes.get_mut(node) {
                Some(lapsed) => *lapsed = None,
                None => drop(self.nodes.insert(node.clone(), None)),
            }
        }
        let counts = |since: moment::Moment| now.since(since) < RENEWAL_GRACE;
        self.nodes.retain(|_, lapsed| lapsed.is_none_or(counts));
        if self.nodes.len() > known {
            self.risen = now;
        }
    }

    fn observe_own(&mut self, own: Registration, now: moment::Moment) {
        match own {
            Registration::Own => {
                self.registered.get_or_insert(now);
                self.lapsed = None;
            }
            Registration::Earlier => (self.registered, self.is_inherited) = (None, true),
            Registration::Absent => {
                let since = *self.lapsed.get_or_insert(now);
                if self.registered.is_some() && now.since(since) >= RENEWAL_GRACE {
                    // Others no longer count this node: it starts again as a new one.
                    (self.registered, self.is_bootstrap) = (None, false);
                }
                self.is_inherited &= self.registered.is_some();
            }
        }
    }

    /// Number of nodes that may have a share.
    pub fn number(&self) -> usize {
        self.nodes.len()
    }

    /// The share of this node in a bound over all nodes, from 0 to 1.
    pub fn share(&self, now: moment::Moment) -> f64 {
        if self.has_share(now) { 1.0 / self.nodes.len() as f64 } else { 0.0 }
    }

    /// The place of this node among those that have a share; `None` if it has none.
    pub fn position(&self, now: moment::Moment) -> Option<pacing::Position> {
        let before = self.nodes.range::<id::Node, _>(..&self.own);
        let position = || pacing::Position { index: before.count(), nodes: self.nodes.len() };
        self.has_share(now).then(position)
    }

    fn has_share(&self, now: moment::Moment) -> bool {
        let Some(registered) = self.registered else { return false };
        if self.nodes.is_empty() || now.since(self.informed) >= MAX_AGE {
            return false;
        }
        // Nodes that lapse while an inheriting process starts are back within the grace.
        now.since(registered) >= SETTLING_TIME
            || self.is_bootstrap && now.since(self.risen) >= START_TIME
            || self.is_inherited && now.since(self.risen) >= RENEWAL_GRACE
    }
}
