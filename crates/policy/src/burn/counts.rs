//! Counts against service-level targets.

use std::time;

use crate::release;

/// Numbers of requests and of those that met their target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Counts {
    /// Requests that ended.
    pub requests: u64,
    /// Requests answered whole and within their deadline.
    pub whole: u64,
    /// First tokens due.
    pub firsts: u64,
    /// First tokens on time.
    pub prompt_firsts: u64,
    /// Times between tokens.
    pub gaps: u64,
    /// Times between tokens within the target.
    pub prompt_gaps: u64,
    /// Orders that ended.
    pub orders: u64,
    /// Orders that ended with a known outcome.
    pub known_orders: u64,
}

impl Counts {
    /// Counts the end of a request.
    pub fn request(&mut self, whole: bool) {
        self.requests += 1;
        self.whole += u64::from(whole);
    }

    /// Counts a first token that came after `taken`, or never.
    pub fn first_token(&mut self, taken: Option<time::Duration>, targets: &release::Targets) {
        self.firsts += 1;
        self.prompt_firsts += u64::from(taken.is_some_and(|taken| taken <= targets.first_token));
    }

    /// Counts the time between two tokens.
    pub fn gap(&mut self, taken: time::Duration, targets: &release::Targets) {
        self.gaps += 1;
        self.prompt_gaps += u64::from(taken <= targets.between_tokens);
    }

    /// Counts the end of an order.
    pub fn order(&mut self, known: bool) {
        self.orders += 1;
        self.known_orders += u64::from(known);
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Counts) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.firsts += other.firsts;
        self.prompt_firsts += other.prompt_firsts;
        self.gaps += other.gaps;
        self.prompt_gaps += other.prompt_gaps;
        self.orders += other.orders;
        self.known_orders += other.known_orders;
    }

    /// Takes away counts that are a part of these.
    pub(super) fn subtract(&mut self, part: &Counts) {
        self.requests = self.requests.saturating_sub(part.requests);
        self.whole = self.whole.saturating_sub(part.whole);
        self.firsts = self.firsts.saturating_sub(part.firsts);
        self.prompt_firsts = self.prompt_firsts.saturating_sub(part.prompt_firsts);
        self.gaps = self.gaps.saturating_sub(part.gaps);
        self.prompt_gaps = self.prompt_gaps.saturating_sub(part.prompt_gaps);
        self.orders = self.orders.saturating_sub(part.orders);
        self.known_orders = self.known_orders.saturating_sub(part.known_orders);
    }
}
