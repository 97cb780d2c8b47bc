//! Retry budgets by service.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, retry};
use corneltrestle_time::moment;

/// Budgets of requests that are sent again; rank 60.
#[derive(Debug, Default)]
pub struct Retries {
    budgets: collections::BTreeMap<id::Service, retry::Budget>,
}

impl table::Ranked for Retries {
    const RANK: u16 = 60;
    const NAME: &'static str = "retries";
}

impl Retries {
    /// Counts a request of a service.
    pub fn count(&mut self, service: &id::Service, now: moment::Moment) {
        self.budget(service).count(now);
    }

    /// Grants a request another attempt, and counts it, if the budget has one left.
    pub fn take(&mut self, service: &id::Service, now: moment::Moment) -> bool {
        self.budget(service).take(now)
    }

    fn budget(&mut self, service: &id::Service) -> &mut retry::Budget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.clone(), retry::Budget::retries());
        }
        self.budgets.get_mut(service).expect("inserted above")
    }
}
