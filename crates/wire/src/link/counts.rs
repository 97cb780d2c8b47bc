//! Service-level counts: how many requests met the targets of their service, by minute.

use std::collections;

use corneltrestle_policy::id;

use super::{Result, check, error, generated};
use crate::link;

/// Asks a node for its service-level counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountsRequest {
    /// First minute to report, counted from the Unix epoch.
    pub since: u32,
}

/// The service-level counts of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountsReply {
    /// The answering node.
    pub node: id::Node,
    /// At most [`link::MAX_COUNTS`] rows.
    pub rows: Vec<Count>,
}

/// The counts of one service and organisation in one minute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The service that was asked for.
    pub service: id::Service,
    /// The organisation whose requests were counted.
    pub organisation: id::Organisation,
    /// The minute, counted from the Unix epoch.
    pub minute: u32,
    /// Good and all events by target.
    pub counts: Counts,
}

/// Counts by service-level target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests answered completely and within their deadline.
    pub whole: Ratio,
    /// First tokens within the target time.
    pub first_token: Ratio,
    /// Gaps between tokens within the target time.
    pub between_tokens: Ratio,
    /// Orders that ended with a known outcome.
    pub orders: Ratio,
}

/// Number of events that met a target, out of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ratio {
    /// Events that met the target; never more than `all`.
    pub good: u64,
    /// All events, good or not.
    pub all: u64,
}

impl From<CountsRequest> for generated::CountsRequest {
    fn from(request: CountsRequest) -> Self {
        Self { version: link::VERSION, since: request.since }
    }
}

impl From<generated::CountsRequest> for CountsRequest {
    fn from(request: generated::CountsRequest) -> Self {
        Self { since: request.since }
    }
}

/// Collects names so that each is written once in a message; rows refer to it by position.
#[derive(Default)]
struct Names<'a> {
    names: Vec<String>,
    positions: collections::HashMap<&'a str, u32>,
}

impl<'a> Names<'a> {
    fn position(&mut self, name: &'a str) -> u32 {
        let next = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        *self.positions.entry(name).or_insert_with(|| {
            self.names.push(name.to_owned());
            next
        })
    }
}

impl From<CountsReply> for generated::CountsReply {
    fn from(reply: CountsReply) -> Self {
        let mut services = Names::default();
        let mut organisations = Names::default();
        let encode = |row: &'_ Count| {
            let Counts { whole, first_token, between_tokens, orders } = row.counts;
            let ratios = [whole, first_token, between_tokens, orders];
            (row.minute, ratios.iter().flat_map(|ratio| [ratio.good, ratio.all]).collect())
        };
        let mut rows = Vec::with_capacity(reply.rows.len());
        for row in &reply.rows {
            let (minute, counts) = encode(row);
            let service = services.position(row.service.as_str());
            let organisation = organisations.position(row.organisation.as_str());
            rows.push(generated::CountRow { service, organisation, minute, counts });
        }
        Self {
            version: link::VERSION,
            node: reply.node.to_string(),
            services: services.names,
            organisations: organisations.names,
            rows,
        }
    }
}

impl TryFrom<generated::CountsReply> for CountsReply {
    type Error = error::Error;

    fn try_from(reply: generated::CountsReply) -> Result<Self> {
        check::at_most("counts.services", reply.services.len(), link::MAX_ORGANISATIONS)?;
        check::at_most("counts.organisations", reply.organisations.len(), link::MAX_ORGANISATIONS)?;
        let services: Vec<id::Service> = decode_names("counts.services", &reply.services)?;
        let organisations: Vec<id::Organisation> =
            decode_names("counts.organisations", &reply.organisations)?;
        let decode = |row: generated::CountRow| {
            Ok(Count {
                service: name_at("row.service", &services, row.service)?,
                organisation: name_at("row.organisation", &organisations, row.organisation)?,
                minute: row.minute,
                counts: decode_counts(&row.counts)?,
            })
        };
        Ok(Self {
            node: check::name("counts.node", &reply.node)?,
            rows: check::list("counts.rows", reply.rows, link::MAX_COUNTS, decode)?,
        })
    }
}

fn decode_names<'a, T: From<&'a str>>(field: &'static str, texts: &'a [String]) -> Result<Vec<T>> {
    texts.iter().map(|text| check::name(field, text)).collect()
}

fn name_at<T: Clone>(field: &'static str, names: &[T], position: u32) -> Result<T> {
    let found = names.get(position as usize).cloned();
    found.ok_or_else(|| error::Error::invalid(field, "a position in the names of the message"))
}

/// Decodes the pairs of good and all; more than four come from a newer node and are ignored.
fn decode_counts(counts: &[u64]) -> Result<Counts> {
    let (pairs, rest) = counts.as_chunks::<2>();
    check::exactly("row.counts", rest.len(), 0)?;
    let [whole, first, between, orders, ..] = pairs else {
        return Err(error::Error::invalid("row.counts", "four pairs of good and all"));
    };
    let ratio = |[good, all]: &[u64; 2]| {
        let invalid = || error::Error::invalid("row.counts", "no more good ones than all");
        (good <= all).then_some(Ratio { good: *good, all: *all }).ok_or_else(invalid)
    };
    Ok(Counts {
        whole: ratio(whole)?,
        first_token: ratio(first)?,
        between_tokens: ratio(between)?,
        orders: ratio(orders)?,
    })
}
