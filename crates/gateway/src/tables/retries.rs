//! Retry budgets by service.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, retry::fleet};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

/// Retry budgets; lock rank 60.
#[derive(Debug, Default)]
pub struct Retries {
    budgets: collections::BTreeMap<id::Service, fleet::Allowance>,
}

impl table::Ranked for Retries {
    const RANK: u16 = 60;
    const NAME: &'static str = "retries";
}

impl Retries {
    /// Counts a first attempt, which adds to the budget of its service.
    pub fn count(&mut self, service: &id::Service, limits: &fleet::Limits, now: moment::Moment) {
        self.budget(service, limits).count(now);
    }

    /// Takes one retry from the budget of a service, if the usage of all nodes leaves one. `others`
    /// is what is known of the other nodes.
    pub fn try_take(
        &mut self,
        service: &id::Service,
        limits: &fleet::Limits,
        others: &fleet::Peers,
        now: moment::Moment,
    ) -> bool {
        self.budget(service, limits).take(others, now)
    }

    /// Whether the usage of all nodes leaves a retry in the budget of a service.
    pub fn allows(
        &mut self,
        service: &id::Service,
        limits: &fleet::Limits,
        others: &fleet::Peers,
        now: moment::Moment,
    ) -> bool {
        self.budget(service, limits).allows(others, now)
    }

    /// Number of requests for a service at this node, in the window.
    pub fn requests(&mut self, service: &id::Service, now: moment::Moment) -> u32 {
        self.budgets.get_mut(service).map_or(0, |budget| budget.usage(now).requests)
    }

    /// This node's usage by service, for its heartbeat.
    pub fn usage(&mut self, now: moment::Moment) -> Vec<mesh::Usage> {
        self.budgets
            .iter_mut()
            .map(|(service, budget)| {
                let usage = budget.usage(now);
                let service = mesh::hash(service.as_str());
                mesh::Usage { service, requests: usage.requests, extra: usage.extra }
            })
            .collect()
    }

    /// Retries by this node in the window, by service.
    pub fn retries(&mut self, now: moment::Moment) -> Vec<(id::Service, u32)> {
        let extra = |(service, budget): (&id::Service, &mut fleet::Allowance)| {
            (service.clone(), budget.usage(now).extra)
        };
        self.budgets.iter_mut().map(extra).collect()
    }

    fn budget(&mut self, service: &id::Service, limits: &fleet::Limits) -> &mut fleet::Allowance {
        self.budgets.entry(service.clone()).or_insert_with(|| fleet::Allowance::new(*limits))
    }
}
