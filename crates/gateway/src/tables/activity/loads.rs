//! Loads that other nodes report: each node of the own zone for itself, one node of each other zone
//! for that zone, and a hub of the own zone for all nodes.

use std::{collections, time};

use corneltrestle_policy::{cost, id, retry::fleet};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

use super::{aged, saturating_millis, work};

/// Age after which a load no longer counts.
const MAX_AGE: time::Duration = time::Duration::from_secs(4);

/// Age after which the load of a single node, or the sum of a hub, is no longer passed on or
/// preferred. Both are sent several times in this time.
const MAX_FRESH_AGE: time::Duration = time::Duration::from_millis(600);

/// Who reports a load, and for which nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reporter {
    /// A node of the own zone, for itself.
    Node(id::Node),
    /// A hub of the own zone, for all nodes of all zones but this one.
    Hub(id::Node),
    /// A node of another zone, for all nodes of that zone.
    Zone(id::Zone),
}

/// The latest loads by reporter.
#[derive(Debug, Default)]
pub(super) struct Loads {
    latest: collections::HashMap<Reporter, Load>,
    /// The hub whose sum counts; `None` if the loads of single nodes and of other zones count.
    hub: Option<id::Node>,
    /// Sums over the loads of single nodes and of other zones.
    own_total: Total,
    /// The sum of the hub.
    hub_total: Total,
}

/// The latest load of a reporter.
#[derive(Debug)]
struct Load {
    boot: u64,
    sequence: u64,
    at: moment::Moment,
    reported: mesh::Load,
}

/// Work by [`mesh::hash`] of the upstream's id.
#[derive(Debug, Default)]
struct Total(collections::HashMap<u32, cost::Work>);

impl Total {
    fn add(&mut self, rows: &[mesh::Row]) {
        for row in rows {
            self.0.entry(row.upstream).or_default().add(&work(row));
        }
    }

    fn subtract(&mut self, rows: &[mesh::Row]) {
        for row in rows {
            let Some(sum) = self.0.get_mut(&row.upstream) else { continue };
            sum.subtract(&work(row));
            if sum.requests == 0 {
                self.0.remove(&row.upstream);
            }
        }
    }
}

impl Loads {
    /// Stores a load, unless a later one of the same process is known. `latest` are the boot
    /// identifier and sequence number of its datagram.
    pub(super) fn update(
        &mut self,
        reporter: &Reporter,
        latest: (u64, u64),
        reported: &mesh::Load,
        now: moment::Moment,
    ) -> bool {
        let (boot, sequence) = latest;
        let known = self.latest.get(reporter);
        if known.is_some_and(|known| known.boot == boot && known.sequence >= sequence) {
            return false;
        }
        let load = Load { boot, sequence, at: now, reported: reported.clone() };
        let old = self.latest.insert(reporter.clone(), load);
        if matches!(reporter, Reporter::Hub(_)) {
            self.select_hub(now);
            return true;
        }
        self.own_total.add(&reported.rows);
        if let Some(old) = old {
            self.own_total.subtract(&old.reported.rows);
        }
        true
    }

    /// Removes loads that are too old.
    pub(super) fn prune(&mut self, now: moment::Moment) {
        let total = &mut self.own_total;
        self.latest.retain(|reporter, load| {
            let is_kept = now.since(load.at) <= MAX_AGE;
            if !is_kept && !matches!(reporter, Reporter::Hub(_)) {
                total.subtract(&load.reported.rows);
            }
            is_kept
        });
        self.select_hub(now);
    }

    /// Selects the hub whose sum covers most nodes, if these are more than those that report
    /// themselves and those of the other zones.
    fn select_hub(&mut self, now: moment::Moment) {
        let hubs = self.latest.iter().filter_map(|(reporter, load)| match reporter {
            Reporter::Hub(hub) if now.since(load.at) <= MAX_FRESH_AGE => Some((hub, load)),
            _ => None,
        });
        let best = hubs.max_by_key(|(_, load)| (load.reported.nodes, load.at));
        let without = self.single().filter(|load| now.since(load.at) <= MAX_FRESH_AGE);
        let without: u32 = without.map(|load| load.reported.nodes.max(1)).sum();
        let best = best.filter(|(_, load)| load.reported.nodes > without);
        self.hub_total.0.clear();
        if let Some((_, load)) = best {
            self.hub_total.add(&load.reported.rows);
        }
        self.hub = best.map(|(hub, _)| hub.clone());
    }

    /// Work that other nodes have in progress at an upstream.
    pub(super) fn work(&self, upstream: &str) -> cost::Work {
        let total = if self.hub.is_some() { &self.hub_total } else { &self.own_total };
        total.0.get(&mesh::hash(upstream)).copied().unwrap_or_default()
    }

    /// Time of the latest event that another node received from an upstream.
    pub(super) fn progress(&self, upstream: &str) -> Option<moment::Moment> {
        let hash = mesh::hash(upstream);
        let rows = self.counting().flat_map(|load| {
            let rows = load.reported.rows.iter();
            rows.filter(|row| row.upstream == hash && row.event_age > 0).map(|row| {
                load.at.before(time::Duration::from_millis(u64::from(row.event_age - 1)))
            })
        });
        rows.max()
    }

