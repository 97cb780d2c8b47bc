//! Requests in progress by upstream.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{cost, id};

/// This node's requests in progress; rank 40.
#[derive(Debug, Default)]
pub struct Activity {
    own: collections::HashMap<id::Vm, cost::Work>,
    /// Whether a request has been sent to an upstream.
    begun: bool,
}

impl table::Ranked for Activity {
    const RANK: u16 = 40;
    const NAME: &'static str = "activity";
}

impl Activity {
    /// What the upstream works on, as far as this node knows.
    pub fn of(&self, upstream: &str) -> cost::Work {
        self.own.get(upstream).copied().unwrap_or_default()
    }

    /// Whether a request has been sent to an upstream.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Counts a request with `prompt` tokens.
    pub fn begin(&mut self, upstream: &id::Vm, prompt: u64) {
        let work = self.own.entry(upstream.clone()).or_default();
        self.begun = true;
        work.requests += 1;
        work.unread += prompt;
    }

    /// Notes that the prompt of a request has been read.
    pub fn started(&mut self, upstream: &id::Vm, prompt: u64) {
        if let Some(work) = self.own.get_mut(upstream) {
            work.unread = work.unread.saturating_sub(prompt);
        }
    }

    /// Ends a request; `unread` are the tokens of its prompt that count as not read.
    pub fn end(&mut self, upstream: &id::Vm, unread: u64) {
        let Some(work) = self.own.get_mut(upstream) else { return };
        work.requests = work.requests.saturating_sub(1);
        work.unread = work.unread.saturating_sub(unread);
        if work.requests == 0 {
            self.own.remove(upstream);
        }
    }
}
