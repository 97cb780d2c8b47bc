//! A stream of tokens.

use std::{net, time};

use corneltrestle_client::body;
use corneltrestle_policy::delivery;
use corneltrestle_wire::sse;
use tokio::time::{Instant, Interval, MissedTickBehavior};

use super::failed;
use crate::engine::{self, Result, Stream};

const STEP: &str = "stream";

/// Tokens as an engine sends them, checked against the request.
#[derive(Debug)]
pub struct HttpStream {
    reader: Reader,
    silence: Silence,
    complete: bool,
}

/// Reads and checks tokens.
#[derive(Debug)]
struct Reader {
    /// `None` after the end and after an error.
    body: Option<body::Body>,
    events: sse::Decoder,
    check: Check,
}

/// The limit of the wait for the next token.
///
/// One periodic timer serves all tokens, because setting one for each token costs more than
/// reading the token.
#[derive(Debug)]
struct Silence {
    limit: time::Duration,
    timer: Interval,
    /// Begin of the present wait. It is kept when the future of the wait is dropped, so that a
    /// reader that looks at other things in between does not extend the limit.
    since: Option<Instant>,
}

/// What the events of a stream are checked against.
#[derive(Debug)]
struct Check {
    peer: net::SocketAddr,
    delivery: delivery::Delivery,
}

/// What follows from an event.
enum Verdict {
    Deliver(engine::Token),
    Drop,
    End,
}

/// What the parts that have arrived hold.
enum Arrived {
    Token(engine::Token),
    End,
    Nothing,
}

impl HttpStream {
    pub(super) fn new(
        body: body::Body,
        peer: net::SocketAddr,
        request: &engine::Generate<'_>,
        progress: time::Duration,
        max_event: usize,
    ) -> Self {
        let next = request.resume.map_or(0, |resume| resume.next);
        let check = Check { peer, delivery: delivery::Delivery::starting_at(request.id, next) };
        let events = sse::Decoder::new(max_event);
        let reader = Reader { body: Some(body), events, check };
        let silence = Silence::new(progress);
        Self { reader, silence, complete: false }
    }

    async fn advance(&mut self) -> Result<Arrived> {
        // A token that has arrived already needs no timer.
        match self.reader.arrived()? {
            Arrived::Nothing => {}
            arrived => return Ok(arrived),
        }
        let received = tokio::select! {
            biased;
            received = self.reader.receive() => received,
            () = self.silence.passed() => Err(self.reader.check.broken("no event in time")),
        };
        self.silence.since = None;
        received
    }
}

impl Silence {
    /// Looks within one limit; the wait ends at most a tenth of the limit late.
    const LOOKS: u32 = 10;

    fn new(limit: time::Duration) -> Self {
        let period = (limit / Self::LOOKS).max(time::Duration::from_millis(1));
        let mut timer = tokio::time::interval(period);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self { limit, timer, since: None }
    }

    /// Waits until the present wait has taken as long as the limit.
    async fn passed(&mut self) {
        let due = *self.since.get_or_insert_with(Instant::now) + self.limit;
        while Instant::now() < due {
            self.timer.tick().await;
        }
    }
}

impl Reader {
    /// The first new token among the events that have arrived.
    fn arrived(&mut self) -> Result<Arrived> {
        while let Some(event) = self.events.next().map_err(|e| self.check.too_large(e))? {
            match self.check.judge(event)? {
                Verdict::Deliver(token) => return Ok(Arrived::Token(token)),
                Verdict::Drop => {}
                Verdict::End => return Ok(Arrived::End),
            }
        }
        Ok(Arrived::Nothing)
    }

    /// Reads until a token or the end has arrived.
    async fn receive(&mut self) -> Result<Arrived> {
        loop {
            let part = match &mut self.body {
                Some(body) => body.chunk().await.map_err(|e| failed(STEP, self.check.peer, e))?,
                None => None,
            };
            let Some(part) = part else {
                return Err(self.check.broken("connection ended before the answer was complete"));
            };
            self.events.feed(part);
            match self.arrived()? {
                Arrived::Nothing => {}
                arrived => return Ok(arrived),
            }
        }
    }
}

impl Stream for HttpStream {
    async fn next(&mut self) -> Result<Option<engine::Token>> {
        if self.complete {
            return Ok(None);
        }
        match self.advance().await {
            Ok(Arrived::Token(token)) => Ok(Some(token)),
            Ok(_) => {
                self.complete = true;
                if let Some(body) = self.reader.body.take() {
                    body.finish();
                }
                Ok(None)
            }
            Err(error) => {
                // The connection is closed at once, and nothing that has arrived is delivered.
                self.reader.body = None;
                self.reader.events = sse::Decoder::new(0);
                Err(error)
            }
        }
    }
}

impl Check {
    fn judge(&mut self, event: sse::Event) -> Result<Verdict> {
        let end = event.data == sse::DONE.as_bytes();
        if end && event.id.is_empty() {
            return Ok(Verdict::End);
        }
        if event.name == "error" {
            return Err(self.broken("the engine reports an error"));
        }
        let id = std::str::from_utf8(&event.id).ok().and_then(sse::split_id);
        let Some((request, index)) = id else {
            return Err(self
                .error(engine::Kind::Malformed, "event without request id and index".to_owned()));
        };
        let expected = self.delivery.next_index();
        match self.delivery.check(&delivery::Event { request, index }) {
            delivery::Verdict::Mismatch => {
                Err(self.error(engine::Kind::Mismatch, "event of another request".to_owned()))
            }
            // An end mark beyond the next token shows that tokens are missing.
            delivery::Verdict::Gap | delivery::Verdict::Closed => {
                Err(self.error(engine::Kind::Gap, format!("token {index} instead of {expected}")))
            }
            _ if end => Ok(Verdict::End),
            delivery::Verdict::Deliver => {
                Ok(Verdict::Deliver(engine::Token { index, data: event.data }))
            }
            delivery::Verdict::Drop => Ok(Verdict::Drop),
        }
    }

    fn too_large(&self, error: sse::TooLarge) -> engine::Error {
        self.error(engine::Kind::Malformed, error.to_string())
    }

    fn broken(&self, cause: &str) -> engine::Error {
        self.error(engine::Kind::Broken, cause.to_owned())
    }

    fn error(&self, kind: engine::Kind, cause: String) -> engine::Error {
        engine::Error { kind, step: STEP, peer: self.peer, cause }
    }
}
