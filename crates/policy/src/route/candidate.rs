//! The view of an upstream that the choice is made from.

use std::time;

use corneltrestle_time::moment;

/// An upstream that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Requests being decoded, by the upstream's latest report.
    pub running: u32,
    /// Requests in the upstream's queue, by the same report.
    pub waiting: u32,
    /// The moment whose state the report describes.
    pub reported: moment::Moment,
    /// When this node dispatched its requests in progress to the upstream, in increasing order.
    pub dispatches: &'a [moment::Moment],
    /// Number of leading blocks of the prompt in the upstream's prefix cache.
    pub cached_blocks: u32,
    /// One-way network latency to the upstream.
    pub latency: time::Duration,
    /// Whether this node may send it one more request, see [`crate::warmup::Warmup::permits`].
    pub permitted: bool,
}

impl Candidate<'_> {
    /// Number of this node's dispatches that the report does not include yet.
    pub fn unreported(&self) -> usize {
        self.dispatches.len() - self.dispatches.partition_point(|sent| *sent <= self.reported)
    }
}
