//! Limits of a server's connections.

use std::time;

/// Multiple of the header limits at which hyper itself gives up. Up to it, the front end answers in
/// its own error form.
const HARD: usize = 4;

/// Least buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Limits of a front end's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time for the header of a request.
    pub header_timeout: time::Duration,
    /// Longest time without a request on a connection.
    pub idle_timeout: time::Duration,
    /// Largest header in bytes.
    pub max_header_bytes: usize,
    /// Most header fields.
    pub max_header_fields: usize,
    /// Most connections at a time; more are refused at once.
    pub max_connections: usize,
    /// Longest time that connections get to finish at shutdown.
    pub drain_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(5),
            max_header_bytes: 32 * 1024,
            max_header_fields: 64,
            max_connections: 4_096,
            drain_timeout: time::Duration::from_secs(30),
        }
    }
}

impl Limits {
    /// Bytes of a header at which the connection is given up without an answer of the front end.
    pub(crate) fn hard_bytes(&self) -> usize {
        (HARD * self.max_header_bytes).max(MIN_BUFFER_BYTES)
    }

    /// Header fields at which the connection is given up without an answer of the front end.
    pub(crate) fn hard_fields(&self) -> usize {
        HARD * self.max_header_fields
    }
}
