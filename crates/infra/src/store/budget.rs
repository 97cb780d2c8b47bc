//! The budget of store calls that all parts of a node share.

use std::{sync, time};

use corneltrestle_kernel::{host, table};
use corneltrestle_policy::calls;

use super::{
    Result,
    limiter::{Limiter, Permit, refused},
};
use crate::store;

/// Longest wait of a call for its turn.
const WAIT: time::Duration = time::Duration::from_millis(500);
/// Wait between two attempts while all places are taken.
const FULL_WAIT: time::Duration = time::Duration::from_millis(5);

/// Calls in progress, rates and back-off towards the store; rank 90.
#[derive(Debug)]
pub struct Calls {
    state: calls::Budget,
}

impl table::Ranked for Calls {
    const RANK: u16 = 90;
    const NAME: &'static str = "calls";
}

/// Allows calls within the budget of [`corneltrestle_policy::calls`].
#[derive(Clone, Debug)]
pub struct Budget {
    host: sync::Arc<host::Host>,
    table: sync::Arc<table::Table<Calls>>,
}

impl Budget {
    /// Opens a budget with these rates of order calls and of all other calls together.
    ///
    /// Leases and configuration get four tenths of the other calls each, reports the rest.
    pub fn open(
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

    async fn start(&self, class: store::Class) -> Result<InProgress> {
        let begun = self.host.now();
        loop {
            let now = self.host.now();
            let wait = match self.table.lock().state.begin(class, now) {
                calls::Permit::Granted => {
                    return Ok(InProgress { budget: self.clone(), ended: false });
                }
                calls::Permit::Wait(at) => at.since(now),
                calls::Permit::Full => FULL_WAIT,
            };
            if now.since(begun) + wait > WAIT {
                return Err(refused("the budget of store calls is used up".to_owned()));
            }
            tokio::time::sleep(wait.max(time::Duration::from_millis(1))).await;
        }
    }
}

/// A call within the budget.
#[derive(Debug)]
pub struct InProgress {
    budget: Budget,
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
    /// A failure ends the call at once; a waiting watch stays in progress after its first answer.
    fn settle(&mut self, answered: bool) {
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
