//! Service-level counts: those of this node, and a reading over all nodes.

pub mod summary;

use corneltrestle_kernel::clock::Clock;
use corneltrestle_kernel::host;
use corneltrestle_policy::{burn, id};
use corneltrestle_wire::link as wire;

use crate::{identity, tables};

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;

/// Minutes of a group in a coarse reply; divides the windows of the report.
const GROUP: u32 = 5;
/// Minutes of the long window; a coarse reply has one row for all that is older.
const HOUR: u32 = 60;

/// This node's counts of the last 24 hours.
///
/// If the counts by minute exceed one message, all rows are merged into groups of five minutes and
/// one group for what is older than an hour, so that no count is left out.
pub fn reply(
    host: &host::Host,
    identity: &identity::Identity,
    tables: &tables::Tables,
    request: wire::CountsRequest,
) -> wire::CountsReply {
    let now = host.now();
    let present = minute(host);
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
        rows = coarse(rows);
    }
    for row in &mut rows {
        row.minute = present.saturating_sub(row.minute);
    }
    rows.retain(|row| row.minute >= request.since);
    wire::CountsReply { node: identity.node.clone(), rows }
}

/// The present minute since the Unix epoch.
fn minute(host: &host::Host) -> u32 {
    u32::try_from(host.clock.wall() / MINUTE_MS).unwrap_or(u32::MAX)
}

/// A row whose minute is still an age.
fn row(
    service: &id::Service,
    organisation: &id::Organisation,
    age: u32,
    counts: &burn::Counts,
) -> wire::Count {
    let (service, organisation) = (service.clone(), organisation.clone());
    wire::Count { service, organisation, minute: age, counts: to_wire(counts) }
}

/// Merges rows of the same pair and group; rows of a pair are neighbours, youngest first.
fn coarse(rows: Vec<wire::Count>) -> Vec<wire::Count> {
    let mut merged: Vec<wire::Count> = Vec::new();
    for mut row in rows {
        row.minute = if row.minute < HOUR { row.minute / GROUP * GROUP + GROUP - 1 } else { HOUR };
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

/// The counts of a row.
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
