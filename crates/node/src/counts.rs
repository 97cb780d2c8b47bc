//! Service-level counts of this node, as sent to other nodes, and their summary over all nodes.

pub mod summary;

use corneltrestle_kernel::clock::Clock;
use corneltrestle_kernel::host;
use corneltrestle_policy::{burn, id};
use corneltrestle_wire::link as wire;

use crate::{identity, tables};

const MS_PER_MINUTE: u64 = 60_000;

/// Minutes that are merged into one row if a reply would be too large. It divides the windows of
/// the summary.
const GROUP_MINUTES: u32 = 5;
/// Minutes of the long window. If a reply would be too large, all older counts form one row.
const HOUR_MINUTES: u32 = 60;

/// This node's counts of the last 24 hours.
///
/// If the counts by minute do not fit in one message, they are merged into groups of five minutes,
/// and into one group for all that is older than an hour. No count is lost.
pub fn reply(
    host: &host::Host,
    identity: &identity::Identity,
    tables: &tables::Tables,
    request: wire::CountsRequest,
) -> wire::CountsReply {
    let now = host.now();
    let current = minute(host);
    let mut rows = Vec::new();
    {
        let burn = tables.burn.lock();
        let pairs =
            burn.counts.totals(now).map(|(service, organisation, _)| (service, organisation));
        for (service, organisation) in pairs {
            let history = burn.counts.history(service.as_str(), organisation.as_str(), now);
            rows.extend(
                history.iter().map(|(age, counts)| row(service, organisation, *age, counts)),
            );
        }
    }
    if rows.len() > wire::MAX_COUNTS {
        rows = merge_minutes(rows);
    }
    for row in &mut rows {
        row.minute = current.saturating_sub(row.minute);
    }
    rows.retain(|row| row.minute >= request.since);
    wire::CountsReply { node: identity.node.clone(), rows }
}

/// The current minute since the Unix epoch.
fn minute(host: &host::Host) -> u32 {
    u32::try_from(host.clock.wall() / MS_PER_MINUTE).unwrap_or(u32::MAX)
}

/// A row whose `minute` still holds the age in minutes.
fn row(
    service: &id::Service,
    organisation: &id::Organisation,
    age: u32,
    counts: &burn::Counts,
) -> wire::Count {
    let (service, organisation) = (service.clone(), organisation.clone());
    wire::Count { service, organisation, minute: age, counts: to_wire(counts) }
}

/// Merges the rows of each service and organisation by group. Rows of the same pair must be
/// adjacent and sorted by age, youngest first.
fn merge_minutes(rows: Vec<wire::Count>) -> Vec<wire::Count> {
    let mut merged: Vec<wire::Count> = Vec::new();
    for mut row in rows {
        row.minute = if row.minute < HOUR_MINUTES {
            row.minute / GROUP_MINUTES * GROUP_MINUTES + GROUP_MINUTES - 1
        } else {
            HOUR_MINUTES
        };
        match merged.last_mut() {
            Some(last)
                if last.minute == row.minute
                    && last.service == row.service
                    && last.organisation == row.organisation =>
            {
                let mut sum = from_wire(&last.counts);
                sum.add(&from_wire(&row.counts));
                last.counts = to_wire(&sum);
            }
            _ => merged.push(row),
        }
    }
    merged
}

fn to_wire(counts: &burn::Counts) -> wire::Counts {
    let ratio = |good, all| wire::Ratio { good, all };
    wire::Counts {
        whole: ratio(counts.whole, counts.requests),
        first_token: ratio(counts.timely_firsts, counts.firsts),
        between_tokens: ratio(counts.timely_gaps, counts.gaps),
        orders: ratio(counts.known_orders, counts.orders),
    }
}

/// Decodes the counts of a row.
pub fn from_wire(counts: &wire::Counts) -> burn::Counts {
    burn::Counts {
        requests: counts.whole.all,
        whole: counts.whole.good,
        firsts: counts.first_token.all,
        timely_firsts: counts.first_token.good,
        gaps: counts.between_tokens.all,
        timely_gaps: counts.between_tokens.good,
        orders: counts.orders.all,
        known_orders: counts.orders.good,
    }
}