    /// What is known of the requests and retries of the other nodes for a service, by loads of at most
    /// `max_age`.
    pub(super) fn usage(
        &self,
        service: &str,
        max_age: time::Duration,
        now: moment::Moment,
    ) -> fleet::Peers {
        let hash = mesh::hash(service);
        let mut peers = fleet::Peers::default();
        for load in self.counting() {
            if now.since(load.at) > max_age {
                continue;
            }
            peers.known += usize::try_from(load.reported.nodes.max(1)).unwrap_or(1);
            for row in load.reported.usage.iter().filter(|row| row.service == hash) {
                peers.usage.requests += row.requests;
                peers.usage.extra += row.extra;
            }
        }
        peers
    }

    /// Sum of `own`, the load of this node, and the loads of the own zone's other nodes; of all
    /// zones if `includes_zones`.
    ///
    /// The sums of hubs are left out: two hubs that passed on each other's sum would never forget a
    /// request.
    pub(super) fn sum(
        &self,
        own: &mesh::Load,
        includes_zones: bool,
        now: moment::Moment,
    ) -> mesh::Load {
        let included = self.latest.iter().filter(|(reporter, load)| match reporter {
            Reporter::Node(_) => now.since(load.at) <= MAX_FRESH_AGE,
            Reporter::Zone(_) => includes_zones,
            Reporter::Hub(_) => false,
        });
        let mut sum = Sum::default();
        sum.add(own, time::Duration::ZERO);
        included.for_each(|(_, load)| sum.add(&load.reported, now.since(load.at)));
        sum.finish()
    }

    /// The sum without the load of one node of the own zone.
    pub(super) fn without(&self, sum: &mesh::Load, node: &id::Node) -> mesh::Load {
        let mut rest = sum.clone();
        let Some(load) = self.latest.get(&Reporter::Node(node.clone())) else { return rest };
        rest.nodes = rest.nodes.saturating_sub(1);
        for row in &load.reported.rows {
            if let Some(sum) = rest.rows.iter_mut().find(|sum| sum.upstream == row.upstream) {
                sum.requests = sum.requests.saturating_sub(row.requests);
                sum.unread = sum.unread.saturating_sub(row.unread);
                sum.late = sum.late.saturating_sub(row.late);
                sum.late_unread = sum.late_unread.saturating_sub(row.late_unread);
            }
        }
        for row in &load.reported.usage {
            if let Some(sum) = rest.usage.iter_mut().find(|sum| sum.service == row.service) {
                sum.requests = sum.requests.saturating_sub(row.requests);
                sum.extra = sum.extra.saturating_sub(row.extra);
            }
        }
        rest
    }

    /// The loads that count: the sum of a hub, or those of single nodes and of other zones.
    fn counting(&self) -> impl Iterator<Item = &Load> {
        self.latest.iter().filter_map(|(reporter, load)| {
            let counts = match (reporter, &self.hub) {
                (Reporter::Hub(hub), Some(selected)) => hub == selected,
                (Reporter::Hub(_), None) => false,
                (_, selected) => selected.is_none(),
            };
            counts.then_some(load)
        })
    }

    /// The loads of single nodes and of other zones.
    fn single(&self) -> impl Iterator<Item = &Load> {
        let all = self.latest.iter();
        all.filter_map(|(reporter, load)| (!matches!(reporter, Reporter::Hub(_))).then_some(load))
    }

    /// Age in milliseconds of the oldest load of the own zone that counts; `None` without any.
    pub(super) fn view_age(&self, now: moment::Moment) -> Option<u32> {
        let of_zone = self.latest.iter().filter(|(reporter, _)| match (reporter, &self.hub) {
            (Reporter::Hub(hub), Some(selected)) => hub == selected,
            (Reporter::Node(_), None) => true,
            _ => false,
        });
        of_zone.map(|(_, load)| saturating_millis(now.since(load.at))).max()
    }
}

/// A sum of loads.
#[derive(Default)]
struct Sum {
    nodes: u32,
    rows: collections::HashMap<u32, mesh::Row>,
    usage: collections::BTreeMap<u32, mesh::Usage>,
}

impl Sum {
    /// Adds a load that was reported `age` ago.
    fn add(&mut self, load: &mesh::Load, age: time::Duration) {
        self.nodes += load.nodes.max(1);
        for row in &load.rows {
            let row = aged(row, age);
            let sum = self.rows.entry(row.upstream).or_default();
            sum.upstream = row.upstream;
            sum.event_age = match (sum.event_age, row.event_age) {
                (0, event_age) | (event_age, 0) => event_age,
                (one, other) => one.min(other),
            };
            sum.requests += row.requests;
            sum.unread = sum.unread.saturating_add(row.unread);
            sum.late += row.late;
            sum.late_unread = sum.late_unread.saturating_add(row.late_unread);
        }
        for row in &load.usage {
            let sum = self.usage.entry(row.service).or_default();
            sum.service = row.service;
            sum.requests += row.requests;
            sum.extra += row.extra;
        }
    }

    /// The upstreams with most requests come first, as a datagram may not hold all of them.
    fn finish(self) -> mesh::Load {
        let mut rows: Vec<_> = self.rows.into_values().collect();
        rows.sort_unstable_by_key(|row| (std::cmp::Reverse(row.requests), row.upstream));
        mesh::Load { nodes: self.nodes, rows, usage: self.usage.into_values().collect() }
    }
}
