//! Upstreams to choose from.

use std::time;

use corneltrestle_time::moment;

/// An upstream that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Requests being decoded, by its report.
    pub running: u32,
    /// Requests waiting, by its report.
    pub waiting: u32,
    /// The moment that the report describes.
    pub reported: moment::Moment,
    /// Moments of this node's dispatches to it that are in progress, in increasing order.
    pub dispatches: &'a [moment::Moment],
    /// Leading blocks of the prompt that its prefix cache holds.
    pub cached_blocks: u32,
    /// Network latency one way.
    pub latency: time::Duration,
    /// Whether its warm-up level allows this node one more request.
    pub permitted: bool,
}

impl Candidate<'_> {
    /// Own dispatches that the report does not include.
    pub fn unreported(&self) -> usize {
        self.dispatches.len() - self.dispatches.partition_point(|sent| *sent <= self.reported)
    }
}
