//! The replicas at which one request has failed.

use std::{collections, time};

use corneltrestle_time::moment;

use super::Failure;
use crate::{assignment, id};

/// Longest time for which a replica that gave an invalid response is avoided while another one is
/// declared. It covers the loading of a replica that is formed again.
const AVOID_MAX: time::Duration = time::Duration::from_secs(5);

/// How often one request has failed at each replica.
///
/// Failures at another epoch do not count: a replica that was formed again since has other members or
/// engines that have started again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_policy::{Moment, assignment, id, retry};
///
/// let replica = |index| assignment::Replica {
///     id: id::Replica { set: "chat".into(), index },
///     epoch: 1,
///     fabric: "f0".into(),
///     vms: Vec::new(),
///     phase: assignment::Phase::Serving,
///     routers: Vec::new(),
///     baseline: assignment::Baseline::default(),
/// };
/// let (failed, other, mut tried) = (replica(0), replica(1), retry::Tried::default());
/// let (now, left) = (Moment::from_millis(1_000), Duration::from_secs(20));
/// tried.record(&failed, retry::Failure::Broken, left, now);
/// let least = tried.least([&failed, &other]);
/// assert!(tried.failures(&failed) > least);
/// assert_eq!(tried.failures(&other), least);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tried {
    replicas: collections::BTreeMap<id::Replica, Entry>,
}

/// Failures at the latest epoch of a replica at which the request failed.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    epoch: u64,
    failures: u32,
    avoided_until: Option<moment::Moment>,
}

impl Tried {
    /// Records a failure at `now` of the request, which has `left` until its deadline.
    pub fn record(
        &mut self,
        replica: &assignment::Replica,
        failure: Failure,
        left: time::Duration,
        now: moment::Moment,
    ) {
        let entry = self.replicas.entry(replica.id.clone()).or_default();
        if entry.epoch != replica.epoch {
            *entry = Entry { epoch: replica.epoch, ..Entry::default() };
        }
        entry.failures += 1;
        if failure == Failure::InvalidResponse {
            entry.avoided_until = Some(now + (left / 2).min(AVOID_MAX));
        }
    }

    /// Number of failures of the request at the present epoch of a replica.
    pub fn failures(&self, replica: &assignment::Replica) -> u32 {
        self.entry(replica).failures
    }

    /// The least number of failures among replicas that may take the request now or after their next
    /// report; 0 without any. The request is sent only to replicas with this number: otherwise a
    /// replica that fails at once would use up the attempts while a better one is waited for.
    pub fn least<'a>(&self, expected: impl IntoIterator<Item = &'a assignment::Replica>) -> u32 {
        expected.into_iter().map(|replica| self.failures(replica)).min().unwrap_or_default()
    }

    /// Whether the request waits for another declared replica rather than go to this one, which gave an
    /// invalid response. The engine is faulty and not merely lost, so that the next response is
    /// probably invalid, too.
    pub fn is_avoided(&self, replica: &assignment::Replica, now: moment::Moment) -> bool {
        self.entry(replica).avoided_until.is_some_and(|until| now < until)
    }

    fn entry(&self, replica: &assignment::Replica) -> Entry {
        let known = self.replicas.get(&replica.id).filter(|entry| entry.epoch == replica.epoch);
        known.copied().unwrap_or_default()
    }
}
