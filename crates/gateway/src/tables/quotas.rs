//! Limits that upstreams name on the requests of all nodes, and the permits under them.

use std::{sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{
    id,
    quota::{self, grantor, known},
};
use corneltrestle_time::moment;

/// Limits and permits; lock rank 57.
#[derive(Debug, Default)]
pub struct Quotas {
    known: quota::Known,
    lender: quota::Lender,
    grantor: quota::Grantor,
    permits: quota::Permits,
    /// The node that grants permits to this one.
    source: Option<id::Node>,
    /// Whether that is this node.
    grants_itself: bool,
    signals: Signals,
}

/// What tasks wait for.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Notified when a request begins to wait for a permit.
    pub wanted: sync::Arc<tokio::sync::Notify>,
    /// Notified when an answer of the grantor has arrived.
    pub granted: sync::Arc<tokio::sync::Notify>,
}

/// A request for permits of this node.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The node to ask.
    pub grantor: id::Node,
    /// The part that this node lends to it.
    pub part: f64,
    /// Number of permits by upstream.
    pub wanted: Vec<(id::Vm, u32)>,
}

impl table::Ranked for Quotas {
    const RANK: u16 = 57;
    const NAME: &'static str = "quotas";
}

/// Limits.
impl Quotas {
    /// What tasks wait for.
    pub fn signals(&self) -> Signals {
        self.signals.clone()
    }

    /// Records what the answer of an upstream said of its limit to this process, `boot`.
    pub fn record(
        &mut self,
        upstream: &id::Vm,
        incarnation: u64,
        statement: quota::Statement,
        boot: u64,
        now: moment::Moment,
    ) {
        if statement == quota::Statement::Invalid {
            log::debug!(upstream = upstream.as_str(); "quota: the upstream names a limit that is none");
        }
        if self.known.record(upstream, incarnation, statement, boot, now) {
            self.report(upstream);
        }
    }

    /// Adopts a limit that another node knows.
    pub fn merge(&mut self, upstream: &id::Vm, limit: known::Limit) {
        if self.known.merge(upstream, limit) {
            self.report(upstream);
        }
    }

    fn report(&self, upstream: &id::Vm) {
        match self.known.rate(upstream.as_str()) {
            Some(rate) => log::info!(
                upstream = upstream.as_str(), rate = rate;
                "quota: the upstream limits the requests of all nodes"
            ),
            None => {
                log::info!(upstream = upstream.as_str(); "quota: the upstream has no limit any more")
            }
        }
    }

    /// The limits that are known, those that were lifted included.
    pub fn known(&self) -> &quota::Known {
        &self.known
    }
}

/// Permits of this node.
impl Quotas {
    /// Takes a permit for a request to an upstream, which needs none if it names no limit. `part` is that
    /// of this node in each limit.
    pub fn try_take(&mut self, upstream: &id::Vm, part: f64, now: moment::Moment) -> bool {
        let Some(rate) = self.known.rate(upstream.as_str()) else { return true };
        if self.permits.take(upstream.as_str(), now) {
            return true;
        }
        let Some(own) = self.source.clone().filter(|_| self.grants_itself) else {
            return false;
        };
        if self.lender.lend(&own, now) {
            self.grantor.borrow(&own, part, now);
        }
        let grant = self.grantor.grant(upstream, rate, 1, now);
        self.permits.receive(upstream, grant, now, now);
        self.permits.take(upstream.as_str(), now)
    }

    /// Adds a request that waits for a permit; returns the number of answers so far.
    pub fn wait(&mut self, upstream: &id::Vm) -> u64 {
        self.signals.wanted.notify_one();
        self.permits.wait(upstream)
    }

    /// Removes a request that waits for a permit.
    pub fn end_wait(&mut self, upstream: &id::Vm) {
        self.permits.end_wait(upstream.as_str());
    }

    /// Number of answers to requests for permits for an upstream.
    pub fn answers(&self, upstream: &id::Vm) -> u64 {
        self.permits.answers(upstream.as_str())
    }

    /// Records that the grantor has not answered in time.
    pub fn miss(&mut self, upstream: &id::Vm, now: moment::Moment) {
        self.permits.miss(upstream, now);
    }

    /// Whether a request to an upstream can be sent at once, without a permit or with one that is held.
    pub fn is_open(&self, upstream: &str, now: moment::Moment) -> bool {
        self.known.rate(upstream).is_none() || self.permits.has(upstream, now)
    }

    /// Time until a permit for an upstream is expected; `None` if one may be had now.
    pub fn dry_for(&self, upstream: &str, now: moment::Moment) -> Option<time::Duration> {
        let is_dry = self.known.rate(upstream).is_some() && self.permits.is_dry(upstream, now);
        is_dry.then(|| self.permits.wait_time(upstream, now))
    }
}

/// Exchange with other nodes.
impl Quotas {
    /// The sum of the parts that nodes have lent to this one.
    pub fn parts(&self, now: moment::Moment) -> f64 {
        self.grantor.parts(now)
    }

    /// Whether no upstream limits its requests, so that there is nothing to exchange.
    pub fn is_idle(&self) -> bool {
        self.known.is_unlimited()
    }

    /// The request to send now to the first of these nodes that answers. `part` is that of this node in
    /// each limit, and `is_due` says whether to lend it again although no permit is wanted. `None` if
    /// there is nothing to send.
    pub fn ask(
        &mut self,
        own: &id::Node,
        nodes: &[id::Node],
        part: f64,
        is_due: bool,
        now: moment::Moment,
    ) -> Option<Ask> {
        let is_due = is_due || self.lender.must_repeat(now);
        let grantor = self.lender.choose(nodes, now)?.clone();
        let is_new = self.source.as_ref() != Some(&grantor);
        if is_new {
            log::info!(grantor = grantor.as_str(); "quota: permits come from another node");
            self.source = Some(grantor.clone());
        }
        let is_own = *own == grantor;
        self.grants_itself = is_own;
        let wanted = if is_own { Vec::new() } else { self.permits.asks(now) };
        if wanted.is_empty() && !is_due && !is_new {
            return None;
        }
        let part = if self.lender.lend(&grantor, now) { part } else { 0.0 };
        if is_own {
            self.grantor.borrow(&grantor, part, now);
            return None;
        }
        self.lender.asked(&grantor, now);
        Some(Ask { grantor, part, wanted })
    }

    /// Answers the request of another node for a number of permits for an upstream.
    pub fn grant(&mut self, upstream: &id::Vm, wanted: u32, now: moment::Moment) -> grantor::Grant {
        match self.known.rate(upstream.as_str()) {
            Some(rate) => self.grantor.grant(upstream, rate, wanted, now),
            None => grantor::Grant { number: wanted, wait: time::Duration::ZERO },
        }
    }

    /// Records the part that another node lends to this one.
    pub fn borrow(&mut self, node: &id::Node, part: f64, now: moment::Moment) {
        self.grantor.borrow(node, part, now);
    }

    /// Records that a node has answered the request of this one.
    pub fn answered(&mut self, node: &id::Node) {
        self.lender.answered(node);
    }

    /// Adds permits that were asked for at `asked`.
    pub fn receive(
        &mut self,
        upstream: &id::Vm,
        grant: grantor::Grant,
        asked: moment::Moment,
        now: moment::Moment,
    ) {
        self.permits.receive(upstream, grant, asked, now);
    }

    /// Removes what is out of date.
    pub fn prune(&mut self, now: moment::Moment) {
        self.known.prune(now);
        self.permits.prune(now);
        self.grantor.prune(now);
    }
}
