//! Retry budgets by service.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, retry::fleet};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

/// Retry budgets; lock rank 60.
#[derive(Debug, Default)]
pub struct Retries {
    /// The number of nodes, which share the slack of each service; `None` before the first is known.
    nodes: Option<fleet::Nodes>,
    budgets: collections::BTreeMap<id::Service, fleet::Allowance>,
}

impl table::Ranked for Retries {
    const RANK: u16 = 60;
    const NAME: &'static str = "retries";
}

impl Retries {
    /// Records the number of known nodes, this one included, see [`fleet::Nodes::observe`].
    /// `is_bootstrap` says whether the process was started with the whole deployment.
    pub fn observe_nodes(
        &mut self,
        number: usize,
        is_bootstrap: bool,
        informed: moment::Moment,
        now: moment::Moment,
    ) {
        let nodes = self.nodes.get_or_insert_with(|| fleet::Nodes::new(is_bootstrap, now));
        nodes.observe(number, informed, now);
    }

    /// Counts a first attempt, which adds to the budget of its service.
    pub fn count(&mut self, service: &id::Service, limits: &fleet::Limits, now: moment::Moment) {
        self.budget(service, limits).count(now);
    }

    /// Takes one retry from this node's share of the budget of a service, if one is left.
    pub fn try_take(
        &mut self,
        service: &id::Service,
        limits: &fleet::Limits,
        purpose: fleet::Purpose,
        now: moment::Moment,
    ) -> bool {
        let slack = self.slack(limits, now);
        self.budget(service, limits).take(purpose, slack, now)
    }

    /// Whether a retry is left in this node's share of the budget of a service.
    pub fn allows(
        &mut self,
        service: &id::Service,
        limits: &fleet::Limits,
        purpose: fleet::Purpose,
        now: moment::Moment,
    ) -> bool {
        let slack = self.slack(limits, now);
        self.budget(service, limits).allows(purpose, slack, now)
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

    /// This node's shares of the budgets, by service: the retries that it may have in a window.
    pub fn shares(
        &mut self,
        limits: &fleet::Limits,
        now: moment::Moment,
    ) -> Vec<(id::Service, f64)> {
        let slack = self.slack(limits, now);
        let share = |(service, budget): (&id::Service, &mut fleet::Allowance)| {
            (service.clone(), budget.share(slack, now))
        };
        self.budgets.iter_mut().map(share).collect()
    }

    /// This node's part of the slack of each service.
    fn slack(&self, limits: &fleet::Limits, now: moment::Moment) -> f64 {
        self.nodes.map_or(0.0, |nodes| nodes.part(limits, now))
    }

    fn budget(&mut self, service: &id::Service, limits: &fleet::Limits) -> &mut fleet::Allowance {
        self.budgets.entry(service.clone()).or_insert_with(|| fleet::Allowance::new(*limits))
    }
}
