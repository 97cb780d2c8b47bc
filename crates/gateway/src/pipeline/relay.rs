//! Bodies of answers on their way to the caller.

use std::vec;

use super::{Result, buffered, choose::InProgress, stream::Stream};
use crate::upstream::{Body, Client};

/// The body of an answer. Dropping it ends the work of the upstream.
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
    /// A body of which `parts` have been read; `rest` reads what is missing.
    pub(super) fn buffered(
        parts: Vec<bytes::Bytes>,
        rest: Option<C::Body>,
        progress: InProgress,
    ) -> Self {
        Self { state: State::Buffered { parts: parts.into_iter(), rest, _progress: progress } }
    }

    /// A stream of events.
    pub(super) fn stream(stream: Stream<C>) -> Self {
        Self { state: State::Stream(Box::new(stream)) }
    }

    /// Size in bytes, if the whole body is known.
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
    /// When the answer cannot be completed; what was passed on is then a part of it.
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
