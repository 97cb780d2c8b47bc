//! Claims of idempotency keys, as far as this process knows about them.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::claim;
use corneltrestle_time::moment;

/// Limit of remembered claims that were given up before sending.
const MAX_ABANDONED: usize = 4_096;
/// Limit of remembered claims whose process is not a known member.
const MAX_UNKNOWN: usize = 4_096;

/// Claims in progress and claims given up; rank 80.
#[derive(Debug, Default)]
pub struct Claims {
    held: collections::HashSet<String>,
    abandoned: collections::VecDeque<String>,
    /// Claims whose process is not a known member, with the time when this node first read them.
    unknown: collections::VecDeque<(String, moment::Moment)>,
    /// Store lease that new claims are attached to, so that the store deletes them when it expires.
    pub lease: Option<Lease>,
}

/// A store lease for claims.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Id of the lease in the store.
    pub id: i64,
    /// When it was granted.
    pub granted_at: moment::Moment,
}

impl table::Ranked for Claims {
    const RANK: u16 = 80;
    const NAME: &'static str = "claims";
}

impl Claims {
    /// Records that a claim is in progress in this process.
    pub fn hold(&mut self, claim: &str) {
        self.held.insert(claim.to_owned());
    }

    /// Records that a claim of this process has ended.
    pub fn release(&mut self, claim: &str) {
        self.held.remove(claim);
    }

    /// Records that a claim was given up before sending; its write may still take effect later.
    pub fn abandon(&mut self, claim: &str) {
        self.held.remove(claim);
        if self.abandoned.len() == MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(claim.to_owned());
    }

    /// When this node first read a claim whose process is not a known member: `now` if just now.
    pub fn first_read(&mut self, claim: &str, now: moment::Moment) -> moment::Moment {
        if let Some((_, read)) = self.unknown.iter().find(|(known, _)| known == claim) {
            return *read;
        }
        if self.unknown.len() == MAX_UNKNOWN {
            self.unknown.pop_front();
        }
        self.unknown.push_back((claim.to_owned(), now));
        now
    }

    /// The state of a claim that this process has made.
    pub fn holder(&self, claim: &str) -> claim::Holder {
        if self.held.contains(claim) {
            claim::Holder::Local
        } else if self.abandoned.iter().any(|abandoned| abandoned == claim) {
            claim::Holder::Abandoned
        } else {
            claim::Holder::Dead
        }
    }
}
