//! Routes of requests to services.

use std::time;

use rand::Rng;

use crate::id;

/// A route: requests for a host and a path prefix, and the services that they are sent to.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Unique name.
    pub name: id::Route,
    /// Host name that requests must carry, without port; upper and lower case are equal.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether answers are streams, and whether requests may be repeated.
    pub kind: Kind,
    /// Time after which a request fails with a time-out.
    pub timeout: time::Duration,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: time::Duration,
    /// Latency objective for the time between two events of a stream, if there is one.
    #[serde(rename = "pause")]
    pub max_gap: Option<time::Duration>,
    /// Priority, 0 is the highest.
    pub priority: u8,
    /// Services that share its requests by weight; never empty.
    pub split: Vec<Share>,
    /// Maximum number of upstreams on which one request may run.
    #[serde(rename = "attempts")]
    pub attempt_limit: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Regions whose upstreams may serve it; empty for all.
    pub regions: Vec<id::Region>,
}

/// Whether answers are streams, and which requests may be sent to another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An idempotent request, which may be executed more than once.
    Idempotent,
    /// A request that must be executed at most once.
    Once,
    /// A stream of events whose request must be executed at most once.
    Stream,
    /// A stream of events that another upstream can resume after any event.
    ResumableStream,
}

/// A service with its share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Share {
    /// The service.
    pub service: id::Service,
    /// Weight, relative to the sum of the weights of the route.
    pub weight: u32,
}

impl Kind {
    /// Whether a request that may already have been executed may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl Route {
    /// Picks a service at random in proportion to the weights; the first one if all weights are 0.
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
