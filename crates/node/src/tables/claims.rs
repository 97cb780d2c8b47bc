//! Idempotency claims of this node.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::claim;
use corneltrestle_time::moment;

/// Claims given up before sending that are remembered.
const ABANDONED: usize = 4_096;
/// Claims of processes that are not known that are remembered.
const DOUBTFUL: usize = 4_096;

/// Claims in progress, and those given up; rank 80.
#[derive(Debug, Default)]
pub struct Claims {
    held: collections::HashSet<String>,
    abandoned: collections::VecDeque<String>,
    /// Claims of processes that are not known, with the moments when they were first read.
    doubtful: collections::VecDeque<(String, moment::Moment)>,
    /// Store lease that new claims are attached to.
    pub lease: Option<Lease>,
}

/// A store lease for claims.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// The lease.
    pub id: i64,
    /// When it was granted.
    pub granted: moment::Moment,
}

impl table::Ranked for Claims {
    const RANK: u16 = 80;
    const NAME: &'static str = "claims";
}

impl Claims {
    /// Notes that a claim is in progress here.
    pub fn hold(&mut self, claim: &str) {
        self.held.insert(claim.to_owned());
    }

    /// Notes that a claim has ended here with a recorded outcome.
    pub fn release(&mut self, claim: &str) {
        self.held.remove(claim);
    }

    /// Notes that a claim was given up before sending; its write may still take effect late.
    pub fn abandon(&mut self, claim: &str) {
        self.held.remove(claim);
        if self.abandoned.len() == ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(claim.to_owned());
    }

    /// When this node first read a claim of a process that it does not know.
    pub fn first_read(&mut self, claim: &str, now: moment::Moment) -> moment::Moment {
        if let Some((_, read)) = self.doubtful.iter().find(|(known, _)| known == claim) {
            return *read;
        }
        if self.doubtful.len() == DOUBTFUL {
            self.doubtful.pop_front();
        }
        self.doubtful.push_back((claim.to_owned(), now));
        now
    }

    /// What is known about the holder of a claim that this start of this node made.
    pub fn holder(&self, claim: &str) -> claim::Holder {
        if self.held.contains(claim) {
            claim::Holder::Local
        } else if self.abandoned.iter().any(|given_up| given_up == claim) {
            claim::Holder::Abandoned
        } else {
            claim::Holder::Dead
        }
    }
}
