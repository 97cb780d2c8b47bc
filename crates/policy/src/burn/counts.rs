//! Numbers of events and of those that met their service-level target.

use std::time;

use crate::release;

/// Numbers of requests, first tokens, gaps and orders, and of those that met their target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Counts {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that got a complete response within their deadline.
    pub whole: u64,
    /// Streams that were due a first token, whether it came or not.
    pub firsts: u64,
    /// First tokens within [`release::Targets::first_token`].
    #[serde(rename = "prompt-firsts")]
    pub timely_firsts: u64,
    /// Gaps, that is, times between two tokens of a stream.
    pub gaps: u64,
    /// Gaps within [`release::Targets::between_tokens`].
    #[serde(rename = "prompt-gaps")]
    pub timely_gaps: u64,
    /// Orders (calls that are not repeatable) that ended.
    pub orders: u64,
    /// Orders of which it is known whether they ran.
    pub known_orders: u64,
}

impl Counts {
    /// Counts the end of a request; `whole` if it got a complete response within its deadline.
    pub fn request(&mut self, whole: bool) {
        self.requests += 1;
        self.whole += u64::from(whole);
    }

    /// Counts a first token that came after `taken`; `None` if it never came.
    pub fn first_token(&mut self, taken: Option<time::Duration>, targets: &release::Targets) {
        self.firsts += 1;
        self.timely_firsts += u64::from(taken.is_some_and(|taken| taken <= targets.first_token));
    }

    /// Counts a gap of length `taken` between two tokens.
    pub fn gap(&mut self, taken: time::Duration, targets: &release::Targets) {
        self.gaps += 1;
        self.timely_gaps += u64::from(taken <= targets.between_tokens);
    }

    /// Counts the end of an order; `known` if it is known whether it ran.
    pub fn order(&mut self, known: bool) {
        self.orders += 1;
        self.known_orders += u64::from(known);
    }

    /// Adds `other` to these counts.
    pub fn add(&mut self, other: &Counts) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.firsts += other.firsts;
        self.timely_firsts += other.timely_firsts;
        self.gaps += other.gaps;
        self.timely_gaps += other.timely_gaps;
        self.orders += other.orders;
        self.known_orders += other.known_orders;
    }

    /// Subtracts counts that these include.
    pub(super) fn subtract(&mut self, part: &Counts) {
        self.requests = self.requests.saturating_sub(part.requests);
        self.whole = self.whole.saturating_sub(part.whole);
        self.firsts = self.firsts.saturating_sub(part.firsts);
        self.timely_firsts = self.timely_firsts.saturating_sub(part.timely_firsts);
        self.gaps = self.gaps.saturating_sub(part.gaps);
        self.timely_gaps = self.timely_gaps.saturating_sub(part.timely_gaps);
        self.orders = self.orders.saturating_sub(part.orders);
        self.known_orders = self.known_orders.saturating_sub(part.known_orders);
    }
}
