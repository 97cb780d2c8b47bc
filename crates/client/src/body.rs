//! Response bodies, each of which owns the connection that carries it.

use std::{future, net, sync};

use corneltrestle_kernel::{
    clock::{self, Clock},
    host, memory,
};
use hyper::body::{self, Body as _};
use tokio::{task, time};

use crate::{
    connection,
    error::{self, Result},
    pool,
};

/// The body of a response. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: body::Incoming,
    /// `None` once the body has ended and the connection was returned to the pool or closed.
    connection: Option<connection::Connection>,
    pool: sync::Arc<pool::Pool>,
    peer: net::SocketAddr,
    framing: Framing,
}

/// The memory of a node for bodies that it keeps for its clients.
#[derive(Clone, Debug)]
pub struct Memory {
    /// The budget of the node.
    pub budget: memory::Budget,
    /// The clock of the node.
    pub clock: clock::System,
}

impl Memory {
    /// The memory of a node.
    pub fn of(host: &host::Host) -> Self {
        Self { budget: host.memory.clone(), clock: host.clock }
    }
}

/// A body with the holding that accounts for it.
struct Held {
    bytes: Vec<u8>,
    holding: memory::Holding,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// How the end of a body is recognised (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its `Content-Length` or its last chunk.
    Delimited,
    /// By the close of the connection, which [`pool::Config::allow_undelimited`] accepts.
    UntilClose,
    /// By the close of the connection, which is rejected since it cannot be told from a
    /// truncation.
    Rejected,
}

impl Body {
    pub(crate) fn new(
        incoming: body::Incoming,
        connection: connection::Connection,
        pool: sync::Arc<pool::Pool>,
        peer: net::SocketAddr,
        framing: Framing,
    ) -> Self {
        Self { incoming, connection: Some(connection), pool, peer, framing }
    }

    /// Whether its end is known from a length or from chunks, and not from the end of its connection.
    pub fn is_delimited(&self) -> bool {
        self.framing == Framing::Delimited
    }

    /// The next data frame of the body, or `None` after its end. Trailers are skipped.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Broken`] when the body is truncated, or ends with the connection although
    /// [`pool::Config::allow_undelimited`] is not set.
    pub async fn chunk(&mut self) -> Result<Option<bytes::Bytes>> {
        loop {
            // A peer may send thousands of small chunks at once; other tasks get their turn between them.
            task::coop::consume_budget().await;
            let Some(connection) = &mut self.connection else { return Ok(None) };
            let incoming = &mut self.incoming;
            match future::poll_fn(|cx| connection.poll_frame(incoming, cx)).await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(e)) => {
                    self.connection = None;
                    return Err(error::Error::after_send(&e));
                }
                None => return self.end().map(|()| None),
            }
        }
    }

    /// Reads the rest of the body, at most `max` bytes.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Malformed`] when it is larger, [`error::Kind::Broken`] when it is truncated or
    /// not complete at `deadline`.
    pub async fn collect(mut self, max: usize, deadline: time::Instant) -> Result<bytes::Bytes> {
        match time::timeout_at(deadline, self.collect_bounded(max)).await {
            Ok(collected) => collected,
            Err(_) => Err(error::Error::new(error::Kind::Broken, "body not complete in time")),
        }
    }

    /// Reads the rest of the body as [`Body::collect`], for a client of a node. With `memory`, the bytes
    /// that are returned count in its budget until the last reference to them is dropped.
    ///
    /// # Errors
    ///
    /// As [`Body::collect`]; [`error::Kind::Malformed`] also when the budget is exhausted.
    pub async fn collect_for_client(
        mut self,
        memory: Option<&Memory>,
        max: usize,
        deadline: time::Instant,
    ) -> Result<bytes::Bytes> {
        let Some(memory) = memory else { return self.collect(max, deadline).await };
        match time::timeout_at(deadline, self.collect_held(memory, max)).await {
            Ok(collected) => collected,
            Err(_) => Err(error::Error::new(error::Kind::Broken, "body not complete in time")),
        }
    }

    /// Copies the frames into one buffer, as a frame may keep a far larger read buffer alive.
    async fn collect_held(&mut self, memory: &Memory, max: usize) -> Result<bytes::Bytes> {
        let malformed = |cause| error::Error::new(error::Kind::Malformed, cause);
        let oversized = || malformed(format!("body larger than {max} bytes"));
        let expected = self.incoming.size_hint();
        if expected.lower() > max as u64 {
            return Err(oversized());
        }
        let now = || memory.clock.now();
        let holding = memory.budget.hold(memory::Caller::NODE, memory::Kind::Answer, now());
        let mut held = Held { bytes: Vec::new(), holding };
        let announced = expected.exact().and_then(|exact| usize::try_from(exact).ok());
        while let Some(next) = self.chunk().await? {
            let size = held.bytes.len() + next.len();
            if size > max {
                return Err(oversized());
            }
            let capacity = held.bytes.capacity();
            if size > capacity {
                let larger = announced.unwrap_or(2 * capacity).clamp(size, max);
                // Both buffers exist while the bytes move.
                held.holding.grow(larger, now()).await.map_err(|e| malformed(e.to_string()))?;
                let mut bytes = Vec::with_capacity(larger);
                bytes.extend_from_slice(&held.bytes);
                held.bytes = bytes;
                held.holding.shrink(capacity);
            }
            held.bytes.extend_from_slice(&next);
        }
        Ok(if held.bytes.is_empty() { bytes::Bytes::new() } else { bytes::Bytes::from_owner(held) })
    }

    /// Returns the connection to the pool when the reader knows from the content that the body is
    /// complete but has not read its end. The connection is used again only if the end of the body
    /// has arrived by then.
    pub fn finish(self) {
        if let Some(connection) = self.connection {
            self.pool.put(self.peer, connection.with_pending_body(Some(self.incoming)));
        }
    }

    async fn collect_bounded(&mut self, max: usize) -> Result<bytes::Bytes> {
        let too_large = |cause| error::Error::new(error::Kind::Malformed, cause);
        let oversized = || too_large(format!("body larger than {max} bytes"));
        if self.incoming.size_hint().lower() > max as u64 {
            return Err(oversized());
        }
        // A body that arrives in one frame is returned without a copy.
        let mut first = bytes::Bytes::new();
        let mut joined = bytes::BytesMut::new();
        let mut held = self.pool.hold(0, max);
        while let Some(next) = self.chunk().await? {
            if first.len() + joined.len() + next.len() > max {
                return Err(oversized());
            }
            match (&mut held, self.pool.hold(next.len(), max)) {
                (Some(held), Some(permit)) => held.merge(permit),
                _ => return Err(too_large("too many bodies are being read".to_owned())),
            }
            if first.is_empty() && joined.is_empty() {
                first = next;
            } else {
                joined.extend_from_slice(&std::mem::take(&mut first));
                joined.extend_from_slice(&next);
            }
        }
        Ok(if joined.is_empty() { first } else { joined.freeze() })
    }

    /// Handles the end of the body: returns the connection to the pool, or closes it.
    fn end(&mut self) -> Result<()> {
        let connection = self.connection.take();
        match (self.framing, connection) {
            (Framing::Rejected, _) => {
                Err(error::Error::new(error::Kind::Broken, "body has no length and is not chunked"))
            }
            (Framing::Delimited, Some(connection)) => {
                self.pool.put(self.peer, connection.with_pending_body(None));
                Ok(())
            }
            _ => Ok(()),
        }
    }
}
