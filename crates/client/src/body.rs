//! Bodies of answers, each with the connection that carries it.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::connection::Connection;
use crate::error::{Error, Kind, Result};
use crate::pool::Pool;

/// The body of an answer. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    /// `None` once the connection was given back.
    connection: Option<Connection>,
    pool: Arc<Pool>,
    peer: SocketAddr,
    /// Whether the end of the body is marked; otherwise a truncated body cannot be recognised.
    delimited: bool,
}

impl Body {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        pool: Arc<Pool>,
        peer: SocketAddr,
        delimited: bool,
    ) -> Self {
        Self { incoming, connection: Some(connection), pool, peer, delimited }
    }

    /// The next part of the body, or `None` after its end. Trailers are skipped.
    ///
    /// # Errors
    ///
    /// [`Kind::Broken`] when the body is truncated, or its end cannot be told from a truncation.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(connection) = &mut self.connection else { return Ok(None) };
            let incoming = &mut self.incoming;
            match poll_fn(|cx| connection.poll_frame(incoming, cx)).await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(e)) => {
                    self.connection = None;
                    return Err(Error::after_send(&e));
                }
                None => return self.end().map(|()| None),
            }
        }
    }

    /// Reads the rest of the body, at most `max` bytes.
    ///
    /// # Errors
    ///
    /// [`Kind::Malformed`] when it is larger, [`Kind::Broken`] when it is truncated or not
    /// complete at `until`.
    pub async fn collect(mut self, max: usize, until: Instant) -> Result<Bytes> {
        match timeout_at(until, self.collect_bounded(max)).await {
            Ok(collected) => collected,
            Err(_) => Err(Error::new(Kind::Broken, "body not complete in time")),
        }
    }

    /// Gives back the connection of an answer that its reader knows to be complete. The connection
    /// is used again only if the end of the body has arrived by then.
    pub fn finish(self) {
        if let Some(connection) = self.connection {
            self.pool.put(self.peer, connection.rest(Some(self.incoming)));
        }
    }

    async fn collect_bounded(&mut self, max: usize) -> Result<Bytes> {
        let oversized = || Error::new(Kind::Malformed, format!("body larger than {max} bytes"));
        if self.incoming.size_hint().lower() > max as u64 {
            return Err(oversized());
        }
        let Some(first) = self.chunk().await? else { return Ok(Bytes::new()) };
        let Some(second) = self.chunk().await? else {
            return if first.len() > max { Err(oversized()) } else { Ok(first) };
        };
        let mut all = BytesMut::from(first);
        all.extend_from_slice(&second);
        while all.len() <= max {
            let Some(next) = self.chunk().await? else { return Ok(all.freeze()) };
            all.extend_from_slice(&next);
        }
        Err(oversized())
    }

    fn end(&mut self) -> Result<()> {
        let connection = self.connection.take();
        if !self.delimited {
            return Err(Error::new(Kind::Broken, "body without length or end mark"));
        }
        if let Some(connection) = connection {
            self.pool.put(self.peer, connection.rest(None));
        }
        Ok(())
    }
}
