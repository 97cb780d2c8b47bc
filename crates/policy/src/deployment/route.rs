//! Routes of requests to services.

use std::time;

use rand::Rng;

use crate::id;

/// A route.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Name, unique.
    pub name: id::Route,
    /// Host that requests name.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may take.
    pub timeout: time::Duration,
    /// Time within which the answer, or the first event of a stream, is on time.
    pub objective: time::Duration,
    /// Longest pause between two events of a stream that is on time.
    #[serde(rename = "pause")]
    pub max_gap: Option<time::Duration>,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Services that serve it, with their weights; never empty.
    pub split: Vec<Share>,
    /// Most upstreams at which one request may run.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions whose upstreams may serve it; empty for all.
    pub regions: Vec<id::Region>,
}

/// What of a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An idempotent request, which may run more than once.
    Idempotent,
    /// A request that may run once at most.
    Once,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that another upstream may resume after any event.
    ResumableStream,
}

/// A service with its part of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Share {
    /// The service.
    pub service: id::Service,
    /// Its weight against those of the other services of the route.
    pub weight: u32,
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl Route {
    /// Draws the service of a request in proportion to the weights.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&id::Service> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.split.first().map(|share| &share.service);
        }
        let mut left = rng.random_range(0..total);
        self.split.iter().find_map(|share| {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
            None
        })
    }
}
