//! The summary of the service-level counts of all nodes, rated by the targets of the release.

use std::{collections, net, sync, time};

use corneltrestle_policy::{burn, id, membership, release, vm};
use corneltrestle_wire::link as wire;
use futures_util::StreamExt;

use super::{from_wire, minute, reply};
use crate::{
    link::{self, Link},
    operate::survey,
};

/// Limit of nodes that are asked at the same time.
const MAX_CALLS: usize = 32;
/// Time limit for all nodes; those that have not answered by then are missing from the summary.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Minutes of the long window, which is also the plotted one.
const LONG_MINUTES: usize = 60;
/// Minutes of the short window.
const SHORT_MINUTES: u32 = 5;
/// Minutes that the error budget covers.
const DAY_MINUTES: u32 = 1_440;

/// Names of the targets in the order of [`Row::ratings`].
pub const TARGETS: [&str; 4] = ["whole", "first-token", "between-tokens", "orders"];

/// Counts of all nodes that answered, with their ratings.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Revision of the release that the targets come from.
    pub revision: u64,
    /// Current time in minutes since the Unix epoch.
    pub minute: u32,
    /// The nodes whose counts are included.
    pub nodes: Vec<id::Node>,
    /// The nodes that did not answer; their counts are not included.
    pub missing: Vec<id::Node>,
    /// One row for each service and organisation with counts.
    pub rows: Vec<Row>,
}

/// Counts and ratings of one service and organisation.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Id of the service.
    pub service: id::Service,
    /// Id of the organisation.
    pub organisation: id::Organisation,
    /// Counts in the short window, in the long one and over the day.
    pub totals: burn::Totals,
    /// Ratings of complete responses, first tokens, times between tokens and orders, in the order
    /// of [`TARGETS`].
    pub ratings: [burn::Rating; 4],
    /// The worst verdict of all ratings.
    pub verdict: burn::Verdict,
    /// For each of the last 60 minutes, oldest first, the highest burn rate of any target.
    pub minutes: Vec<f64>,
}

/// Merged counts of a service and organisation.
#[derive(Default)]
struct Merged {
    totals: burn::Totals,
    minutes: collections::BTreeMap<u32, burn::Counts>,
}

type Pairs = collections::BTreeMap<(id::Service, id::Organisation), Merged>;

/// Requests the counts of the last 24 hours from all nodes of all zones and summarises them.
pub async fn read<L: Link>(survey: &survey::Survey<L>) -> Summary {
    let current = minute(&survey.host);
    let request = wire::CountsRequest { since: current.saturating_sub(DAY_MINUTES - 1) };
    let own = &survey.identity.node;
    let mut pairs = Pairs::new();
    merge(&mut pairs, current, &reply(&survey.host, &survey.identity, &survey.tables, request));
    let mut nodes = collections::BTreeSet::from([own.clone()]);
    let others = nodes_to_ask(survey);
    let asked: Vec<_> = others
        .iter()
        .map(|(node, address)| ask(sync::Arc::clone(&survey.link), node.clone(), *address, request))
        .collect();
    let mut replies = futures_util::stream::iter(asked).buffer_unordered(MAX_CALLS);
    let all = async {
        while let Some((node, reply)) = replies.next().await {
            match reply {
                Ok(reply) if reply.node == node => {
                    merge(&mut pairs, current, &reply);
                    nodes.insert(node);
                }
                Ok(reply) => log::warn!("burn: {node} answered as {}", reply.node),
                Err(e) => log::info!("burn: {node} is missing: {e}"),
            }
        }
    };
    let _ = tokio::time::timeout(TIMEOUT, all).await;
    let missing = others.keys().filter(|node| !nodes.contains(*node)).cloned().collect();
    let release = survey.tables.current.load();
    Summary {
        revision: release.revision,
        minute: current,
        missing,
        rows: pairs
            .into_iter()
            .filter_map(|(pair, merged)| rate_row(pair, &merged, &release))
            .collect(),
        nodes: nodes.into_iter().collect(),
    }
}

/// Requests the counts of one node. It owns its arguments, so that many calls can run concurrently.
async fn ask<L: Link>(
    link: sync::Arc<L>,
    node: id::Node,
    address: net::SocketAddr,
    request: wire::CountsRequest,
) -> (id::Node, link::Result<wire::CountsReply>) {
    let reply = link.counts(address, request).await;
    (node, reply)
}

/// The other nodes of all zones: those in the VM list, and those with recent heartbeats.
fn nodes_to_ask<L: Link>(
    survey: &survey::Survey<L>,
) -> collections::BTreeMap<id::Node, net::SocketAddr> {
    let now = survey.host.now();
    let mut nodes: collections::BTreeMap<id::Node, net::SocketAddr> = collections::BTreeMap::new();
    let listed = sync::Arc::clone(&survey.tables.vm_list.lock().vms);
    for entry in listed.iter().filter(|vm| vm.role == vm::Role::Entry) {
        nodes.insert(entry.id.as_str().into(), entry.address);
    }
    let members = survey.tables.members.lock();
    let view = members.known.view(now);
    for entry in view.entries().filter(|entry| entry.age < membership::DEAD_AFTER) {
        nodes.insert(entry.node.clone(), entry.address);
    }
    nodes.remove(&survey.identity.node);
    nodes
}

fn merge(pairs: &mut Pairs, current: u32, reply: &wire::CountsReply) {
    for row in &reply.rows {
        // The clock of another node may be ahead, so its minute may be in the future.
        let age = current.saturating_sub(row.minute);
        if age >= DAY_MINUTES {
            continue;
        }
        let counts = from_wire(&row.counts);
        let pair = (row.service.clone(), row.organisation.clone());
        let merged = pairs.entry(pair).or_default();
        merged.totals.day.add(&counts);
        if age < LONG_MINUTES as u32 {
            merged.totals.long.add(&counts);
            merged.minutes.entry(age).or_default().add(&counts);
        }
        if age < SHORT_MINUTES {
            merged.totals.short.add(&counts);
        }
    }
}

/// The row of a pair; `None` if its service is no longer in the release and so has no targets.
fn rate_row(
    (service, organisation): (id::Service, id::Organisation),
    merged: &Merged,
    release: &release::Release,
) -> Option<Row> {
    let targets = &release.services.get(&service)?.targets;
    let ratings = burn::evaluate(&merged.totals, targets);
    let rate = |age: u32| {
        let short = merged.minutes.get(&age).copied().unwrap_or_default();
        let minute = burn::Totals { short, ..burn::Totals::default() };
        burn::evaluate(&minute, targets).iter().map(|rating| rating.short).fold(0.0, f64::max)
    };
    Some(Row {
        service,
        organisation,
        totals: merged.totals,
        verdict: burn::Verdict::of(&ratings),
        ratings,
        minutes: (0..LONG_MINUTES as u32).rev().map(rate).collect(),
    })
}
