//! Service-level counts of this node for reports.

use corneltrestle_kernel::clock::Clock;
use corneltrestle_kernel::host;
use corneltrestle_policy::burn;
use corneltrestle_wire::link as wire;

use crate::{identity, tables};

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;

/// This node's counts of the last hour by minute.
pub fn reply(
    host: &host::Host,
    identity: &identity::Identity,
    tables: &tables::Tables,
    request: wire::CountsRequest,
) -> wire::CountsReply {
    let now = host.now();
    let present = u32::try_from(host.clock.wall() / MINUTE_MS).unwrap_or(u32::MAX);
    let burn = tables.burn.lock();
    let pairs: Vec<_> = burn
        .counts
        .totals(now)
        .map(|(service, organisation, _)| (service.clone(), organisation.clone()))
        .collect();
    let mut rows = Vec::new();
    for (service, organisation) in pairs {
        let minutes = burn.counts.minutes(service.as_str(), organisation.as_str(), now);
        for (age, counts) in (0..).zip(&minutes) {
            let minute = present.saturating_sub(age);
            if minute < request.since || *counts == burn::Counts::default() {
                continue;
            }
            rows.push(wire::Count {
                service: service.clone(),
                organisation: organisation.clone(),
                minute,
                counts: to_wire(counts),
            });
            if rows.len() == wire::MAX_COUNTS {
                break;
            }
        }
    }
    rows.truncate(wire::MAX_COUNTS);
    wire::CountsReply { node: identity.node.clone(), rows }
}

fn to_wire(counts: &burn::Counts) -> wire::Counts {
    let ratio = |good, all| wire::Ratio { good, all };
    wire::Counts {
        whole: ratio(counts.whole, counts.requests),
        first_token: ratio(counts.prompt_firsts, counts.firsts),
        between_tokens: ratio(counts.prompt_gaps, counts.gaps),
        orders: ratio(counts.known_orders, counts.orders),
    }
}

/// The counts of a row.
pub fn from_wire(counts: &wire::Counts) -> burn::Counts {
    burn::Counts {
        requests: counts.whole.all,
        whole: counts.whole.good,
        firsts: counts.first_token.all,
        prompt_firsts: counts.first_token.good,
        gaps: counts.between_tokens.all,
        prompt_gaps: counts.between_tokens.good,
        orders: counts.orders.all,
        known_orders: counts.orders.good,
    }
}
