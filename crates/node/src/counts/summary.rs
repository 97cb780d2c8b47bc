//! The counts of all nodes against the targets of the release.

use std::{collections, net, sync, time};

use corneltrestle_policy::{burn, id, membership, release, vm};
use corneltrestle_wire::link as wire;
use futures_util::StreamExt;

use super::{from_wire, minute, reply};
use crate::{
    link::{self, Link},
    operate::survey,
};

/// Nodes that are asked at a time.
const CALLS: usize = 32;
/// Longest time for all nodes; those that have not answered by then are missing.
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Minutes of the plotted window, which is the long one.
const MINUTES: usize = 60;
/// Minutes of the short window.
const SHORT: u32 = 5;
/// Minutes that the error budget covers.
const DAY: u32 = 1_440;

/// Names of the targets in the order of [`Row::ratings`].
pub const TARGETS: [&str; 4] = ["whole", "first-token", "between-tokens", "orders"];

/// Counts of all nodes that answered, judged.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Revision of the release that the targets come from.
    pub revision: u64,
    /// Present minute since the Unix epoch.
    pub minute: u32,
    /// The nodes whose counts are in the reading.
    pub nodes: Vec<id::Node>,
    /// The nodes that did not answer; their counts are missing.
    pub missing: Vec<id::Node>,
    /// Each service and organisation with counts.
    pub rows: Vec<Row>,
}

/// One service and organisation.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// The service.
    pub service: id::Service,
    /// The organisation.
    pub organisation: id::Organisation,
    /// Counts over the windows.
    pub totals: burn::Totals,
    /// Whole answers, first tokens, times between tokens and orders.
    pub ratings: [burn::Rating; 4],
    /// The worst verdict.
    pub verdict: burn::Verdict,
    /// Highest burn rate over all targets of each of the last 60 minutes, oldest first.
    pub minutes: Vec<f64>,
}

/// Counts of a pair while they are merged.
#[derive(Default)]
struct Merged {
    totals: burn::Totals,
    minutes: collections::BTreeMap<u32, burn::Counts>,
}

type Pairs = collections::BTreeMap<(id::Service, id::Organisation), Merged>;

/// Asks all nodes of all zones for their counts of the last 24 hours.
pub async fn read<L: Link>(survey: &survey::Survey<L>) -> Summary {
    let present = minute(&survey.host);
    let request = wire::CountsRequest { since: present.saturating_sub(DAY - 1) };
    let own = &survey.identity.node;
    let mut pairs = Pairs::new();
    merge(&mut pairs, present, &reply(&survey.host, &survey.identity, &survey.tables, request));
    let mut nodes = collections::BTreeSet::from([own.clone()]);
    let others = nodes_to_ask(survey);
    let asked: Vec<_> = others
        .iter()
        .map(|(node, address)| ask(sync::Arc::clone(&survey.link), node.clone(), *address, request))
        .collect();
    let mut replies = futures_util::stream::iter(asked).buffer_unordered(CALLS);
    let all = async {
        while let Some((node, reply)) = replies.next().await {
            match reply {
                Ok(reply) if reply.node == node => {
                    merge(&mut pairs, present, &reply);
                    nodes.insert(node);
                }
                Ok(reply) => log::warn!("burn: {node} answered as {}", reply.node),
                Err(e) => log::info!("burn: {node} is missing: {e}"),
            }
        }
    };
    let _ = tokio::time::timeout(LIMIT, all).await;
    let missing = others.keys().filter(|node| !nodes.contains(*node)).cloned().collect();
    let release = survey.tables.current.load();
    Summary {
        revision: release.revision,
        minute: present,
        missing,
        rows: pairs
            .into_iter()
            .filter_map(|(pair, merged)| judge(pair, &merged, &release))
            .collect(),
        nodes: nodes.into_iter().collect(),
    }
}

/// The counts of one node, with its name; owns what it uses, so that many can run at a time.
async fn ask<L: Link>(
    link: sync::Arc<L>,
    node: id::Node,
    address: net::SocketAddr,
    request: wire::CountsRequest,
) -> (id::Node, link::Result<wire::CountsReply>) {
    let reply = link.counts(address, request).await;
    (node, reply)
}

/// The other nodes of all zones: those in the VM list, and those whose heartbeats arrive.
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

fn merge(pairs: &mut Pairs, present: u32, reply: &wire::CountsReply) {
    for row in &reply.rows {
        // The clock of another node may be ahead.
        let age = present.saturating_sub(row.minute);
        if age >= DAY {
            continue;
        }
        let counts = from_wire(&row.counts);
        let pair = (row.service.clone(), row.organisation.clone());
        let merged = pairs.entry(pair).or_default();
        merged.totals.day.add(&counts);
        if age < MINUTES as u32 {
            merged.totals.long.add(&counts);
            merged.minutes.entry(age).or_default().add(&counts);
        }
        if age < SHORT {
            merged.totals.short.add(&counts);
        }
    }
}

/// The row of a pair; none if its service has been withdrawn and so has no targets.
fn judge(
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
        minutes: (0..MINUTES as u32).rev().map(rate).collect(),
    })
}
