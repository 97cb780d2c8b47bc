//! Grants permits from the parts that nodes have lent.

use std::{collections, time};

use corneltrestle_time::moment;

use super::{MIN_RATE, lender};
use crate::id;

/// Time by which a part is given back before its owner may use it: the message took some time.
const LOAN_MARGIN: time::Duration = time::Duration::from_millis(200);

/// Time for which unused permits of an upstream are saved.
const BURST_TIME: time::Duration = time::Duration::from_millis(250);

/// Time without requests after which a bucket is dropped. It is full by then, unless its rate is low.
const RETENTION: time::Duration = time::Duration::from_secs(20);

/// Longest time that callers are told to wait for a permit.
const MAX_WAIT: time::Duration = time::Duration::from_secs(5);

/// The parts that were lent to this node, and a token bucket for each upstream.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::{Moment, quota::Grantor};
///
/// let (mut grantor, at) = (Grantor::default(), Moment::from_millis);
/// grantor.borrow(&"node-1".into(), 0.5, at(0));
/// assert_eq!(grantor.grant(&"vm".into(), 10.0, 3, at(0)).number, 0);
/// // Half of ten requests a second.
/// assert_eq!(grantor.grant(&"vm".into(), 10.0, 3, at(200)).number, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    /// Parts by node, with the end of the loan.
    loans: collections::BTreeMap<id::Node, (f64, moment::Moment)>,
    buckets: collections::BTreeMap<id::Vm, Bucket>,
}

/// The answer to a request for permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Number of permits.
    pub number: u32,
    /// Time until a further one is expected.
    pub wait: time::Duration,
}

/// A token bucket that starts empty: a grantor before this one may have granted what it holds.
#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    filled: moment::Moment,
    used: moment::Moment,
    /// The limit in requests a second.
    rate: f64,
}

impl Bucket {
    fn fill(&mut self, parts: f64, now: moment::Moment) {
        let flow = self.rate * parts;
        let most = 1.0 + flow * BURST_TIME.as_secs_f64();
        let added = flow * now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + added).min(most);
        self.filled = now;
    }
}

impl Grantor {
    /// Records that a node lends its part from now on.
    pub fn borrow(&mut self, node: &id::Node, part: f64, now: moment::Moment) {
        // What was lent before does not count for the past.
        self.fill(now);
        let until = now + lender::LOAN_TIME.saturating_sub(LOAN_MARGIN);
        self.loans.insert(node.clone(), (part.clamp(0.0, 1.0), until));
    }

    /// The sum of the parts that this node has now.
    pub fn parts(&self, now: moment::Moment) -> f64 {
        let lent = self.loans.values().filter(|(_, until)| now < *until);
        lent.map(|(part, _)| part).sum::<f64>().min(1.0)
    }

    /// Grants up to `wanted` permits for an upstream that takes `rate` requests a second.
    pub fn grant(
        &mut self,
        upstream: &id::Vm,
        rate: f64,
        wanted: u32,
        now: moment::Moment,
    ) -> Grant {
        let parts = self.parts(now);
        let bucket = self.buckets.entry(upstream.clone()).or_insert_with(|| Bucket {
            tokens: 0.0,
            filled: now,
            used: now,
            rate: rate.max(MIN_RATE),
        });
        bucket.fill(parts, now);
        (bucket.rate, bucket.used) = (rate.max(MIN_RATE), now);
        let number = wanted.min(bucket.tokens as u32);
        bucket.tokens -= f64::from(number);
        let missing = (1.0 - bucket.tokens).max(0.0);
        let flow = bucket.rate * parts;
        // Without parts, as nodes have just turned to this one, they arrive soon.
        let most = if flow > 0.0 { MAX_WAIT } else { LOAN_MARGIN };
        let wait = time::Duration::try_from_secs_f64(missing / flow).unwrap_or(most);
        Grant { number, wait: wait.min(most) }
    }

    /// Ends loans and drops buckets that are no longer used.
    pub fn prune(&mut self, now: moment::Moment) {
        self.fill(now);
        self.loans.retain(|_, (_, until)| now < *until);
        self.buckets.retain(|_, bucket| now.since(bucket.used) < RETENTION);
    }

    fn fill(&mut self, now: moment::Moment) {
        let parts = self.parts(now);
        self.buckets.values_mut().for_each(|bucket| bucket.fill(parts, now));
    }
}
