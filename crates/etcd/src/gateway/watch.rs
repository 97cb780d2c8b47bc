//! A watch on one key.

use std::{collections, time};

use corneltrestle_client::{body, pool};
use tokio::time::{Instant, timeout};

use super::{Link, MAX_ANSWER_BYTES, message, request};
use corneltrestle_infra::store::{self, Result, Watch};

/// A waiting watch. It holds its permit until it is dropped.
#[derive(Debug)]
pub struct EtcdWatch<P> {
    link: Link,
    /// `None` after an error.
    body: Option<body::Body>,
    /// The messages that have arrived, the last one perhaps in part.
    arrived: bytes::BytesMut,
    /// Start of the part of `arrived` without the end of a message.
    scanned: usize,
    events: collections::VecDeque<store::Event>,
    progress_timeout: time::Duration,
    _permit: P,
}

/// Opens the stream of a watch.
pub(super) async fn open(
    link: &Link,
    key: &str,
    start_revision: message::Int64,
) -> Result<body::Body> {
    let failed = |e| link.failed("watch", e);
    let until = Instant::now() + link.timeout;
    let key = message::Base64(key.as_bytes());
    let create_request = message::CreateWatch { key, start_revision, progress_notify: true };
    let request = request("/v3/watch", &message::Watch { create_request }).map_err(failed)?;
    let sent = link.pool.send(link.peer, request, pool::Delivery::Repeatable, link.timeout);
    let (head, body) = sent.await.map_err(failed)?.into_parts();
    if head.status == hyper::StatusCode::OK {
        return Ok(body);
    }
    let text = body.collect(MAX_ANSWER_BYTES, until).await.map_err(failed)?;
    let failure: message::Failure = serde_json::from_slice(&text).unwrap_or_default();
    Err(link.refused("watch", head.status.as_u16(), &failure.message))
}

impl<P> EtcdWatch<P> {
    /// A watch on an open stream; `changed` is a change that was found before it was opened.
    pub(super) fn new(
        link: Link,
        body: body::Body,
        progress_timeout: time::Duration,
        changed: Option<Option<store::Versioned>>,
        permit: P,
    ) -> Self {
        Self {
            link,
            body: Some(body),
            arrived: bytes::BytesMut::new(),
            scanned: 0,
            events: changed.map(store::Event::Changed).into_iter().collect(),
            progress_timeout,
            _permit: permit,
        }
    }

    /// Waits for a whole message and stores its events.
    async fn receive(&mut self) -> Result<()> {
        let line = self.line().await?;
        let answer = self.link.decode::<message::Streamed<message::WatchAnswer>>("watch", &line)?;
        let answer = self.link.streamed("watch", answer)?;
        if answer.canceled {
            return Err(self.link.error(store::Kind::Refused, "watch", answer.cancel_reason));
        }
        self.events.extend(answer.events.into_iter().map(store::Event::from));
        if self.events.is_empty() {
            self.events.push_back(store::Event::Progress);
        }
        Ok(())
    }

    /// The next message; the gateway ends each with a line feed.
    async fn line(&mut self) -> Result<bytes::Bytes> {
        loop {
            if let Some(at) = self.arrived[self.scanned..].iter().position(|byte| *byte == b'\n') {
                let line = self.arrived.split_to(self.scanned + at + 1).freeze();
                self.scanned = 0;
                if !line.trim_ascii().is_empty() {
                    return Ok(line);
                }
                continue;
            }
            self.scanned = self.arrived.len();
            if self.arrived.len() > MAX_ANSWER_BYTES {
                let cause = format!("message larger than {MAX_ANSWER_BYTES} bytes");
                return Err(self.link.error(store::Kind::Malformed, "watch", cause));
            }
            let part = match &mut self.body {
                Some(body) => body.chunk().await.map_err(|e| self.link.failed("watch", e))?,
                None => None,
            };
            let ended =
                || self.link.error(store::Kind::Unknown, "watch", "watch has ended".to_owned());
            self.arrived.extend_from_slice(&part.ok_or_else(ended)?);
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
                    let cause = "neither change nor progress in time".to_owned();
                    Err(self.link.error(store::Kind::Unknown, "watch", cause))
                }
            };
            if let Err(error) = received {
                // The connection is closed at once, not when the watch is dropped.
                self.body = None;
                self.arrived.clear();
                self.scanned = 0;
                return Err(error);
            }
        }
    }
}
