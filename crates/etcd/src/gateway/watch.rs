//! Watches on a key, each a streaming call that the gateway answers with one JSON message per line.

use std::{collections, time};

use corneltrestle_client::{body, pool};
use tokio::time::timeout;

use super::{Endpoint, MAX_RESPONSE_BYTES, message, request};
use corneltrestle_infra::store::{self, Result, Watch};

/// An open watch. It holds its limiter permit until it is dropped.
#[derive(Debug)]
pub struct EtcdWatch<P> {
    endpoint: Endpoint,
    /// The response body; `None` after an error.
    body: Option<body::Body>,
    /// Bytes received and not yet decoded; the last message may be incomplete.
    buffer: bytes::BytesMut,
    /// Length of the start of `buffer` that is known to contain no line feed.
    scanned: usize,
    events: collections::VecDeque<store::Event>,
    progress_timeout: time::Duration,
    _permit: P,
}

/// Starts a watch on `key` and returns the response body, on which its messages arrive. `again` gives
/// the permit to ask twice for it.
pub(super) async fn open<P, F: Future<Output = Option<P>>>(
    endpoint: &Endpoint,
    key: &str,
    start_revision: message::Int64,
    again: impl FnOnce() -> F,
) -> Result<body::Body> {
    let failed = |e| endpoint.failed("watch", e);
    let deadline = pool::deadline_after(endpoint.timeout);
    let key = message::Base64(key.as_bytes());
    let create_request = message::CreateWatch { key, start_revision, progress_notify: true };
    let request = request("/v3/watch", &message::Watch { create_request }).map_err(failed)?;
    let sent = endpoint.pool.send_repeatable(endpoint.peer, request, endpoint.timeout, again);
    let (head, body) = sent.await.map_err(failed)?.into_parts();
    if head.status == hyper::StatusCode::OK {
        return Ok(body);
    }
    let text = body.collect(MAX_RESPONSE_BYTES, deadline).await.map_err(failed)?;
    let failure: message::Failure = serde_json::from_slice(&text).unwrap_or_default();
    Err(endpoint.refused("watch", head.status.as_u16(), &failure.message))
}

impl<P> EtcdWatch<P> {
    /// A watch on an open stream. `changed` is a change that was read before the stream was opened;
    /// it is the first event.
    pub(super) fn new(
        endpoint: Endpoint,
        body: body::Body,
        progress_timeout: time::Duration,
        changed: Option<Option<store::Versioned>>,
        permit: P,
    ) -> Self {
        Self {
            endpoint,
            body: Some(body),
            buffer: bytes::BytesMut::new(),
            scanned: 0,
            events: changed.map(store::Event::Changed).into_iter().collect(),
            progress_timeout,
            _permit: permit,
        }
    }

    /// Waits for the next complete message and queues its events. A message without events is
    /// progress.
    async fn receive(&mut self) -> Result<()> {
        let line = self.line().await?;
        let response =
            self.endpoint.decode::<message::Streamed<message::WatchResponse>>("watch", &line)?;
        let response = self.endpoint.stream_result("watch", response)?;
        if response.canceled {
            return Err(self.endpoint.error(store::Kind::Refused, "watch", response.cancel_reason));
        }
        self.events.extend(response.events.into_iter().map(store::Event::from));
        if self.events.is_empty() {
            self.events.push_back(store::Event::Progress);
        }
        Ok(())
    }

    /// Waits for the next complete message; the gateway ends each with a line feed.
    async fn line(&mut self) -> Result<bytes::Bytes> {
        loop {
            if let Some(offset) = self.buffer[self.scanned..].iter().position(|byte| *byte == b'\n')
            {
                let line = self.buffer.split_to(self.scanned + offset + 1).freeze();
                self.scanned = 0;
                if !line.trim_ascii().is_empty() {
                    return Ok(line);
                }
                continue;
            }
            self.scanned = self.buffer.len();
            if self.buffer.len() > MAX_RESPONSE_BYTES {
                let cause = format!("message larger than {MAX_RESPONSE_BYTES} bytes");
                return Err(self.endpoint.error(store::Kind::Malformed, "watch", cause));
            }
            let chunk = match &mut self.body {
                Some(body) => body.chunk().await.map_err(|e| self.endpoint.failed("watch", e))?,
                None => None,
            };
            let ended = || {
                self.endpoint.error(store::Kind::Unknown, "watch", "the watch has ended".to_owned())
            };
            self.buffer.extend_from_slice(&chunk.ok_or_else(ended)?);
        }
    }
}

impl<P: Send + 'static> Watch for EtcdWatch<P> {
    async fn next(&mut self) -> Result<store::Event> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let received = match timeout(self.progress_timeout, self.receive()).await {
                Ok(received) => received,
                Err(_) => {
                    let cause =
                        "neither a change nor a progress message arrived in time".to_owned();
                    Err(self.endpoint.error(store::Kind::Unknown, "watch", cause))
                }
            };
            if let Err(error) = received {
                // Closes the connection now instead of when the watch is dropped.
                self.body = None;
                self.buffer.clear();
                self.scanned = 0;
                return Err(error);
            }
        }
    }
}
