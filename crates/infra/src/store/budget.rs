//! The budget of store calls that all components of a node share: rates per class, a limit of
//! calls in progress and a back-off after failures.

use std::{sync, time};

use corneltrestle_kernel::{host, table};
use corneltrestle_policy::calls;

use super::{
    Result,
    limiter::{Limiter, Permit, over_limit},
};
use crate::store;

/// Longest time that a call waits for a permit.
const MAX_WAIT: time::Duration = time::Duration::from_millis(500);
/// Delay between two attempts to start a call while the limit of calls in progress is reached.
const FULL_RETRY_DELAY: time::Duration = time::Duration::from_millis(5);

/// The table that tracks calls in progress, rates and back-off.
#[derive(Debug)]
pub struct Calls {
    state: calls::Budget,
}

impl table::Ranked for Calls {
    const RANK: u16 = 90;
    const NAME: &'static str = "calls";
}

/// A limiter that applies the budget of [`corneltrestle_policy::calls`]. Clones share one budget.
#[derive(Clone, Debug)]
pub struct Budget {
    host: sync::Arc<host::Host>,
    table: sync::Arc<table::Table<Calls>>,
}

impl Budget {
    /// Creates a budget from the rate of order calls and that of all other calls together, both in
    /// calls per second.
    ///
    /// Of `other_rate`, leases and configuration get four tenths each, and reports two tenths.
    /// `recovery` sets the back-off after failures.
    pub fn new(
        host: &sync::Arc<host::Host>,
        order_rate: f64,
        other_rate: f64,
        recovery: calls::Recovery,
    ) -> Self {
        let rate = |rate: f64| calls::Rate { per_s: rate, burst: (rate * 2.0).max(4.0) };
        let (most, rest) = (rate(other_rate * 0.4), rate(other_rate * 0.2));
        let rates = [most, rate(order_rate), most, rest];
        let state = calls::Budget::with_recovery(rates, recovery);
        Self {
            host: sync::Arc::clone(host),
            table: sync::Arc::new(table::Table::new(Calls { state })),
        }
    }
}

impl Limiter for Budget {
    type Permit = InProgress;

    async fn acquire(&self, class: store::Class) -> Result<InProgress> {
        let started = self.host.now();
        loop {
            let now = self.host.now();
            let wait = match self.table.lock().state.begin(class, now) {
                calls::Permit::Granted => {
                    return Ok(InProgress { budget: self.clone(), ended: false });
                }
                calls::Permit::Wait(at) => at.since(now),
                calls::Permit::Full => FULL_RETRY_DELAY,
            };
            if now.since(started) + wait > MAX_WAIT {
                return Err(over_limit("the budget of store calls is exhausted".to_owned()));
            }
            tokio::time::sleep(wait.max(time::Duration::from_millis(1))).await;
        }
    }
}

/// The permit of a call within the budget.
#[derive(Debug)]
pub struct InProgress {
    budget: Budget,
    /// Whether the end of the call has been counted, by a recorded failure or by dropping.
    ended: bool,
}

impl InProgress {
    fn end(&mut self, failed: bool) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.budget.host.now();
            self.budget.table.lock().state.end(failed, now, &mut rand::rng());
        }
    }
}

impl Permit for InProgress {
    /// A failure ends the call at once, while an answered call, such as an open watch, stays in
    /// progress until the permit is dropped.
    fn record(&mut self, answered: bool) {
        if !answered {
            self.end(true);
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.end(false);
    }
}
