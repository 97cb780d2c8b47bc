//! Guards against limits that each node keeps but all nodes together exceed.

#[path = "support/seeded.rs"]
mod seeded;

use std::time::Duration;

use corneltrestle_policy::{Moment, deployment, pacing, retry::fleet};
use proptest::prelude::*;

/// Nodes that try retries in every step and learn of their peers' usage with a delay.
struct Nodes {
    limits: fleet::Limits,
    allowances: Vec<fleet::Allowance>,
    /// Usage that each node reported last.
    reported: Vec<fleet::Usage>,
    granted: Vec<Moment>,
    requests: Vec<Moment>,
}

impl Nodes {
    fn new(number: usize, limits: fleet::Limits) -> Self {
        Self {
            limits,
            allowances: vec![fleet::Allowance::new(limits); number],
            reported: vec![fleet::Usage::default(); number],
            granted: Vec::new(),
            requests: Vec::new(),
        }
    }

    fn step(&mut self, requests: usize, tries: usize, connected: &[bool], now: Moment) {
        for node in 0..self.allowances.len() {
            for _ in 0..requests {
                self.allowances[node].count(now);
                self.requests.push(now);
            }
            for _ in 0..tries {
                let peers = self.peers(node, connected);
                if self.allowances[node].take(&peers, now) {
                    self.granted.push(now);
                }
            }
        }
    }

    fn peers(&self, node: usize, connected: &[bool]) -> fleet::Peers {
        let mut peers =
            fleet::Peers { total: self.allowances.len() - 1, ..fleet::Peers::default() };
        for (other, usage) in self.reported.iter().enumerate() {
            if other != node && connected[other] && connected[node] {
                peers.known += 1;
                peers.usage.requests += usage.requests;
                peers.usage.extra += usage.extra;
            }
        }
        peers
    }

    fn report(&mut self, now: Moment) {
        self.reported = self.allowances.iter_mut().map(|allowance| allowance.usage(now)).collect();
    }

    fn check(&self, now: Moment) {
        let within = |times: &[Moment]| {
            times.iter().filter(|at| now.since(**at) < self.limits.window).count() as f64
        };
        let allowed = self.limits.ratio * within(&self.requests) + self.limits.slack;
        let granted = within(&self.granted);
        assert!(granted <= allowed, "{granted} attempts, {allowed} allowed at {now:?}");
    }
}

/// Guards against a retry storm when all nodes lose their upstreams at the same time and some of
/// them exchange no reports.
#[test]
fn retries_of_all_nodes_stay_within_the_limit() {
    let isolated = prop::collection::vec(any::<bool>(), 12);
    seeded::run(
        64,
        (2usize..12, isolated, 0usize..6, 1usize..6),
        |(nodes, isolated, requests, tries)| {
            let limits =
                fleet::Limits { ratio: 0.2, slack: 134.0, window: Duration::from_secs(10) };
            let mut all = Nodes::new(nodes, limits);
            let connected: Vec<bool> =
                isolated.iter().take(nodes).map(|isolated| !isolated).collect();
            for step in 0..150 {
                let now = Moment::from_millis(10_000 + step * 100);
                all.step(requests, tries, &connected, now);
                if step % 3 == 2 {
                    all.report(now);
                }
                all.check(now);
            }
            Ok(())
        },
    );
}

/// Sends a request to a cold upstream if the node's pacing allows it; returns whether it did.
fn send(
    pacing: &mut pacing::Pacing,
    cold: &deployment::Cold,
    position: pacing::Position,
    until: Moment,
    now: Moment,
) -> bool {
    let vm = "vm-1".into();
    let allowed = pacing.allows(&vm, cold, position, until, now);
    if allowed {
        pacing.count(&vm, now);
    }
    allowed
}

/// Moments of the requests to a cold upstream when each node sends as often as it may. A node
/// learns of the upstream's start up to `skew` milliseconds late.
fn sent_to_cold(nodes: usize, cold: &deployment::Cold, skew: u64) -> Vec<Moment> {
    let mut all = vec![pacing::Pacing::default(); nodes];
    let mut sent = Vec::new();
    for step in 0..300 {
        let now = Moment::from_millis(1_000 + step * 10);
        for (index, pacing) in all.iter_mut().enumerate() {
            let late = Duration::from_millis(index as u64 * 37 % (skew + 1));
            let until = Moment::from_millis(4_000) + late;
            let position = pacing::Position { index, nodes };
            if send(pacing, cold, position, until, now) {
                sent.push(now);
            }
        }
    }
    sent
}

/// Guards against a cold upstream that gets more requests from all nodes together than it sustains.
#[test]
fn cold_upstream_gets_no_more_than_it_sustains() {
    // Upstreams sustain 1.5 times the published rate, plus five requests.
    let sustained = |rate: f64| rate * 1.5 + 5.0;
    for rate in [4.0, 10.0, 20.0, 40.0] {
        let cold = deployment::Cold { span: Duration::from_secs(3), rate };
        for nodes in [1, 3, 8, 25, 75, 340] {
            let sent = sent_to_cold(nodes, &cold, 150);
            for (position, first) in sent.iter().enumerate() {
                let later = sent[position..].iter();
                let number =
                    later.take_while(|at| at.since(*first) < Duration::from_secs(1)).count();
                assert!(
                    number as f64 <= sustained(rate),
                    "{number} requests in a second from {nodes} nodes at a rate of {rate}"
                );
            }
        }
    }
}

/// Guards against pacing that leaves a cold upstream idle, so that it never warms up.
#[test]
fn cold_upstream_is_used() {
    let cold = deployment::Cold { span: Duration::from_secs(3), rate: 20.0 };
    for nodes in [1, 3, 8, 25, 75] {
        let sent = sent_to_cold(nodes, &cold, 150).len();
        assert!(sent >= 20, "{sent} requests in three seconds from {nodes} nodes");
    }
}

/// Guards against a node that gets no turn at a cold upstream when there are many nodes.
#[test]
fn every_node_gets_its_turn() {
    let cold = deployment::Cold { span: Duration::from_secs(8), rate: 20.0 };
    for index in 0..75 {
        let position = pacing::Position { index, nodes: 75 };
        let mut pacing = pacing::Pacing::default();
        let until = Moment::from_millis(9_000);
        let mut moments = (0..80).map(|step| Moment::from_millis(1_000 + step * 100));
        assert!(moments.any(|now| send(&mut pacing, &cold, position, until, now)));
    }
}
