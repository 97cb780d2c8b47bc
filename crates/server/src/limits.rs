//! Limits on the connections of a server and on the headers of their requests.

use std::time;

use corneltrestle_kernel::host;

/// Hyper's own header limits as a multiple of [`Limits`]. Headers up to this size are parsed, so
/// that the front end can refuse them in its own error format; hyper closes the connection on
/// larger ones.
const HYPER_LIMIT_FACTOR: usize = 4;

/// Smallest buffer size that hyper accepts; it panics on smaller ones.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Default size of the buffers that the system keeps for each socket. It is that of connections to
/// upstreams; with 64 KB, the window on a loopback interface is a single segment.
const SOCKET_BUFFER_BYTES: u32 = 128 * 1024;

/// Limits of one server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for the first request header of a connection to arrive. Later headers get the longer
    /// of this and `idle_timeout`.
    pub header_timeout: time::Duration,
    /// Time that a keep-alive connection stays open without a request.
    pub idle_timeout: time::Duration,
    /// Time for which a client may take none of the bytes that wait for it; after it the connection is
    /// closed.
    pub read_timeout: time::Duration,
    /// Size of a request header in bytes: request target, field names and field values.
    pub max_header_bytes: usize,
    /// Number of fields in a request header.
    pub max_header_fields: usize,
    /// Concurrent connections. Beyond it, the connection that has waited longest for its first request
    /// is closed in favour of a new one; without such a connection the new one is refused at once.
    pub max_connections: usize,
    /// Bytes that the system keeps at most of what a client has sent and the node has not read, and of
    /// what the node has written and the client has not acknowledged; the system doubles both for its
    /// own needs. Without this limit it keeps several MB (`tcp_rmem`, `tcp_wmem`). The value when the
    /// server starts is in force.
    pub socket_buffer: u32,
    /// Whether the clients are operators, whose connections can use the reserved part of the memory
    /// budget.
    pub is_operator: bool,
    /// Time for open connections to finish at shutdown; those still open after it are closed.
    pub drain_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(5),
            read_timeout: time::Duration::from_secs(5),
            max_header_bytes: 32 * 1024,
            max_header_fields: 64,
            max_connections: 4_096,
            socket_buffer: SOCKET_BUFFER_BYTES,
            is_operator: false,
            drain_timeout: time::Duration::from_secs(30),
        }
    }
}

impl Limits {
    /// The default limits, with the drain limit from the settings of the node.
    pub fn of_node(host: &host::Host) -> Self {
        let drain_timeout = host.settings.section("node").duration("drain-limit");
        Self { drain_timeout, ..Self::default() }
    }

    /// Header size in bytes above which hyper closes the connection without the front end.
    pub(crate) fn hyper_header_bytes(&self) -> usize {
        (HYPER_LIMIT_FACTOR * self.max_header_bytes).max(MIN_BUFFER_BYTES)
    }

    /// Number of header fields above which hyper closes the connection without the front end.
    pub(crate) fn hyper_header_fields(&self) -> usize {
        HYPER_LIMIT_FACTOR * self.max_header_fields
    }
}
