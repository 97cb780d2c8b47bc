//! Bodies of answers, each with the connection that carries it.

use std::{future, net, sync};

use hyper::body::{self, Body as _};
use tokio::time;

use crate::{
    connection,
    error::{self, Result},
    pool,
};

/// The body of an answer. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: body::Incoming,
    /// `None` once the connection was given back.
    connection: Option<connection::Connection>,
    pool: sync::Arc<pool::Pool>,
    peer: net::SocketAddr,
    end: End,
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// By its length or its last chunk.
    Marked,
    /// By the end of its connection.
    Close,
    /// Not at all: a truncated body cannot be recognised.
    Unknown,
}

impl Body {
    pub(crate) fn new(
        incoming: body::Incoming,
        connection: connection::Connection,
        pool: sync::Arc<pool::Pool>,
        peer: net::SocketAddr,
        end: End,
    ) -> Self {
        Self { incoming, connection: Some(connection), pool, peer, end }
    }

    /// The next part of the body, or `None` after its end. Trailers are skipped.
    ///
    /// # Errors
    ///
    /// [`error::Kind::Broken`] when the body is truncated, or its end cannot be told from a truncation.
    pub async fn chunk(&mut self) -> Result<Option<bytes::Bytes>> {
        loop {
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
    /// [`error::Kind::Malformed`] when it is larger, [`error::Kind::Broken`] when it is truncated or not
    /// complete at `until`.
    pub async fn collect(mut self, max: usize, until: time::Instant) -> Result<bytes::Bytes> {
        match time::timeout_at(until, self.collect_bounded(max)).await {
            Ok(collected) => collected,
            Err(_) => Err(error::Error::new(error::Kind::Broken, "body not complete in time")),
        }
    }

    /// Gives back the connection of an answer that its reader knows to be complete. The connection
    /// is used again only if the end of the body has arrived by then.
    pub fn finish(self) {
        if let Some(connection) = self.connection {
            self.pool.put(self.peer, connection.rest(Some(self.incoming)));
        }
    }

    async fn collect_bounded(&mut self, max: usize) -> Result<bytes::Bytes> {
        let oversized =
            || error::Error::new(error::Kind::Malformed, format!("body larger than {max} bytes"));
        if self.incoming.size_hint().lower() > max as u64 {
            return Err(oversized());
        }
        let Some(first) = self.chunk().await? else { return Ok(bytes::Bytes::new()) };
        let Some(second) = self.chunk().await? else {
            return if first.len() > max { Err(oversized()) } else { Ok(first) };
        };
        let mut all = bytes::BytesMut::from(first);
        all.extend_from_slice(&second);
        while all.len() <= max {
            let Some(next) = self.chunk().await? else { return Ok(all.freeze()) };
            all.extend_from_slice(&next);
        }
        Err(oversized())
    }

    fn end(&mut self) -> Result<()> {
        let connection = self.connection.take();
        match (self.end, connection) {
            (End::Unknown, _) => {
                Err(error::Error::new(error::Kind::Broken, "body without length or end mark"))
            }
            (End::Marked, Some(connection)) => {
                self.pool.put(self.peer, connection.rest(None));
                Ok(())
            }
            _ => Ok(()),
        }
    }
}
