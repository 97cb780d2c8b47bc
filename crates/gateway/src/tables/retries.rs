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
    /// Latest usage reported by each peer of the own zone, and by one node for each other zone.
    peers: collections::HashMap<id::Node, Report>,
}

/// Usage reported by a peer.
#[derive(Clone, Debug)]
struct Report {
    received: moment::Moment,
    /// Number of nodes that the usage of a zone covers; 0 for the usage of one peer.
    nodes: u32,
    usage: Vec<mesh::Usage>,
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

    /// Takes one retry from the budget of a service, if the usage of all `nodes` nodes leaves one.
    pub fn try_take(
        &mut self,
        service: &id::Service,
        limits: &fleet::Limits,
        nodes: usize,
        now: moment::Moment,
    ) -> bool {
        let others = self.others(service, limits, nodes, now);
        self.budget(service, limits).take(&others, now)
    }

    /// Whether the usage of all `nodes` nodes leaves a retry in the budget of a service.
    pub fn allows(
        &mut self,
        service: &id::Service,
        limits: &fleet::Limits,
        nodes: usize,
        now: moment::Moment,
    ) -> bool {
        let others = self.others(service, limits, nodes, now);
        self.budget(service, limits).allows(&others, now)
    }

    /// What is known of the usage of the other nodes.
    fn others(
        &self,
        service: &id::Service,
        limits: &fleet::Limits,
        nodes: usize,
        now: moment::Moment,
    ) -> fleet::Peers {
        let hash = mesh::hash(service.as_str());
        let mut others = fleet::Peers { total: nodes.saturating_sub(1), ..fleet::Peers::default() };
        for report in self.peers.values() {
            if now.since(report.received) > limits.window / 4 {
                continue;
            }
            others.known += usize::try_from(report.nodes.max(1)).unwrap_or(1);
            for row in report.usage.iter().filter(|row| row.service == hash) {
                others.usage.requests += row.requests;
                others.usage.extra += row.extra;
            }
        }
        others
    }

    /// Ratio of the requests of all nodes for a service to those of this node, in the window.
    pub fn scale(&mut self, service: &id::Service, now: moment::Moment) -> f64 {
        let hash = mesh::hash(service.as_str());
        let rows = self.peers.values().flat_map(|report| &report.usage);
        let others: u32 = rows.filter(|row| row.service == hash).map(|row| row.requests).sum();
        let own = self.budgets.get_mut(service).map_or(0, |budget| budget.usage(now).requests);
        f64::from(own + others) / f64::from(own.max(1))
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

    /// Usage of all nodes of this node's zone, for its digest.
    pub fn zone_usage(&mut self, now: moment::Moment) -> Vec<mesh::Usage> {
        let mut sums = collections::BTreeMap::<u32, mesh::Usage>::new();
        let own = self.usage(now);
        let same_zone = self.peers.values().filter(|report| report.nodes == 0);
        for row in own.iter().chain(same_zone.flat_map(|report| &report.usage)) {
            let sum = sums.entry(row.service).or_default();
            sum.service = row.service;
            sum.requests += row.requests;
            sum.extra += row.extra;
        }
        sums.into_values().collect()
    }

    /// Stores the usage in a peer's heartbeat, or in a zone's digest.
    pub fn update_peer(&mut self, key: &id::Node, load: &mesh::Load, now: moment::Moment) {
        let report = Report { received: now, nodes: load.nodes, usage: load.usage.clone() };
        self.peers.insert(key.clone(), report);
    }

    fn budget(&mut self, service: &id::Service, limits: &fleet::Limits) -> &mut fleet::Allowance {
        self.budgets.entry(service.clone()).or_insert_with(|| fleet::Allowance::new(*limits))
    }
}
