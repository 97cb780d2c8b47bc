//! Bodies of answers, as they are relayed to the caller.

use std::{mem, sync};

use corneltrestle_time::moment;

use super::{
    Code, Pipeline, Refusal, Result, buffer, buffered, choose::InProgress, stream::Stream,
};
use crate::upstream::{Body, Client};

/// The body of an answer. Dropping it cancels the request at the upstream.
#[derive(Debug)]
pub struct Relay<C: Client> {
    state: State<C>,
}

#[derive(Debug)]
enum State<C: Client> {
    Buffered { begin: bytes::Bytes, rest: Option<Rest<C>>, _progress: InProgress },
    Stream(Box<Stream<C>>),
}

/// The unread remainder of a body, which may have no end.
#[derive(Debug)]
pub(super) struct Rest<C: Client> {
    pub(super) pipeline: sync::Arc<Pipeline<C>>,
    /// A part that has been read; empty if there is none.
    pub(super) next: bytes::Bytes,
    pub(super) body: C::Body,
    pub(super) deadline: moment::Moment,
}

impl<C: Client> Rest<C> {
    async fn chunk(&mut self) -> Result<Option<bytes::Bytes>> {
        if !self.next.is_empty() {
            return Ok(Some(mem::take(&mut self.next)));
        }
        let left = self.pipeline.time_left(self.deadline)?;
        match tokio::time::timeout(left, self.body.chunk()).await {
            Ok(chunk) => chunk.map_err(|e| buffered::cut_off(&e)),
            Err(_) => Err(out_of_time()),
        }
    }
}

/// The refusal for an answer that is not complete at the deadline of its request.
pub(super) fn out_of_time() -> Refusal {
    let message = "the time was up before the answer was complete";
    Refusal::unknown(Code::DeadlineExceeded, "relay", message)
}

impl<C: Client> Relay<C> {
    /// A body whose beginning has been read; `rest` is the remainder, if any.
    pub(super) fn buffered(
        begin: bytes::Bytes,
        rest: Option<Rest<C>>,
        progress: InProgress,
    ) -> Self {
        Self { state: State::Buffered { begin, rest, _progress: progress } }
    }

    /// A stream of events, which is resumed at another upstream on failure.
    pub(super) fn stream(stream: Stream<C>) -> Self {
        Self { state: State::Stream(Box::new(stream)) }
    }

    /// Size in bytes, if the whole body has been read.
    pub fn size(&self) -> Option<u64> {
        match &self.state {
            State::Buffered { begin, rest: None, .. } => Some(begin.len() as u64),
            _ => None,
        }
    }

    /// The next part, or `None` after the complete body.
    ///
    /// # Errors
    ///
    /// When the answer cannot be completed. The parts returned before are then only its beginning.
    pub async fn next(&mut self) -> Result<Option<bytes::Bytes>> {
        match &mut self.state {
            State::Buffered { begin, rest, .. } => match (buffer::take_part(begin), rest) {
                (Some(part), _) => Ok(Some(part)),
                (_, Some(rest)) => rest.chunk().await,
                (_, None) => Ok(None),
            },
            State::Stream(stream) => stream.next().await,
        }
    }
}
