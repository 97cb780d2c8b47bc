//! Retry budgets by service.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, retry::fleet};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

/// Budgets of requests that are sent again; rank 60.
#[derive(Debug, Default)]
pub struct Retries {
    budgets: collections::BTreeMap<id::Service, fleet::Allowance>,
    /// What each peer has told, with the moment at which it did.
    peers: collections::HashMap<id::Node, (moment::Moment, Vec<mesh::Usage>)>,
}

impl table::Ranked for Retries {
    const RANK: u16 = 60;
    const NAME: &'static str = "retries";
}

impl Retries {
    /// Counts a request of a service.
    pub fn count(&mut self, service: &id::Service, limits: &fleet::Limits, now: moment::Moment) {
        self.budget(service, limits).count(now);
    }

    /// Grants a request another attempt, and counts it, if the budget has one left; `nodes` is the
    /// number of all nodes.
    pub fn take(
        &mut self,
        service: &id::Service,
        limits: &fleet::Limits,
        nodes: usize,
        now: moment::Moment,
    ) -> bool {
        let hash = mesh::hash(service.as_str());
        let mut others = fleet::Others { all: nodes.saturating_sub(1), ..fleet::Others::default() };
        for (at, usage) in self.peers.values() {
            if now.since(*at) > limits.window / 4 {
                continue;
            }
            others.heard += 1;
            for row in usage.iter().filter(|row| row.service == hash) {
                others.usage.requests += row.requests;
                others.usage.extra += row.extra;
            }
        }
        self.budget(service, limits).take(&others, now)
    }

    /// Requests of all nodes for a service by each request of this node, in the window.
    pub fn scale(&mut self, service: &id::Service, now: moment::Moment) -> f64 {
        let hash = mesh::hash(service.as_str());
        let rows = self.peers.values().flat_map(|(_, usage)| usage);
        let others: u32 = rows.filter(|row| row.service == hash).map(|row| row.requests).sum();
        let own = self.budgets.get_mut(service).map_or(0, |budget| budget.usage(now).requests);
        f64::from(own + others) / f64::from(own.max(1))
    }

    /// What this node has sent, for its pulse.
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

    /// Takes what a peer has sent.
    pub fn hear(&mut self, node: &id::Node, usage: &[mesh::Usage], now: moment::Moment) {
        self.peers.insert(node.clone(), (now, usage.to_vec()));
    }

    fn budget(&mut self, service: &id::Service, limits: &fleet::Limits) -> &mut fleet::Allowance {
        self.budgets.entry(service.clone()).or_insert_with(|| fleet::Allowance::open(*limits))
    }
}
