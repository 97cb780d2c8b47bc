//! The nodes of the cluster, as this node knows them by gossip.

use std::collections;

use corneltrestle_kernel::{lifecycle, table};
use corneltrestle_policy::{id, membership};
use corneltrestle_time::moment;
use corneltrestle_wire::link;

/// Members, their demand and the updates already forwarded; rank 20.
#[derive(Debug)]
pub struct Members {
    /// Liveness, address and heartbeat of each node.
    pub known: membership::Members,
    /// Updates that this node has forwarded; each is forwarded only once.
    pub forwarded: membership::Forwarded,
    demand: collections::BTreeMap<id::Node, Published>,
}

/// The demand that a node has published.
#[derive(Clone, Debug, Default)]
struct Published {
    /// Heartbeat of the node at which the demand last changed.
    changed: u64,
    rows: link::Demand,
}

impl table::Ranked for Members {
    const RANK: u16 = 20;
    const NAME: &'static str = "members";
}

impl Members {
    /// Creates the table of a starting node.
    pub fn new(known: membership::Members) -> Self {
        Self {
            known,
            forwarded: membership::Forwarded::default(),
            demand: collections::BTreeMap::new(),
        }
    }

    /// Sets the demand of a node, which last changed at its heartbeat `changed`.
    pub fn set_demand(&mut self, node: &id::Node, changed: u64, rows: link::Demand) {
        self.demand.insert(node.clone(), Published { changed, rows });
    }

    /// Publishes this node's demand if it differs enough from the published one.
    ///
    /// Small changes are not published because each publication is sent to all nodes.
    pub fn publish_demand(&mut self, node: &id::Node, heartbeat: u64, rows: link::Demand) {
        let published = self.demand.get(node).map_or(&[][..], |known| &known.rows);
        if differs_notably(published, &rows) {
            self.set_demand(node, heartbeat, rows);
        }
    }

    /// Demand of an organisation at node `own`, its sum over all nodes that are not dead, and the
    /// number of those.
    pub fn demand(
        &self,
        own: &id::Node,
        organisation: &str,
        now: moment::Moment,
    ) -> (f64, f64, usize) {
        let view = self.known.view(now);
        let of = |node: &id::Node| {
            let rows = self.demand.get(node).map_or(&[][..], |known| &known.rows);
            let row = rows.iter().find(|(name, _)| name.as_str() == organisation);
            row.map_or(0.0, |(_, amount)| f64::from(*amount))
        };
        let present = |node: &&id::Node| view.liveness(node.as_str()) != membership::Liveness::Dead;
        let total = self.demand.keys().filter(present).map(of).sum();
        (of(own), total, view.alive_count().max(1))
    }

    /// The members of a zone in the order of their ids, which digests refer to by position.
    pub fn roster(&self, zone: &str, now: moment::Moment) -> Vec<link::Member> {
        let view = self.known.view(now);
        view.entries()
            .filter(|entry| entry.zone.as_str() == zone)
            .map(|entry| link::Member {
                id: entry.node.clone(),
                boot: entry.boot,
                heartbeat: entry.heartbeat,
                age: entry.age,
                state: if entry.draining {
                    lifecycle::Stage::Draining
                } else {
                    lifecycle::Stage::Ready
                },
                address: entry.address,
                demand: self.demand.get(entry.node).map_or_else(Vec::new, |d| d.rows.clone()),
            })
            .collect()
    }

    /// Borrowed views of a roster, with the heartbeats at which demands last changed.
    pub fn views<'a>(&self, roster: &'a [link::Member]) -> Vec<link::MemberView<'a>> {
        let changed = |node: &id::Node| self.demand.get(node).map_or(0, |known| known.changed);
        let view = |member: &'a link::Member| link::MemberView {
            changed: changed(&member.id),
            ..member.view()
        };
        roster.iter().map(view).collect()
    }

    /// Forgets the demand of nodes that are no longer known.
    pub fn prune(&mut self, now: moment::Moment) {
        let view = self.known.view(now);
        self.demand.retain(|node, _| view.get(node.as_str()).is_some());
    }
}

/// Whether an amount appeared, disappeared, or changed by at least a quarter and at least 2.
fn differs_notably(
    published: &[(id::Organisation, u32)],
    rows: &[(id::Organisation, u32)],
) -> bool {
    let amount = |rows: &[(id::Organisation, u32)], name: &id::Organisation| {
        rows.iter().find(|(known, _)| known == name).map_or(0, |(_, amount)| *amount)
    };
    let names = published.iter().chain(rows).map(|(name, _)| name);
    names.into_iter().any(|name| {
        let (old, new) = (amount(published, name), amount(rows, name));
        let step = old.abs_diff(new);
        (old == 0) != (new == 0) || (step >= 2 && step * 4 >= old.max(new))
    })
}
