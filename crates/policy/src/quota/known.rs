//! The limits that upstreams have named, to this node or to others.
//!
//! Nodes pass statements on with their age, which is slightly too small each time. A statement is therefore
//! dated once, when it is first received.

use std::{collections, time};

use corneltrestle_time::moment;

use super::Statement;
use crate::id;

/// Time after which a limit that no answer has confirmed is forgotten. An upstream that gets requests
/// confirms it sooner, see [`super::MIN_RATE`].
const RETENTION: time::Duration = time::Duration::from_secs(30);

/// What is known of the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Identifier of the start of its process.
    pub incarnation: u64,
    /// Requests a second; `None` if it no longer names a limit.
    pub rate: Option<f64>,
    /// When an answer said so.
    pub stated: moment::Moment,
    /// Identifies the statement among those of all nodes.
    pub source: Source,
}

/// The process that got an answer with a limit, and when by its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Source {
    /// Identifier of the process.
    pub boot: u64,
    /// Time of the answer in microseconds.
    pub micros: u64,
}

/// Limits by upstream. The latest answer of the latest process counts.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, quota::{Known, Statement}};
///
/// let (mut known, at) = (Known::default(), Moment::from_millis);
/// known.record(&"vm".into(), 1, Statement::Limited(5.0), 7, at(10));
/// assert_eq!(known.rate("vm"), Some(5.0));
/// known.record(&"vm".into(), 1, Statement::Unlimited, 7, at(20));
/// assert_eq!(known.rate("vm"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Known {
    limits: collections::BTreeMap<id::Vm, Limit>,
}

impl Known {
    /// Records what an answer said to the process `boot`; returns whether it changes the limit.
    pub fn record(
        &mut self,
        upstream: &id::Vm,
        incarnation: u64,
        statement: Statement,
        boot: u64,
        now: moment::Moment,
    ) -> bool {
        let rate = match statement {
            Statement::Limited(rate) => Some(rate),
            Statement::Unlimited if self.limits.contains_key(upstream) => None,
            Statement::Unlimited | Statement::Invalid => return false,
        };
        let source = Source { boot, micros: now.as_micros() };
        self.merge(upstream, Limit { incarnation, rate, stated: now, source })
    }

    /// Adopts what another node knows, unless it is older; returns whether it changes the limit.
    pub fn merge(&mut self, upstream: &id::Vm, limit: Limit) -> bool {
        let known = self.limits.get(upstream).copied();
        let order = |limit: &Limit| (limit.incarnation, limit.stated);
        let is_known =
            |known: Limit| known.source == limit.source || order(&known) >= order(&limit);
        if known.is_some_and(is_known) {
            return false;
        }
        self.limits.insert(upstream.clone(), limit);
        known.and_then(|known| known.rate) != limit.rate
    }

    /// The limit of an upstream in requests a second; `None` if it has none.
    pub fn rate(&self, upstream: &str) -> Option<f64> {
        self.limits.get(upstream)?.rate
    }

    /// Whether no upstream has a limit.
    pub fn is_unlimited(&self) -> bool {
        self.limits.values().all(|limit| limit.rate.is_none())
    }

    /// What is known, by upstream; also limits that were lifted, as other nodes may still keep them.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Vm, &Limit)> {
        self.limits.iter()
    }

    /// Forgets what no answer has confirmed for long.
    pub fn prune(&mut self, now: moment::Moment) {
        self.limits.retain(|_, limit| now.since(limit.stated) < RETENTION);
    }
}
