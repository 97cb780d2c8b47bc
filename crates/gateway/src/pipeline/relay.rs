//! Bodies of answers, as they are relayed to the caller.

use std::vec;

use super::{Result, buffered, choose::InProgress, stream::Stream};
use crate::upstream::{Body, Client};

/// The body of an answer. Dropping it cancels the request at the upstream.
#[derive(Debug)]
pub struct Relay<C: Client> {
    state: State<C>,
}

#[derive(Debug)]
enum State<C: Client> {
    Buffered { parts: vec::IntoIter<bytes::Bytes>, rest: Option<C::Body>, _progress: InProgress },
    Stream(Box<Stream<C>>),
}

impl<C: Client> Relay<C> {
    /// A body whose `parts` have been read; `rest` is the unread remainder, if any.
    pub(super) fn buffered(
        parts: Vec<bytes::Bytes>,
        rest: Option<C::Body>,
        progress: InProgress,
    ) -> Self {
        Self { state: State::Buffered { parts: parts.into_iter(), rest, _progress: progress } }
    }

    /// A stream of events, which is resumed at another upstream on failure.
    pub(super) fn stream(stream: Stream<C>) -> Self {
        Self { state: State::Stream(Box::new(stream)) }
    }

    /// Size in bytes, if the whole body has been read.
    pub fn size(&self) -> Option<u64> {
        match &self.state {
            State::Buffered { parts, rest: None, .. } => {
                Some(parts.as_slice().iter().map(|part| part.len() as u64).sum())
            }
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
            State::Buffered { parts, rest, .. } => match (parts.next(), rest) {
                (Some(part), _) => Ok(Some(part)),
                (None, Some(rest)) => rest.chunk().await.map_err(|e| buffered::cut_off(&e)),
                (None, None) => Ok(None),
            },
            State::Stream(stream) => stream.next().await,
        }
    }
}
